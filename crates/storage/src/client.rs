use super::*;

/// HTTP client of the platform. Clones share the address that answered last.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    /// Index of the address that is tried first: the one that answered last.
    preferred_index: Arc<AtomicUsize>,
    settings: Arc<PlatformSettings>,
}

impl PlatformClient {
    /// Creates a client without connecting.
    ///
    /// # Errors
    ///
    /// Returns `Error::NoAddress` when the settings contain no address.
    pub fn new(settings: PlatformSettings) -> Result<Self, Error> {
        if settings.addresses.is_empty() {
            return Err(Error::NoAddress);
        }
        Ok(Self {
            preferred_index: Arc::new(AtomicUsize::new(0)),
            settings: Arc::new(settings),
        })
    }

    /// Sends `call` to one address after another until one replies with an accepted status. A
    /// write is not sent to another address once one may have received a part of it.
    pub(crate) async fn send_with_failover(
        &self,
        mut call: Call,
        is_read: bool,
        accepted: &[StatusCode],
    ) -> Result<Reply, StoreFailure> {
        call.connect_timeout = Duration::from_millis(self.settings.connect_limit_ms);
        call.reply_timeout = Duration::from_millis(self.settings.reply_limit_ms);
        call.max_reply_bytes = self.settings.reply_bytes;
        let count = self.settings.addresses.len();
        let first = self.preferred_index.load(Ordering::Relaxed);
        for offset in 0..count {
            let index = (first + offset) % count;
            let failure = match send_once(self.settings.addresses[index], &call).await {
                Err(failure) => failure,
                Ok(reply) if accepted.contains(&reply.status) => {
                    self.preferred_index.store(index, Ordering::Relaxed);
                    return Ok(reply);
                }
                Ok(reply) if reply.status == StatusCode::SERVICE_UNAVAILABLE => {
                    SendFailure::Refused
                }
                Ok(reply) => SendFailure::Unknown(format!("unexpected status {}", reply.status)),
            };
            tracing::debug!(path = call.path, ?failure, "platform request failed");
            match failure {
                SendFailure::NotSent(_) => {}
                SendFailure::Refused | SendFailure::Unknown(_) if is_read => {}
                SendFailure::Refused => return Err(StoreFailure::Unavailable),
                SendFailure::Unknown(_) => return Err(StoreFailure::Ambiguous),
            }
        }
        Err(StoreFailure::Unavailable)
    }
}

/// Result of a failed attempt at one address.
#[derive(Debug)]
enum SendFailure {
    /// No byte was sent.
    NotSent(#[expect(dead_code, reason = "read by the log")] wire::Error),
    /// The platform replied that it did not carry out the request.
    Refused,
    /// The request was sent, and it is not known whether it was carried out.
    Unknown(#[expect(dead_code, reason = "read by the log")] String),
}

/// Sends `call` over a new connection and reads the complete reply.
async fn send_once(address: SocketAddr, call: &Call) -> Result<Reply, SendFailure> {
    let to_failure = |error: wire::Error| match error.is_not_sent() {
        false => SendFailure::Unknown(error.to_string()),
        true => SendFailure::NotSent(error),
    };
    let connection = Connection::open(address, call.connect_timeout).await;
    connection
        .map_err(to_failure)?
        .call(call)
        .await
        .map_err(to_failure)
}
