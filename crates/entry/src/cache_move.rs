use super::*;

/// Copies the KV cache of one stage from a leaving engine to its replacement.
#[derive(Clone, Debug)]
pub(crate) struct CacheMove {
    /// Attempt number as the node counts it, within one run of the stream.
    pub(crate) attempt: Attempt,
    pub(crate) from: TargetId,
    pub(crate) from_address: SocketAddr,
    pub(crate) request: RequestId,
    pub(crate) to_address: SocketAddr,
}

impl CacheMove {
    /// Copies the cache in a separate task, because the attempt continues meanwhile.
    /// `attempt_offset` is the number of attempts of earlier runs.
    pub(crate) fn start(self, app: &Arc<App>, attempt_offset: Attempt) {
        let app = app.clone();
        tokio::spawn(async move {
            let result = self.copy(&app, attempt_offset).await;
            self.report(&app, result);
        });
    }

    /// Reports the result to the node. On success it is the number of tokens that the copied cache
    /// covers.
    pub(crate) fn report(self, app: &App, result: Result<u32, FailureKind>) {
        app.report(Event::CacheMoved {
            attempt: self.attempt,
            from: self.from,
            request: self.request,
            result,
        });
    }

    async fn copy(&self, app: &App, attempt_offset: Attempt) -> Result<u32, FailureKind> {
        let engines = &app.dependencies.engines;
        let export = KvRequest {
            attempt: attempt_offset + self.attempt,
            request: self.request.clone(),
        };
        let cache = engines.export_kv(self.from_address, export).await?;
        let token_count = cache.token_count;
        engines.import_kv(self.to_address, cache).await?;
        Ok(token_count)
    }
}
