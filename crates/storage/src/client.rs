use super::*;

/// Client of the platform over HTTP. Clones share the choice of address.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    /// Position of the address that is tried first.
    preferred: Arc<AtomicUsize>,
    settings: Arc<PlatformSettings>,
}

impl PlatformClient {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// Returns `Error::NoAddress` when the settings name no address.
    pub fn new(settings: PlatformSettings) -> Result<Self, Error> {
        if settings.addresses.is_empty() {
            return Err(Error::NoAddress);
        }
        Ok(Self {
            preferred: Arc::new(AtomicUsize::new(0)),
            settings: Arc::new(settings),
        })
    }

    /// Sends `call` to one address after another until one replies with an accepted status. A
    /// write stops at the first address that may have received a part of it.
    pub(crate) async fn exchange(
        &self,
        mut call: Call,
        is_read: bool,
        accepted: &[StatusCode],
    ) -> Result<Reply, StoreFailure> {
        call.connect_limit = Duration::from_millis(self.settings.connect_limit_ms);
        call.limit = Duration::from_millis(self.settings.reply_limit_ms);
        call.limit_bytes = self.settings.reply_bytes;
        let count = self.settings.addresses.len();
        let first = self.preferred.load(Ordering::Relaxed);
        for offset in 0..count {
            let position = (first + offset) % count;
            let failure = match attempt(self.settings.addresses[position], &call).await {
                Err(failure) => failure,
                Ok(reply) if accepted.contains(&reply.status) => {
                    self.preferred.store(position, Ordering::Relaxed);
                    return Ok(reply);
                }
                Ok(reply) if reply.status == StatusCode::SERVICE_UNAVAILABLE => Failure::Refused,
                Ok(reply) => Failure::Unknown(format!("unexpected status {}", reply.status)),
            };
            tracing::debug!(path = call.path, ?failure, "platform request failed");
            match failure {
                Failure::NotSent(_) => {}
                Failure::Refused | Failure::Unknown(_) if is_read => {}
                Failure::Refused => return Err(StoreFailure::Unavailable),
                Failure::Unknown(_) => return Err(StoreFailure::Ambiguous),
            }
        }
        Err(StoreFailure::Unavailable)
    }
}

#[derive(Debug)]
enum Failure {
    NotSent(#[expect(dead_code, reason = "read by the log")] wire::Error),
    Refused,
    Unknown(#[expect(dead_code, reason = "read by the log")] String),
}

async fn attempt(address: SocketAddr, call: &Call) -> Result<Reply, Failure> {
    let fault = |error: wire::Error| match error.is_not_sent() {
        false => Failure::Unknown(error.to_string()),
        true => Failure::NotSent(error),
    };
    let connection = Connection::open(address, call.connect_limit).await;
    connection.map_err(fault)?.call(call).await.map_err(fault)
}
