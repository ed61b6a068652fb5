use super::*;

/// Size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// What a relay does with its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkState {
    /// Closes all connections, and new ones as soon as they are accepted.
    Disconnected,
    /// Delays each piece of data by this time before it is forwarded.
    Delayed(Duration),
    /// Forwards requests and discards replies.
    DropReplies,
    /// Forwards everything.
    #[default]
    Open,
    /// Forwards nothing and keeps connections open, like a network that loses all packets. Data
    /// that waits is handled according to the next state.
    Stalled,
}

/// TCP relay in the test process that simulates network failures between two processes. Dropping it
/// closes all of its connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    dropped: Arc<AtomicU64>,
    link: watch::Sender<LinkState>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error when no port is free.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let link = watch::Sender::new(LinkState::Open);
        let dropped = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept(listener, target, link.clone(), dropped.clone()));
        Ok(Self {
            address,
            dropped,
            link,
            task,
        })
    }

    /// Address that clients must use instead of the target's.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of bytes of replies that were discarded.
    #[must_use]
    pub fn dropped_bytes(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Changes the state of the link; applies to open connections as well.
    pub fn set(&self, link: LinkState) {
        self.link.send_replace(link);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    link: watch::Sender<LinkState>,
    dropped: Arc<AtomicU64>,
) {
    let mut connections = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        if *link.borrow() == LinkState::Disconnected {
            continue;
        }
        connections.spawn(proxy_connection(
            client,
            target,
            link.subscribe(),
            dropped.clone(),
        ));
    }
}

async fn proxy_connection(
    client: TcpStream,
    target: SocketAddr,
    mut link: watch::Receiver<LinkState>,
    dropped: Arc<AtomicU64>,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = copy_bytes(client_read, server_write, link.clone(), None);
    let replies = copy_bytes(server_read, client_write, link.clone(), Some(&dropped));
    tokio::select! {
        _ = async { tokio::join!(requests, replies) } => {}
        _ = link.wait_for(|link| *link == LinkState::Disconnected) => {}
    }
}

/// Copies bytes in one direction. `dropped` counts discarded bytes and is set only in the direction
/// of replies.
async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<LinkState>,
    dropped: Option<&AtomicU64>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = match from.read(&mut buffer).await {
            Err(_) | Ok(0) => break,
            Ok(count) => count,
        };
        let state = match link.wait_for(|link| *link != LinkState::Stalled).await {
            Err(_) => break,
            Ok(state) => *state,
        };
        match (state, dropped) {
            (LinkState::Delayed(delay), _) => sleep(delay).await,
            (LinkState::DropReplies, Some(dropped)) => {
                dropped.fetch_add(count as u64, Ordering::Relaxed);
                continue;
            }
            _ => {}
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
