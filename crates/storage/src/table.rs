use super::*;

/// The platform's transactional key-value table.
pub trait Table: Debug + Send + Sync {
    /// Executes one read, scan or transaction.
    ///
    /// # Errors
    ///
    /// Returns `StoreFailure::Unavailable` when the request was not carried out, and
    /// `StoreFailure::Ambiguous` when a transaction may have been sent and no valid reply arrived.
    fn execute(
        &self,
        request: StoreRequest,
    ) -> BoxFuture<'static, Result<StoreReply, StoreFailure>>;
}

impl Table for PlatformClient {
    fn execute(
        &self,
        request: StoreRequest,
    ) -> BoxFuture<'static, Result<StoreReply, StoreFailure>> {
        let client = self.clone();
        Box::pin(async move {
            let is_read = !matches!(request, StoreRequest::Transact { .. });
            let path = if is_read {
                "/v1/table/read"
            } else {
                "/v1/table/transact"
            };
            let call = Call::post(path, &request).map_err(|_| StoreFailure::Unavailable)?;
            let reply = client
                .send_with_failover(call, is_read, &[StatusCode::OK])
                .await?;
            match reply.json() {
                Err(_) if is_read => Err(StoreFailure::Unavailable),
                Err(_) => Err(StoreFailure::Ambiguous),
                Ok(reply) => Ok(reply),
            }
        })
    }
}
