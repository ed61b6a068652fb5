use super::*;

/// Time after which an unused connection is closed, so that connections to replaced peers do not
/// accumulate.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Client for all peers that keeps one connection to each.
#[derive(Clone)]
pub struct Pool {
    peers: Arc<Mutex<HashMap<SocketAddr, Peer>>>,
    settings: Arc<PeerSettings>,
}

struct Peer {
    connection: Arc<SharedConnection>,
    used_at: Instant,
}

#[derive(Default)]
struct SharedConnection {
    inner: tokio::sync::Mutex<NumberedConnection>,
}

/// Connection to one peer, and the number of connections opened to it so far. The number tells a
/// failed call whether its connection has already been replaced.
#[derive(Default)]
struct NumberedConnection {
    number: u64,
    connection: PeerConnection,
}

impl Debug for Pool {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter.debug_struct("Pool").finish_non_exhaustive()
    }
}

impl Pool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(settings: PeerSettings) -> Self {
        Self {
            peers: Arc::default(),
            settings: Arc::new(settings),
        }
    }

    fn call<T, F>(
        &self,
        address: SocketAddr,
        send: impl FnOnce(PeerServiceClient, Context, Secret) -> F + Send + 'static,
    ) -> BoxFuture<'static, Result<T, Error>>
    where
        F: Future<Output = Result<Result<T, Rejection>, RpcError>> + Send,
        T: Send + 'static,
    {
        let (connection, settings) = (self.connection(address), self.settings.clone());
        async move {
            let (client, number) = connection.client(address, &settings).await?;
            let limit = Duration::from_millis(settings.call_ms);
            let mut context = tarpc::context::current();
            context.deadline = std::time::Instant::now() + limit;
            // The deadline of tarpc does not include the time that a call waits in its queue.
            let answer = timeout(limit, send(client, context, settings.secret.clone())).await;
            let error = match answer {
                Ok(Ok(Ok(answer))) => return Ok(answer),
                Ok(Ok(Err(Rejection::Secret))) => return Err(Error::Secret { address }),
                Err(_) | Ok(Err(RpcError::DeadlineExceeded)) => Error::Deadline { address, limit },
                Ok(Err(error)) => Error::Call {
                    address,
                    message: error.to_string().into(),
                },
            };
            connection.disconnect(number).await;
            Err(error)
        }
        .boxed()
    }

    fn connection(&self, address: SocketAddr) -> Arc<SharedConnection> {
        let now = Instant::now();
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if !peers.contains_key(&address) {
            peers.retain(|_, peer| now - peer.used_at < IDLE_TIMEOUT);
        }
        let peer = peers.entry(address).or_insert_with(|| Peer {
            connection: Arc::default(),
            used_at: now,
        });
        peer.used_at = now;
        peer.connection.clone()
    }
}

impl SharedConnection {
    async fn client(
        &self,
        address: SocketAddr,
        settings: &PeerSettings,
    ) -> Result<(PeerServiceClient, u64), Error> {
        let mut numbered = self.inner.lock().await;
        let (client, is_new) = numbered.connection.connect(address, settings).await?;
        numbered.number += u64::from(is_new);
        Ok((client, numbered.number))
    }

    async fn disconnect(&self, number: u64) {
        let mut numbered = self.inner.lock().await;
        let current = numbered.number;
        numbered.connection.disconnect(number, current);
    }
}

impl Peers for Pool {
    fn append_journal(
        &self,
        address: SocketAddr,
        append: JournalAppend,
    ) -> BoxFuture<'static, Result<AppendAnswer, Error>> {
        self.call(address, |client, context, secret| async move {
            client.append_journal(context, secret, append).await
        })
    }

    fn call_status(
        &self,
        address: SocketAddr,
        query: CallQuery,
    ) -> BoxFuture<'static, Result<OwnerStatus, Error>> {
        self.call(address, |client, context, secret| async move {
            client.call_status(context, secret, query).await
        })
    }

    fn changes_since(
        &self,
        address: SocketAddr,
        version: ConfigVersion,
    ) -> BoxFuture<'static, Result<Changes, Error>> {
        self.call(address, move |client, context, secret| async move {
            client.changes_since(context, secret, version).await
        })
    }

    fn heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: Heartbeat,
    ) -> BoxFuture<'static, Result<(), Error>> {
        self.call(address, |client, context, secret| async move {
            client.heartbeat(context, secret, heartbeat).await
        })
    }

    fn leave(
        &self,
        address: SocketAddr,
        instance: InstanceId,
        incarnation: Incarnation,
    ) -> BoxFuture<'static, Result<(), Error>> {
        self.call(address, move |client, context, secret| async move {
            client.leave(context, secret, instance, incarnation).await
        })
    }

    fn push_changes(
        &self,
        address: SocketAddr,
        records: Vec<ChangeRecord>,
    ) -> BoxFuture<'static, Result<(), Error>> {
        self.call(address, |client, context, secret| async move {
            client.push_changes(context, secret, records).await
        })
    }

    fn take_journal(
        &self,
        address: SocketAddr,
        take: TakeRequest,
    ) -> BoxFuture<'static, Result<TakeAnswer, Error>> {
        self.call(address, move |client, context, secret| async move {
            client.take_journal(context, secret, take).await
        })
    }
}
