use super::*;

/// Serves calls of peers until `shutdown` becomes true.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn PeerHandler>,
    settings: PeerSettings,
    mut shutdown: watch::Receiver<bool>,
) {
    let connections = Arc::new(Semaphore::new(settings.connection_count));
    let mut tasks = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &connections) => accepted,
            _ = shutdown.wait_for(|stop| *stop) => break,
        };
        let Some((stream, permit)) = accepted else {
            continue;
        };
        while tasks.try_join_next().is_some() {}
        let service = AuthenticatedService {
            expected_hash: settings.secret.hash(),
            handler: handler.clone(),
        };
        let settings = settings.clone();
        tasks.spawn(async move {
            serve_connection(stream, service, &settings).await;
            drop(permit);
        });
    }
    tasks.shutdown().await;
}

async fn accept(
    listener: &TcpListener,
    connections: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let permit = connections.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Err(error) => {
            // Out of file descriptors or memory: let open connections end.
            tracing::warn!(%error, "cannot accept a peer connection");
            tokio::time::sleep(Duration::from_millis(50)).await;
            None
        }
        Ok((stream, _)) => {
            let _ = stream.set_nodelay(true);
            Some((stream, permit))
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    service: AuthenticatedService,
    settings: &PeerSettings,
) {
    let transport = transport(stream, settings.frame_bytes);
    let requests = BaseChannel::with_defaults(transport)
        .max_concurrent_requests(settings.request_count)
        .execute(service::PeerService::serve(service));
    run_requests(requests, settings.request_count).await;
}

async fn run_requests<F: Future<Output = ()>>(
    requests: impl Stream<Item = F>,
    request_count: usize,
) {
    requests
        .for_each_concurrent(request_count, |request| request)
        .await;
}

/// Frames messages with a length prefix, so that a frame above the limit closes the connection
/// before it is read.
pub fn transport<Item, SinkItem>(
    stream: TcpStream,
    frame_bytes: usize,
) -> Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>
where
    Item: for<'a> Deserialize<'a>,
    SinkItem: Serialize,
{
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(frame_bytes)
        .new_framed(stream);
    serde_transport::new(framed, Bincode::default())
}

/// Checks the secret of each call and forwards the call to the handler.
#[derive(Clone)]
struct AuthenticatedService {
    expected_hash: Hash,
    handler: Arc<dyn PeerHandler>,
}

impl AuthenticatedService {
    fn check(&self, secret: &Secret) -> Result<(), Rejection> {
        // An empty secret would admit every process that can reach the port.
        if secret.is_empty() || secret.hash() != self.expected_hash {
            tracing::warn!("rejected a peer call: the secret does not match");
            return Err(Rejection::Secret);
        }
        Ok(())
    }
}

impl service::PeerService for AuthenticatedService {
    async fn append_journal(
        self,
        _: Context,
        secret: Secret,
        append: JournalAppend,
    ) -> Result<AppendAnswer, Rejection> {
        self.check(&secret)?;
        Ok(self.handler.append_journal(append).await)
    }

    async fn call_status(
        self,
        _: Context,
        secret: Secret,
        query: CallQuery,
    ) -> Result<OwnerStatus, Rejection> {
        self.check(&secret)?;
        Ok(self.handler.call_status(query).await)
    }

    async fn changes_since(
        self,
        _: Context,
        secret: Secret,
        version: ConfigVersion,
    ) -> Result<Changes, Rejection> {
        self.check(&secret)?;
        Ok(self.handler.changes_since(version).await)
    }

    async fn heartbeat(
        self,
        _: Context,
        secret: Secret,
        heartbeat: Heartbeat,
    ) -> Result<(), Rejection> {
        self.check(&secret)?;
        self.handler.heartbeat(heartbeat).await;
        Ok(())
    }

    async fn leave(
        self,
        _: Context,
        secret: Secret,
        instance: InstanceId,
        incarnation: Incarnation,
    ) -> Result<(), Rejection> {
        self.check(&secret)?;
        self.handler.leave(instance, incarnation).await;
        Ok(())
    }

    async fn push_changes(
        self,
        _: Context,
        secret: Secret,
        records: Vec<ChangeRecord>,
    ) -> Result<(), Rejection> {
        self.check(&secret)?;
        self.handler.push_changes(records).await;
        Ok(())
    }

    async fn take_journal(
        self,
        _: Context,
        secret: Secret,
        take: TakeRequest,
    ) -> Result<TakeAnswer, Rejection> {
        self.check(&secret)?;
        let answer = self.handler.take_journal(take);
        Ok(answer.await)
    }
}
