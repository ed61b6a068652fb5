//! Proxy that writes the replies of a connection a second time.

use {
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        task::JoinHandle,
        time::sleep,
    },
};

/// Time between a copy and the reply after it, so that the client reads the copy alone.
const REPLY_GAP: Duration = Duration::from_millis(20);

/// Running proxy, which accepts no more connections when dropped.
pub struct RepeatingProxy {
    pub address: SocketAddr,
    connection_count: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl RepeatingProxy {
    /// Starts a proxy to `target`. Before each reply but the first of a connection, it writes the one before again,
    /// and it writes the first reply after `first_delay`.
    pub async fn start(target: SocketAddr, first_delay: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let connection_count: Arc<AtomicUsize> = Arc::default();
        let count = connection_count.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(forward(stream, target, first_delay));
            }
        });
        Self {
            address,
            connection_count,
            task,
        }
    }

    /// Number of connections accepted so far.
    pub fn connection_count(&self) -> usize {
        self.connection_count.load(Ordering::Relaxed)
    }
}

impl Drop for RepeatingProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(client: TcpStream, target: SocketAddr, first_delay: Duration) -> Option<()> {
    let server = TcpStream::connect(target).await.ok()?;
    let (mut requests, mut to_client) = client.into_split();
    let (mut replies, mut to_server) = server.into_split();
    tokio::select! {
        _ = tokio::io::copy(&mut requests, &mut to_server) => {}
        _ = repeat(&mut replies, &mut to_client, first_delay) => {}
    }
    Some(())
}

/// Forwards replies, which are short enough to arrive in a single read each.
async fn repeat(
    replies: &mut OwnedReadHalf,
    client: &mut OwnedWriteHalf,
    first_delay: Duration,
) -> Option<()> {
    let mut copy = Vec::new();
    loop {
        let reply = read(replies).await?;
        client.write_all(&copy).await.ok()?;
        let is_first = copy.is_empty();
        sleep(if is_first { first_delay } else { REPLY_GAP }).await;
        client.write_all(&reply).await.ok()?;
        copy = reply;
    }
}

/// Reads the bytes that have arrived; none at the end of the connection.
async fn read(stream: &mut OwnedReadHalf) -> Option<Vec<u8>> {
    let mut buffer = vec![0; 64 * 1024];
    let count = stream.read(&mut buffer).await.ok()?;
    buffer.truncate(count);
    (count > 0).then_some(buffer)
}
