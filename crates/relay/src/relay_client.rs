use super::*;

/// Timeout for connecting to another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for an answer, in addition to the wait that the query requests.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Queries other instances, one at a time, over a connection that is kept open.
#[derive(Default)]
pub struct RelayClient {
    /// Connection to the instance that was queried last.
    client: Mutex<Option<(SocketAddr, RelayServiceClient)>>,
}

impl RelayClient {
    async fn client(&self, address: SocketAddr) -> Result<RelayServiceClient, Error> {
        let mut kept = self.client.lock().await;
        if let Some((_, client)) = kept.as_ref().filter(|(known, _)| *known == address) {
            return Ok(client.clone());
        }
        let client = connect(address).await?;
        *kept = Some((address, client.clone()));
        Ok(client)
    }

    /// Sends a query with `send`, and waits for the answer for `wait` and a time for the transmission.
    async fn send_query<T>(
        &self,
        address: SocketAddr,
        wait: Duration,
        send: impl AsyncFnOnce(RelayServiceClient, Context) -> Result<Option<T>, RpcError>,
    ) -> Result<T, Error> {
        let client = self.client(address).await?;
        let limit = wait + ANSWER_TIMEOUT;
        let mut context = context::current();
        context.deadline = std::time::Instant::now() + limit;
        let error = match timeout(limit, send(client, context)).await {
            Ok(Ok(Some(answer))) => return Ok(answer),
            Ok(Ok(None)) => {
                return Err(Error::Refused(format!(
                    "{address} has no state yet or is leaving"
                )));
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer from {address} within {limit:?}"),
        };
        // A connection on which an answer failed to arrive may never work again.
        *self.client.lock().await = None;
        Err(Error::Unknown(error))
    }
}

impl Relay for RelayClient {
    fn ask(&self, address: SocketAddr, query: Query) -> BoxFuture<'_, Result<RelayReply, Error>> {
        let wait = query.wait;
        let send = async |client: RelayServiceClient, context| client.ask(context, query).await;
        self.send_query(address, wait, send).boxed()
    }

    fn exchange_phased_victims(
        &self,
        address: SocketAddr,
        query: PhasedVictimQuery,
    ) -> BoxFuture<'_, Result<PhasedVictimAnswer, Error>> {
        let wait = query.wait;
        let send = async |client: RelayServiceClient, context| {
            client.exchange_phased_victims(context, query).await
        };
        self.send_query(address, wait, send).boxed()
    }

    fn exchange_victims(
        &self,
        address: SocketAddr,
        query: VictimQuery,
    ) -> BoxFuture<'_, Result<VictimAnswer, Error>> {
        let wait = query.wait;
        let send = async |client: RelayServiceClient, context| {
            client.exchange_victims(context, query).await
        };
        self.send_query(address, wait, send).boxed()
    }
}

/// Connects to another instance.
pub(crate) async fn connect(address: SocketAddr) -> Result<RelayServiceClient, Error> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Err(_) => {
            return Err(Error::Refused(format!("connection to {address} timed out")));
        }
        Ok(Err(error)) => return Err(Error::Refused(error.to_string())),
        Ok(Ok(stream)) => stream,
    };
    let _ = stream.set_nodelay(true);
    let transport = peer::transport(stream, FRAME_BYTES);
    Ok(RelayServiceClient::new(client::Config::default(), transport).spawn())
}
