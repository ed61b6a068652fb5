use super::*;

/// Connection to one peer, which is opened on demand with exponential backoff.
#[derive(Default)]
pub(crate) struct PeerConnection {
    client: Option<PeerServiceClient>,
    /// Failed attempts to connect since the last successful one.
    failure_count: u32,
    retry_at: Option<Instant>,
}

impl PeerConnection {
    /// Drops the client if `connection`, the number of the connection that failed, is still the
    /// current one.
    pub(crate) fn disconnect(&mut self, connection: u64, current: u64) {
        if connection == current {
            self.client = None;
        }
    }

    /// Returns the client of the open connection or of a new one, and whether it is new.
    pub(crate) async fn connect(
        &mut self,
        address: SocketAddr,
        settings: &PeerSettings,
    ) -> Result<(PeerServiceClient, bool), Error> {
        if let Some(client) = &self.client {
            return Ok((client.clone(), false));
        }
        let now = Instant::now();
        if let Some(retry_at) = self.retry_at.filter(|retry_at| *retry_at > now) {
            let wait = retry_at - now;
            return Err(Error::Backoff { address, wait });
        }
        match open_client(address, settings).await {
            Err(message) => {
                self.retry_at = Some(Instant::now() + self.retry_delay(settings));
                self.failure_count = self.failure_count.saturating_add(1);
                Err(Error::Connect { address, message })
            }
            Ok(client) => {
                self.client = Some(client.clone());
                self.failure_count = 0;
                self.retry_at = None;
                Ok((client, true))
            }
        }
    }

    fn retry_delay(&self, settings: &PeerSettings) -> Duration {
        let factor = 1_u64.checked_shl(self.failure_count).unwrap_or(u64::MAX);
        let delay_ms = settings.backoff_ms.saturating_mul(factor);
        Duration::from_millis(delay_ms.min(settings.backoff_max_ms))
    }
}

async fn open_client(
    address: SocketAddr,
    settings: &PeerSettings,
) -> Result<PeerServiceClient, Arc<str>> {
    let limit = Duration::from_millis(settings.connect_ms);
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Err(_) => return Err(format!("timed out after {limit:?}").into()),
        Ok(result) => result.map_err(|error| error.to_string())?,
    };
    stream
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;
    let transport = server::transport(stream, settings.frame_bytes);
    Ok(PeerServiceClient::new(client::Config::default(), transport).spawn())
}
