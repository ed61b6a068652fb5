use super::*;

/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// Chooses the addresses that callers are told.
pub struct Directory {
    router: Arc<Router>,
}

impl Directory {
    /// Creates the directory of a router.
    #[must_use]
    pub fn new(router: Arc<Router>) -> Self {
        Self { router }
    }

    /// Addresses of instances that take requests, those of the caller's failure domain first.
    /// Empty while this instance knows none.
    #[must_use]
    pub fn addresses(&self, domain: &str) -> Vec<SocketAddr> {
        let mut instances = self.router.instances();
        instances.sort_by_key(|instance| *instance.domain != *domain);
        instances.truncate(MAX_ADDRESSES);
        instances.iter().map(|instance| instance.address).collect()
    }
}

/// Answers whether this instance can serve.
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
