use super::*;

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum time that a connection may be idle, which also limits how long a head may take to
    /// arrive.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            head_bytes: 16 * 1024,
            idle_time: Duration::from_secs(15),
        }
    }
}

/// Content of a catalog, without indices.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CatalogParts {
    /// Client accounts; none if requests need no key.
    pub accounts: Option<Vec<Account>>,
    /// Limits on the requests of callers.
    pub limits: Limits,
    /// Routes, in the order of the configuration.
    pub routes: Vec<Route>,
    /// Services that routes can refer to.
    pub services: Vec<Service>,
    /// Version of the configuration. Invariant: increases with each change.
    pub version: u64,
}

/// One version of the configuration, with indices for lookups.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    accounts_by_key: HashMap<Arc<str>, usize>,
    /// Rank of the most urgent requests, by service.
    most_urgent_ranks: HashMap<ServiceName, u32>,
    parts: CatalogParts,
    /// Indices into the routes by host, longest path prefix first.
    routes_by_host: HashMap<Arc<str>, Vec<usize>>,
    services_by_name: HashMap<ServiceName, usize>,
}

impl Catalog {
    /// Builds the indices of a configuration.
    #[must_use]
    pub fn new(parts: CatalogParts) -> Self {
        let mut accounts_by_key = HashMap::new();
        for (position, account) in parts.accounts.iter().flatten().enumerate() {
            for key in &account.keys {
                accounts_by_key.insert(key.clone(), position);
            }
        }
        let mut routes_by_host: HashMap<Arc<str>, Vec<usize>> = HashMap::new();
        for (position, route) in parts.routes.iter().enumerate() {
            let positions = routes_by_host.entry(route.host.clone()).or_default();
            positions.push(position);
        }
        for positions in routes_by_host.values_mut() {
            positions.sort_by_key(|at| std::cmp::Reverse(parts.routes[*at].path_prefix.len()));
        }
        let mut services_by_name = HashMap::new();
        for (position, service) in parts.services.iter().enumerate() {
            services_by_name.insert(service.name.clone(), position);
        }
        Self {
            accounts_by_key,
            most_urgent_ranks: most_urgent_ranks(&parts),
            parts,
            routes_by_host,
            services_by_name,
        }
    }

    /// Returns the account that a key authenticates.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Account> {
        let position = *self.accounts_by_key.get(key)?;
        self.parts.accounts.as_ref()?.get(position)
    }

    /// Returns whether requests need a key, except on public routes.
    #[must_use]
    pub fn needs_key(&self) -> bool {
        self.parts.accounts.is_some()
    }

    /// Returns the rank of the most urgent requests that a service can receive.
    #[must_use]
    pub fn most_urgent_rank(&self, service: &str) -> u32 {
        self.most_urgent_ranks
            .get(service)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the limits on the requests of callers.
    #[must_use]
    pub fn limits(&self) -> Limits {
        self.parts.limits
    }

    /// Returns the route of a request: the one with the longest matching path prefix on its host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        for position in self.routes_by_host.get(host)? {
            let route = &self.parts.routes[*position];
            if path.starts_with(&*route.path_prefix) {
                return Some(route);
            }
        }
        None
    }

    /// Returns the service with a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.parts.services.get(*self.services_by_name.get(name)?)
    }

    /// Returns the content of the catalog.
    #[must_use]
    pub fn parts(&self) -> &CatalogParts {
        &self.parts
    }

    /// Returns all services.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.parts.services
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.parts.version
    }
}

/// Computes the rank of the most urgent requests of each service. The rank of an account overrides
/// that of a route.
fn most_urgent_ranks(parts: &CatalogParts) -> HashMap<ServiceName, u32> {
    let accounts = parts.accounts.as_deref().unwrap_or_default();
    let account_rank = accounts.iter().filter_map(|account| account.rank).min();
    let has_unranked_requests =
        accounts.is_empty() || accounts.iter().any(|account| account.rank.is_none());
    let mut most_urgent_ranks: HashMap<ServiceName, u32> = HashMap::new();
    for route in &parts.routes {
        let route_rank = (has_unranked_requests || route.is_public).then_some(route.rank);
        let Some(rank) = account_rank.into_iter().chain(route_rank).min() else {
            continue;
        };
        for backend in &route.backends {
            let most_urgent = most_urgent_ranks
                .entry(backend.service.clone())
                .or_insert(rank);
            *most_urgent = rank.min(*most_urgent);
        }
    }
    most_urgent_ranks
}
