use super::*;

/// Plain services. A failure is `Unreachable` only when nothing was sent, and `Refused` only when
/// the service said that it ran nothing.
pub trait Services: Debug + Send + Sync {
    /// Calls an operation once. `key` travels as `Idempotency-Key`.
    ///
    /// # Errors
    ///
    /// Returns how the exchange failed. Only `FailureKind::is_not_run` failures allow another
    /// dispatch of an operation that must not be repeated.
    fn call(
        &self,
        address: SocketAddr,
        operation: Arc<str>,
        key: Option<Arc<str>>,
        body: Bytes,
    ) -> BoxFuture<'static, Result<CallReply, FailureKind>>;

    /// Reads the load report.
    ///
    /// # Errors
    ///
    /// Returns how the exchange failed.
    fn load(&self, address: SocketAddr) -> BoxFuture<'static, Result<LoadReport, FailureKind>>;
}
