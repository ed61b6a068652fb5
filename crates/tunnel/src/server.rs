use {super::*, message::FRAME_BYTES};

/// Delay after a failure to accept a connection, which lets open connections end.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time limit for the first message of an instance.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of tunnels. Each needs two descriptors, of which the requests of callers need most.
const MAX_TUNNEL_COUNT: usize = 512;

/// Connects other instances with targets until `stopped`, and then waits until the open tunnels have ended.
pub async fn serve(listener: TcpListener, router: Arc<Router>, mut stopped: watch::Receiver<bool>) {
    let free = Arc::new(Semaphore::new(MAX_TUNNEL_COUNT));
    let mut tunnels = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stopped| *stopped) => break,
            Some(_) = tunnels.join_next() => continue,
        };
        let stream = match accepted {
            Err(error) => {
                tracing::warn!(%error, "cannot accept a tunnel");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
            Ok((stream, _)) => stream,
        };
        let Ok(permit) = free.clone().try_acquire_owned() else {
            tracing::warn!(count = MAX_TUNNEL_COUNT, "too many tunnels");
            continue;
        };
        let router = router.clone();
        tunnels.spawn(async move {
            if let Err(error) = answer(stream, &router).await {
                tracing::debug!(%error, "tunnel ended");
            }
            drop(permit);
        });
    }
    drop(listener);
    while tunnels.join_next().await.is_some() {}
}

async fn answer(mut stream: TcpStream, router: &Router) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let message = timeout(MESSAGE_TIMEOUT, receive(&mut stream)).await;
    let query = match message.map_err(io::Error::other)?? {
        Message::Connect(query) => query,
        Message::Pause { target, wait_ms } => {
            router.record_peer_pause(&target, Duration::from_millis(wait_ms));
            return Ok(());
        }
    };
    let opened = router.connect_for_peer(&query).await;
    let outcome = opened
        .as_ref()
        .map_or_else(ToString::to_string, |_| "open".into());
    let address = stream.peer_addr()?;
    tracing::info!(requester = %address.ip(), target = &*query.target, outcome, "tunnel requested");
    match opened {
        Err(error) => send(&mut stream, &Err::<(), _>(error)).await,
        Ok(target) => {
            send(&mut stream, &Ok::<_, TunnelError>(())).await?;
            forward(stream, target).await
        }
    }
}

/// Forwards bytes until one side closes its connection.
async fn forward(requester: TcpStream, target: BoxedStream) -> io::Result<()> {
    let (mut requests, answers) = requester.into_split();
    let (from_target, mut to_target) = tokio::io::split(target);
    tokio::select! {
        sent = tokio::io::copy(&mut requests, &mut to_target) => sent.map(|_| ()),
        answered = forward_answers(from_target, answers) => answered,
    }
}

async fn forward_answers(
    mut target: impl AsyncReadExt + Unpin,
    requester: OwnedWriteHalf,
) -> io::Result<()> {
    let mut frames = FramedWrite::new(requester, codec());
    let mut buffer = vec![0; FRAME_BYTES];
    loop {
        let count = target.read(&mut buffer).await?;
        frames
            .send(Bytes::copy_from_slice(&buffer[..count]))
            .await?;
        if count == 0 {
            return Ok(());
        }
    }
}
