use super::*;

/// The platform's object store. Names are one path segment of unreserved characters.
pub trait Objects: Debug + Send + Sync {
    /// Deletes an object; deleting an absent one succeeds.
    ///
    /// # Errors
    ///
    /// Returns `StoreFailure::Ambiguous` when the request was sent and no reply came.
    fn delete(&self, name: Arc<str>) -> BoxFuture<'static, Result<(), StoreFailure>>;

    /// Reads an object; none when it is absent.
    ///
    /// # Errors
    ///
    /// Returns `StoreFailure::Unavailable` when no address gave a reply.
    fn get(&self, name: Arc<str>) -> BoxFuture<'static, Result<Option<Bytes>, StoreFailure>>;

    /// Creates or replaces an object.
    ///
    /// # Errors
    ///
    /// Returns `StoreFailure::Ambiguous` when the request was sent and no reply came.
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
