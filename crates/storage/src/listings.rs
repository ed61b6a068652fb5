use super::*;

/// The platform's list of instances and targets, which is eventually consistent.
pub trait Listings: Debug + Send + Sync {
    /// Reads the complete list.
    ///
    /// # Errors
    ///
    /// Returns `StoreFailure::Unavailable` when no address replied.
    fn read(&self) -> BoxFuture<'static, Result<Vec<Listing>, StoreFailure>>;

    /// Creates or refreshes the entry of an instance or target. An entry that is not refreshed
    /// expires.
    ///
    /// # Errors
    ///
    /// Returns `StoreFailure::Ambiguous` when the request may have been sent and no reply arrived,
    /// and `StoreFailure::Unavailable` when it was not carried out.
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
