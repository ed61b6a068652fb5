use super::*;

/// The platform's object store. An object name is a single URL path segment of unreserved
/// characters.
pub trait Objects: Debug + Send + Sync {
    /// Deletes an object. Succeeds if the object does not exist.
    ///
    /// # Errors
    ///
    /// Returns `StoreFailure::Ambiguous` when the request may have been sent and no reply arrived,
    /// and `StoreFailure::Unavailable` when it was not carried out.
    fn delete(&self, name: Arc<str>) -> BoxFuture<'static, Result<(), StoreFailure>>;

    /// Reads an object; none if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns `StoreFailure::Unavailable` when no address replied.
    fn get(&self, name: Arc<str>) -> BoxFuture<'static, Result<Option<Bytes>, StoreFailure>>;

    /// Creates an object or replaces its content.
    ///
    /// # Errors
    ///
    /// Returns `StoreFailure::Ambiguous` when the request may have been sent and no reply arrived,
    /// and `StoreFailure::Unavailable` when it was not carried out.
    fn put(&self, name: Arc<str>, bytes: Bytes) -> BoxFuture<'static, Result<(), StoreFailure>>;
}

impl Objects for PlatformClient {
    fn delete(&self, name: Arc<str>) -> BoxFuture<'static, Result<(), StoreFailure>> {
        let client = self.clone();
        Box::pin(async move {
            let call = Call {
                method: Method::DELETE,
                ..Call::get(object_path(&name))
            };
            let accepted = [StatusCode::NO_CONTENT, StatusCode::NOT_FOUND];
            client.send_with_failover(call, false, &accepted).await?;
            Ok(())
        })
    }

    fn get(&self, name: Arc<str>) -> BoxFuture<'static, Result<Option<Bytes>, StoreFailure>> {
        let client = self.clone();
        Box::pin(async move {
            let accepted = [StatusCode::OK, StatusCode::NOT_FOUND];
            let reply = client
                .send_with_failover(Call::get(object_path(&name)), true, &accepted)
                .await?;
            Ok((reply.status == StatusCode::OK).then_some(reply.body))
        })
    }

    fn put(&self, name: Arc<str>, bytes: Bytes) -> BoxFuture<'static, Result<(), StoreFailure>> {
        let client = self.clone();
        Box::pin(async move {
            let call = Call {
                body: bytes,
                method: Method::PUT,
                ..Call::get(object_path(&name))
            };
            client
                .send_with_failover(call, false, &[StatusCode::NO_CONTENT])
                .await?;
            Ok(())
        })
    }
}

fn object_path(name: &str) -> String {
    format!("/v1/objects/{name}")
}
