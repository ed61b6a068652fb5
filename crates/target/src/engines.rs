use super::*;

/// Records of one attempt in the order in which they arrive.
///
/// The stream ends after `StreamRecord::Failed`, after the error that interrupted it, which names the
/// first stage as the target at fault, or when the engine closes it after `StreamRecord::End`. Tokens
/// may follow `End` when records were reordered, so that only the code that assembles the answer knows
/// when it is complete; that code then drops the stream. Dropping the stream closes the connection,
/// and the engine stops working on the request.
pub type RecordStream = BoxStream<'static, Result<StreamRecord, AttemptFailure>>;

/// Requests to model engines. A failure is `Unreachable` only when nothing was sent, and `Refused` only
/// when the engine stated that it has not run the request.
pub trait Engines: Debug + Send + Sync {
    /// Reads the cache events after position `after`. Events may be late or missing.
    ///
    /// # Errors
    ///
    /// Returns the kind of failure.
    fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> BoxFuture<'static, Result<Vec<CacheEvent>, FailureKind>>;

    /// Cancels all attempts of a request up to the given one. Canceling an unknown request succeeds.
    ///
    /// # Errors
    ///
    /// Returns the kind of failure.
    fn cancel(
        &self,
        address: SocketAddr,
        request: CancelRequest,
    ) -> BoxFuture<'static, Result<(), FailureKind>>;

    /// Exports the KV cache of an attempt.
    ///
    /// # Errors
    ///
    /// Returns the kind of failure; `Refused` when the engine has no such cache.
    fn export_kv(
        &self,
        address: SocketAddr,
        request: KvRequest,
    ) -> BoxFuture<'static, Result<KvCache, FailureKind>>;

    /// Sends a prompt to the first stage of its route, and streams the records of the answer.
    fn generate(&self, address: SocketAddr, request: GenerateRequest) -> RecordStream;

    /// Imports the KV cache of a request into the engine that will run it.
    ///
    /// # Errors
    ///
    /// Returns the kind of failure.
    fn import_kv(
        &self,
        address: SocketAddr,
        cache: KvCache,
    ) -> BoxFuture<'static, Result<(), FailureKind>>;

    /// Reads the load report of the engine.
    ///
    /// # Errors
    ///
    /// Returns the kind of failure.
    fn load(&self, address: SocketAddr) -> BoxFuture<'static, Result<LoadReport, FailureKind>>;

    /// Sends an order with the models and layers that the engine must load.
    ///
    /// # Errors
    ///
    /// Returns the kind of failure; `Refused` when the engine has seen a newer fence.
    fn order(
        &self,
        address: SocketAddr,
        order: Order,
    ) -> BoxFuture<'static, Result<(), FailureKind>>;

    /// Changes the priority of an attempt.
    ///
    /// # Errors
    ///
    /// Returns the kind of failure.
    fn set_priority(
        &self,
        address: SocketAddr,
        request: PriorityRequest,
    ) -> BoxFuture<'static, Result<(), FailureKind>>;
}
