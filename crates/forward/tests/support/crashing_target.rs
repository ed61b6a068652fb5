use {
    super::TestTarget,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU8, AtomicUsize, Ordering},
        },
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
    tracing_mutex::stdsync::Mutex,
    wire::Request,
};

/// Number of crashing targets of this process. Each has an address of its own, so that no other listener
/// takes over the port of one that has crashed.
static TARGET_COUNT: AtomicU8 = AtomicU8::new(0);

/// Fake target that ends for good when it begins to write an answer to a request with a shared part.
pub struct CrashingTarget {
    pub target: TestTarget,
    /// Number of requests with the part that were received.
    pub hit_count: Arc<AtomicUsize>,
}

/// How the answers of a target end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    Chunks,
    /// With their connection.
    None,
}

/// Starts a target that `part` crashes.
pub async fn crashing_target(part: &'static str, framing: Framing) -> CrashingTarget {
    let index = TARGET_COUNT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id().to_le_bytes();
    let address = SocketAddr::from(([127, process[0] | 1, process[1], index], 0));
    let listener = TcpListener::bind(address)
        .await
        .expect("test support works");
    let address = listener.local_addr().expect("test support works");
    let hit_count = Arc::new(AtomicUsize::new(0));
    let (stop, mut stopped) = watch::channel(false);
    let (crash, mut crashed) = watch::channel(false);
    let requests: Arc<Mutex<Vec<Request>>> = Arc::default();
    let hits = hit_count.clone();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = stopped.changed() => return,
                _ = crashed.changed() => return,
                accepted = listener.accept() => {
                    let (stream, _) = accepted.expect("test support works");
                    let mut crashed = crashed.clone();
                    let serve = serve(stream, part, framing, crash.clone(), hits.clone());
                    tokio::spawn(async move {
                        tokio::select! {
                            _ = crashed.changed() => {}
                            () = serve => {}
                        }
                    });
                }
            }
        }
    });
    CrashingTarget {
        hit_count,
        target: TestTarget {
            address,
            requests,
            _stop: stop,
        },
    }
}

/// Answers the requests of one connection, each with a stream of two events.
async fn serve(
    mut stream: TcpStream,
    part: &'static str,
    framing: Framing,
    crash: watch::Sender<bool>,
    hit_count: Arc<AtomicUsize>,
) {
    loop {
        let Some(head) = read_request(&mut stream).await else {
            return;
        };
        let value = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(": "));
            lines
                .find(|(key, _)| *key == name)
                .map_or("", |(_, value)| value)
        };
        let chunked = match framing {
            Framing::Chunks => "transfer-encoding: chunked\r\n",
            Framing::None => "",
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-id: {}\r\nx-signature: signed\r\n{chunked}\r\n",
            value("x-id")
        );
        let _ = stream.write_all(answer.as_bytes()).await;
        if value("x-shared-parts").split(',').any(|one| one == part) {
            hit_count.fetch_add(1, Ordering::Relaxed);
            crash.send_replace(true);
            return;
        }
        let events = match framing {
            Framing::Chunks => "d\r\nid: 1\ndata:\n\n\r\nd\r\nid: 2\ndata:\n\n\r\n0\r\n\r\n",
            Framing::None => "id: 1\ndata:\n\nid: 2\ndata:\n\n",
        };
        let _ = stream.write_all(events.as_bytes()).await;
        if framing == Framing::None {
            return;
        }
    }
}

/// Reads the head and the body of a request; none at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(bytes).expect("the head is text");
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length = length.map_or(0, |length| length.parse().expect("the length is a number"));
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    Some(head)
}
