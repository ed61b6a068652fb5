use super::*;

/// The platform's list of instances and targets. The list lags behind reality.
pub trait Listings: Debug + Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns `StoreFailure::Unavailable` when no address gave a reply.
    fn read(&self) -> BoxFuture<'static, Result<Vec<Listing>, StoreFailure>>;

    /// Creates or refreshes a row. A row that is not refreshed expires.
    ///
    /// # Errors
    ///
    /// Returns `StoreFailure::Ambiguous` when the request was sent and no reply came.
    fn register(&self, listing: Listing) -> BoxFuture<'static, Result<(), StoreFailure>>;
}

impl Listings for PlatformClient {
    fn read(&self) -> BoxFuture<'static, Result<Vec<Listing>, StoreFailure>> {
        let client = self.clone();
        Box::pin(async move {
            let reply = client
                .send_with_failover(Call::get("/v1/instances"), true, &[StatusCode::OK])
                .await?;
            reply.json().map_err(|_| StoreFailure::Unavailable)
        })
    }

    fn register(&self, listing: Listing) -> BoxFuture<'static, Result<(), StoreFailure>> {
        let client = self.clone();
        Box::pin(async move {
            let path = format!("/v1/instances/{}", listing.id);
            let call = Call::with_json(Method::PUT, path, &listing)
                .map_err(|_| StoreFailure::Unavailable)?;
            client
                .send_with_failover(call, false, &[StatusCode::NO_CONTENT])
                .await?;
            Ok(())
        })
    }
}
