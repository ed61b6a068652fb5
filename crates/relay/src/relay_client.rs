use super::*;

/// Time to make a connection between instances.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for an answer, beyond the wait that the question asks for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks other instances, one at a time, over one kept connection.
#[derive(Default)]
pub struct RelayClient {
    /// Connection to the instance that was asked last.
    client: Mutex<Option<(SocketAddr, RelayServiceClient)>>,
}

impl RelayClient {
    async fn client(&self, address: SocketAddr) -> Result<RelayServiceClient, Error> {
        let mut kept = self.client.lock().await;
        if let Some((_, client)) = kept.as_ref().filter(|(known, _)| *known == address) {
            return Ok(client.clone());
        }
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Err(_) => {
                return Err(Error::Refused(format!(
                    "no connection to {address} in time"
                )));
            }
            Ok(Err(error)) => return Err(Error::Refused(error.to_string())),
            Ok(Ok(stream)) => stream,
        };
        let _ = stream.set_nodelay(true);
        let transport = peer::transport(stream, FRAME_BYTES);
        let client = RelayServiceClient::new(client::Config::default(), transport).spawn();
        *kept = Some((address, client.clone()));
        Ok(client)
    }

    async fn send_query(&self, address: SocketAddr, query: Query) -> Result<RelayReply, Error> {
        let client = self.client(address).await?;
        let limit = query.wait + ANSWER_TIMEOUT;
        let mut context = context::current();
        context.deadline = std::time::Instant::now() + limit;
        let error = match timeout(limit, client.ask(context, query)).await {
            Ok(Ok(Some(answer))) => return Ok(answer),
            Ok(Ok(None)) => {
                return Err(Error::Refused(format!(
                    "{address} knows nothing yet or is leaving"
                )));
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer of {address} in {limit:?}"),
        };
        // A connection that fell silent may never work again.
        *self.client.lock().await = None;
        Err(Error::Unknown(error))
    }
}

impl Relay for RelayClient {
    fn ask(&self, address: SocketAddr, query: Query) -> BoxFuture<'_, Result<RelayReply, Error>> {
        self.send_query(address, query).boxed()
    }
}
