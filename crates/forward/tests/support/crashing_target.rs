use {
    super::TestTarget,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU8, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
        time::sleep,
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
    /// When each of them was received.
    pub hits: Arc<Mutex<Vec<Instant>>>,
}

/// What a request with the part does to its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashPoint {
    /// Ends it after this number of events.
    AfterEvents(u32),
    /// Ends it after the head of the answer.
    AfterHead,
    /// Ends it before the head of the answer.
    BeforeHead,
    /// Ends only the connection, before the head of the answer.
    LinkOnly,
}

/// Time between the events before a crash.
const EVENT_GAP: Duration = Duration::from_millis(10);

/// How the answers of a target end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    Chunks,
    /// With their connection.
    None,
}

/// Starts a target that `part` crashes after the head of the answer.
pub async fn crashing_target(part: &'static str, framing: Framing) -> CrashingTarget {
    crashing_target_at(part, framing, CrashPoint::AfterHead).await
}

/// Starts a target that `part` crashes at a point of the answer.
pub async fn crashing_target_at(
    part: &'static str,
    framing: Framing,
    point: CrashPoint,
) -> CrashingTarget {
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
    let hits: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let target = Serving {
        crash,
        framing,
        hit_count: hit_count.clone(),
        hits: hits.clone(),
        part,
        point,
    };
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = stopped.changed() => return,
                _ = crashed.changed() => return,
                accepted = listener.accept() => {
                    let (stream, _) = accepted.expect("test support works");
                    let mut crashed = crashed.clone();
                    let serve = target.clone().serve(stream);
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
        hits,
        target: TestTarget {
            address,
            requests,
            _stop: stop,
        },
    }
}

#[derive(Clone)]
struct Serving {
    crash: watch::Sender<bool>,
    framing: Framing,
    hit_count: Arc<AtomicUsize>,
    hits: Arc<Mutex<Vec<Instant>>>,
    part: &'static str,
    point: CrashPoint,
}

impl Serving {
    /// Answers the requests of one connection, each with a stream of two events.
    async fn serve(self, mut stream: TcpStream) {
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
            let chunked = match self.framing {
                Framing::Chunks => "transfer-encoding: chunked\r\n",
                Framing::None => "",
            };
            let answer = format!(
                "HTTP/1.1 200 OK\r\nx-id: {}\r\nx-signature: signed\r\n{chunked}\r\n",
                value("x-id")
            );
            if value("x-shared-parts")
                .split(',')
                .any(|one| one == self.part)
            {
                return self.crash(stream, &answer).await;
            }
            let _ = stream.write_all(answer.as_bytes()).await;
            let events = match self.framing {
                Framing::Chunks => "d\r\nid: 1\ndata:\n\n\r\nd\r\nid: 2\ndata:\n\n\r\n0\r\n\r\n",
                Framing::None => "id: 1\ndata:\n\nid: 2\ndata:\n\n",
            };
            let _ = stream.write_all(events.as_bytes()).await;
            if self.framing == Framing::None {
                return;
            }
        }
    }

    /// Answers a request with the part as far as the target comes before it ends.
    async fn crash(self, mut stream: TcpStream, head: &str) {
        self.hits.lock().expect("the hits").push(Instant::now());
        self.hit_count.fetch_add(1, Ordering::Relaxed);
        let event_count = match self.point {
            CrashPoint::LinkOnly => return,
            CrashPoint::BeforeHead => {
                self.crash.send_replace(true);
                return;
            }
            CrashPoint::AfterHead => 0,
            CrashPoint::AfterEvents(count) => count,
        };
        let _ = stream.write_all(head.as_bytes()).await;
        for id in 1..=event_count {
            let event = format!("id: {id}\ndata:\n\n");
            let event = match self.framing {
                Framing::Chunks => format!("{:x}\r\n{event}\r\n", event.len()),
                Framing::None => event,
            };
            let _ = stream.write_all(event.as_bytes()).await;
            sleep(EVENT_GAP).await;
        }
        self.crash.send_replace(true);
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
