use super::*;

/// Where a fake engine or service listens, and how it registers in the platform's process list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RegistrationSettings {
    /// Address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// Address that the process list names, such as that of a proxy; none names `address`.
    pub announced_address: Option<SocketAddr>,
    /// Failure domain in which the process claims to run.
    pub failure_domain: FailureDomain,
    /// Id in the process list; must be usable as a URL path segment.
    pub id: Arc<str>,
    /// Incarnation of the process; 0 uses the wall clock in milliseconds, so that a restarted
    /// process has a newer one.
    pub incarnation: Incarnation,
    /// Time for which a leaving process still accepts work, in milliseconds; senders may not have
    /// learned yet that it leaves.
    pub leave_grace_ms: u64,
    /// Addresses of the platform, tried in order; empty disables the registration.
    pub platforms: Vec<SocketAddr>,
    /// Interval at which the row in the process list is refreshed, in milliseconds.
    pub refresh_ms: u64,
    /// Region in which the process claims to run.
    pub region: RegionId,
}

impl Default for RegistrationSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            announced_address: None,
            failure_domain: "a".into(),
            id: "target-1".into(),
            incarnation: 0,
            leave_grace_ms: 3_000,
            platforms: Vec::new(),
            refresh_ms: 1_000,
            region: "local".into(),
        }
    }
}

impl RegistrationSettings {
    pub(crate) fn incarnation(&self) -> Incarnation {
        if self.incarnation > 0 {
            return self.incarnation;
        }
        match SystemTime::now().duration_since(UNIX_EPOCH) {
            Err(_) => 1,
            Ok(elapsed) => u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// Keeps the row of one process in the platform's process list up to date.
#[derive(Debug)]
pub(crate) struct Registration {
    pub(crate) listing: Listing,
    pub(crate) platforms: Vec<SocketAddr>,
    pub(crate) refresh: Duration,
}

impl Registration {
    pub(crate) fn new(
        place: &RegistrationSettings,
        address: SocketAddr,
        incarnation: Incarnation,
        role: ListingRole,
    ) -> Self {
        Self {
            listing: Listing {
                address: place.announced_address.unwrap_or(address),
                failure_domain: place.failure_domain.clone(),
                id: place.id.clone(),
                incarnation,
                leaving: false,
                region: place.region.clone(),
                role,
            },
            platforms: place.platforms.clone(),
            refresh: Duration::from_millis(place.refresh_ms),
        }
    }

    pub(crate) async fn run(mut self, lifecycle: &Lifecycle) {
        loop {
            self.listing.leaving = lifecycle.is_leaving();
            self.register().await;
            if self.listing.leaving {
                lifecycle.set_departure_announced();
                sleep(self.refresh).await;
                continue;
            }
            tokio::select! {
                () = lifecycle.wait_leaving() => {}
                () = sleep(self.refresh) => {}
            }
        }
    }

    async fn register(&self) {
        let path = format!("/v1/instances/{}", self.listing.id);
        let Ok(mut call) = Call::with_json(Method::PUT, path, &self.listing) else {
            return;
        };
        call.connect_timeout = self.refresh;
        call.reply_timeout = self.refresh;
        for platform in &self.platforms {
            match wire::call(*platform, &call).await {
                Ok(reply) if reply.status.is_success() => return,
                Ok(reply) => tracing::warn!(%platform, status = %reply.status, "cannot register"),
                Err(error) => tracing::warn!(%platform, %error, "cannot register"),
            }
        }
    }
}
