use super::*;

/// Records of one attempt in the order in which they came. Ends after `StreamRecord::Failed`, after
/// the error that broke it off, which blames the first stage, or when the engine closes the stream
/// after `StreamRecord::End`. Tokens may follow `End` when records were reordered, so that only an
/// assembly knows when the answer is complete; the reader then drops the stream.
/// Dropping the stream closes the connection, and the engine stops working for it.
pub type RecordStream = BoxStream<'static, Result<StreamRecord, AttemptFailure>>;

/// Model engines. A failure is `Unreachable` only when nothing was sent, and `Refused` only when
/// the engine said that it ran nothing.
pub trait Engines: Debug + Send + Sync {
    /// Reads the cache events after position `after`. They come late and with gaps.
    ///
    /// # Errors
    ///
    /// Returns how the exchange failed.
    fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> BoxFuture<'static, Result<Vec<CacheEvent>, FailureKind>>;

    /// Stops a request up to an attempt. Canceling an unknown request succeeds.
    ///
    /// # Errors
    ///
    /// Returns how the exchange failed.
    fn cancel(
        &self,
        address: SocketAddr,
        request: CancelRequest,
    ) -> BoxFuture<'static, Result<(), FailureKind>>;

    /// Reads the KV cache of an attempt.
    ///
    /// # Errors
    ///
    /// Returns how the exchange failed; `Refused` when the engine has no such cache.
    fn export_kv(
        &self,
        address: SocketAddr,
        request: KvRequest,
    ) -> BoxFuture<'static, Result<KvCache, FailureKind>>;

    /// Sends a prompt to the first stage of its route.
    fn generate(&self, address: SocketAddr, request: GenerateRequest) -> RecordStream;

    /// Gives an engine the KV cache of a request that it will run.
    ///
    /// # Errors
    ///
    /// Returns how the exchange failed.
    fn import_kv(
        &self,
        address: SocketAddr,
        cache: KvCache,
    ) -> BoxFuture<'static, Result<(), FailureKind>>;

    /// Reads the load report.
    ///
    /// # Errors
    ///
    /// Returns how the exchange failed.
    fn load(&self, address: SocketAddr) -> BoxFuture<'static, Result<LoadReport, FailureKind>>;

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Returns how the exchange failed; `Refused` when the engine has seen a newer fence.
    fn order(
        &self,
        address: SocketAddr,
        order: Order,
    ) -> BoxFuture<'static, Result<(), FailureKind>>;

    /// Changes the importance of an attempt.
    ///
    /// # Errors
    ///
    /// Returns how the exchange failed.
    fn set_priority(
        &self,
        address: SocketAddr,
        request: PriorityRequest,
    ) -> BoxFuture<'static, Result<(), FailureKind>>;
}
