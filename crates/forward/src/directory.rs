use super::*;

/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// Selects the instance addresses that are announced to callers.
pub struct Directory {
    router: Arc<Router>,
}

impl Directory {
    /// Creates a directory of the instances that a router knows.
    #[must_use]
    pub fn new(router: Arc<Router>) -> Self {
        Self { router }
    }

    /// Addresses of the instances that accept requests, those in the failure domain of the caller
    /// first. Empty while no instance is known.
    #[must_use]
    pub fn addresses(&self, domain: &str) -> Vec<SocketAddr> {
        let mut instances = self.router.instances();
        instances.sort_by_key(|instance| *instance.domain != *domain);
        instances.truncate(MAX_ADDRESSES);
        instances.iter().map(|instance| instance.address).collect()
    }
}

/// Handler of readiness checks: 200 if this instance can serve requests, 503 otherwise.
pub struct Readiness(pub Arc<Router>);

impl wire::Handler for Readiness {
    fn handle(self: Arc<Self>, _request: Request) -> BoxFuture<'static, Response> {
        let status = match self.0.is_ready() {
            false => StatusCode::SERVICE_UNAVAILABLE,
            true => StatusCode::OK,
        };
        async move { wire::empty(status) }.boxed()
    }
}
