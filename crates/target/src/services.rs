use super::*;

/// Calls of plain services. A failure is `Unreachable` only when nothing was sent, and `Refused` only
/// when the service stated that it has not run the call.
pub trait Services: Debug + Send + Sync {
    /// Calls an operation once. `key` is sent in the `Idempotency-Key` header.
    ///
    /// # Errors
    ///
    /// Returns the kind of failure. An operation that must not run twice may be sent again only after a
    /// failure for which `FailureKind::is_not_run` is true.
    fn call(
        &self,
        address: SocketAddr,
        operation: Arc<str>,
        key: Option<Arc<str>>,
        body: Bytes,
    ) -> BoxFuture<'static, Result<CallReply, FailureKind>>;

    /// Reads the load report of the service.
    ///
    /// # Errors
    ///
    /// Returns the kind of failure.
    fn load(&self, address: SocketAddr) -> BoxFuture<'static, Result<LoadReport, FailureKind>>;
}
