use super::*;

/// HTTP client for model engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineClient {
    settings: TargetSettings,
}

impl EngineClient {
    /// Creates a client with these limits.
    #[must_use]
    pub fn new(settings: TargetSettings) -> Self {
        Self { settings }
    }

    fn post<T: Serialize>(
        self,
        address: SocketAddr,
        path: &str,
        value: &T,
    ) -> BoxFuture<'static, Result<Reply, FailureKind>> {
        let call = Call::post(path, value);
        Box::pin(async move {
            let call = call.map_err(|_| FailureKind::Unreachable)?;
            classify::exchange(self.settings, address, call).await
        })
    }

    fn post_empty<T: Serialize>(
        self,
        address: SocketAddr,
        path: &str,
        value: &T,
    ) -> BoxFuture<'static, Result<(), FailureKind>> {
        let reply = self.post(address, path, value);
        Box::pin(async move {
            reply.await?;
            Ok(())
        })
    }
}

impl Engines for EngineClient {
    fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> BoxFuture<'static, Result<Vec<CacheEvent>, FailureKind>> {
        let settings = self.settings;
        Box::pin(async move {
            let call = Call::get(format!("/v1/events?after={after}"));
            let reply = classify::exchange(settings, address, call).await?;
            reply.json().map_err(|_| FailureKind::Protocol)
        })
    }

    fn cancel(
        &self,
        address: SocketAddr,
        request: CancelRequest,
    ) -> BoxFuture<'static, Result<(), FailureKind>> {
        self.post_empty(address, "/v1/cancel", &request)
    }

    fn export_kv(
        &self,
        address: SocketAddr,
        request: KvRequest,
    ) -> BoxFuture<'static, Result<KvCache, FailureKind>> {
        let reply = self.post(address, "/v1/kv/export", &request);
        Box::pin(async move { reply.await?.json().map_err(|_| FailureKind::Protocol) })
    }

    fn generate(&self, address: SocketAddr, request: GenerateRequest) -> RecordStream {
        record_reader::read(self.settings, address, request)
    }

    fn import_kv(
        &self,
        address: SocketAddr,
        cache: KvCache,
    ) -> BoxFuture<'static, Result<(), FailureKind>> {
        self.post_empty(address, "/v1/kv/import", &cache)
    }

    fn load(&self, address: SocketAddr) -> BoxFuture<'static, Result<LoadReport, FailureKind>> {
        let settings = self.settings;
        Box::pin(async move {
            let reply = classify::exchange(settings, address, Call::get("/v1/load")).await?;
            reply.json().map_err(|_| FailureKind::Protocol)
        })
    }

    fn order(
        &self,
        address: SocketAddr,
        order: Order,
    ) -> BoxFuture<'static, Result<(), FailureKind>> {
        self.post_empty(address, "/v1/orders", &order)
    }

    fn set_priority(
        &self,
        address: SocketAddr,
        request: PriorityRequest,
    ) -> BoxFuture<'static, Result<(), FailureKind>> {
        self.post_empty(address, "/v1/priority", &request)
    }
}
