use {super::*, relay_client::connect, std::sync::PoisonError};

/// Most connections that are kept open. Owners of limits that are in use are few; beyond this number, all are
/// closed and opened again as needed.
const MAX_CONNECTION_COUNT: usize = 64;
/// Deadline of a query, which the router ends earlier.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks other instances for permits, over connections that are kept open.
pub struct PermitClient {
    clients: tracing_mutex::stdsync::Mutex<HashMap<SocketAddr, RelayServiceClient>>,
    /// Port at which all instances receive queries.
    port: u16,
}

impl PermitClient {
    /// Creates a client for instances that receive queries at `port` of the address at which they accept
    /// requests of callers.
    #[must_use]
    pub fn new(port: u16) -> Self {
        Self {
            clients: tracing_mutex::stdsync::Mutex::default(),
            port,
        }
    }

    async fn client(&self, address: SocketAddr) -> Result<RelayServiceClient, Error> {
        let kept = self.lock().get(&address).cloned();
        if let Some(client) = kept {
            return Ok(client);
        }
        let client = connect(address).await?;
        let mut clients = self.lock();
        if clients.len() >= MAX_CONNECTION_COUNT {
            clients.clear();
        }
        clients.insert(address, client.clone());
        Ok(client)
    }

    fn lock(
        &self,
    ) -> tracing_mutex::stdsync::MutexGuard<'_, HashMap<SocketAddr, RelayServiceClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a connection unless its query completed, also when the caller stops waiting: it may never work
/// again.
struct Discard<'a> {
    address: SocketAddr,
    client: &'a PermitClient,
    is_complete: bool,
}

impl Drop for Discard<'_> {
    fn drop(&mut self) {
        if !self.is_complete {
            self.client.lock().remove(&self.address);
        }
    }
}

impl PermitPeers for PermitClient {
    fn ask(
        &self,
        instance: &Instance,
        query: PermitQuery,
    ) -> BoxFuture<'_, Result<PermitReply, Error>> {
        let address = SocketAddr::new(instance.address.ip(), self.port);
        async move {
            let mut discard = Discard {
                address,
                client: self,
                is_complete: false,
            };
            let client = self.client(address).await?;
            let mut context = context::current();
            context.deadline = std::time::Instant::now() + QUERY_TIMEOUT;
            let reply = client.take_permit(context, query).await;
            let reply = reply.map_err(|error| Error::Unknown(error.to_string()))?;
            discard.is_complete = true;
            Ok(reply)
        }
        .boxed()
    }
}
