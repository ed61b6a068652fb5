//! Complete instances on loopback without a platform: start, limits on requests, and graceful and
//! immediate shutdown.

use {
    entry::{RunningInstance, Settings, Shutdown, start},
    std::net::SocketAddr,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::watch,
    },
    wire::Call,
    yare::parameterized,
};

fn settings() -> Settings {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = Settings {
        address: loopback,
        peer_address: loopback,
        ..Settings::default()
    };
    // Nothing listens on port 1, so the platform is unreachable.
    settings.platform.addresses = vec![SocketAddr::from(([127, 0, 0, 1], 1))];
    settings.peer.secret = "secret".into();
    settings.limits.body_bytes = 1_000;
    settings
}

async fn start_instance(settings: Settings) -> (RunningInstance, watch::Sender<Shutdown>) {
    let (sender, shutdown) = watch::channel(Shutdown::None);
    let running = start(settings, shutdown).await.expect("free ports");
    (running, sender)
}

/// Guards against an instance that reports to be ready, or does not start, while the platform is
/// unreachable.
#[tokio::test]
async fn an_instance_without_a_platform_is_alive_but_not_ready() {
    let (running, _shutdown) = start_instance(settings()).await;
    for (path, status) in [("/health", 200), ("/ready", 503), ("/metrics", 200)] {
        let reply = wire::call(running.address, &Call::get(path)).await.unwrap();
        assert_eq!(reply.status, status, "{path}");
    }
}

/// Guards against an immediate shutdown that waits for requests or for the platform.
#[tokio::test]
async fn an_immediate_stop_waits_for_nothing() {
    let (running, shutdown) = start_instance(settings()).await;
    shutdown.send(Shutdown::Immediate).unwrap();
    running.stopped().await;
}

/// Guards against a graceful shutdown that never ends: an immediate shutdown request ends it, and
/// so does the time limit.
#[tokio::test]
async fn a_graceful_stop_can_be_cut_short() {
    let (running, shutdown) = start_instance(settings()).await;
    shutdown.send(Shutdown::Graceful).unwrap();
    let mut text = String::new();
    while !text.contains("draining") {
        let reply = wire::call(running.address, &Call::get("/ready")).await;
        text = String::from_utf8_lossy(&reply.unwrap().body).into_owned();
    }
    shutdown.send(Shutdown::Immediate).unwrap();
    running.stopped().await;
    let (running, shutdown) = start_instance(Settings {
        drain_limit_ms: 1,
        ..settings()
    })
    .await;
    shutdown.send(Shutdown::Graceful).unwrap();
    running.stopped().await;
}

/// Guards against malformed, oversized or slow requests without a typed error answer, and against
/// effects on other connections.
#[parameterized(
    long_body = { "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2000\r\n\r\n", 2_000, "413", "body_too_long" },
    long_head = { "GET /health HTTP/1.1\r\nx: ", 40_000, "431", "head_too_long" },
    negative_length = { "GET / HTTP/1.1\r\ncontent-length: -1\r\n\r\n", 0, "400", "malformed_head" },
    no_http = { "\u{0}\u{1}\r\n\r\n", 0, "400", "malformed_head" },
    slow_body = { "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n", 1, "408", "body_too_slow" },
    slow_head = { "GET /health HTTP/1.1\r\nx: ", 1, "408", "head_too_slow" },
)]
#[test_macro(tokio::test)]
async fn malformed_and_slow_requests_get_typed_errors(
    input: &str,
    filler_bytes: usize,
    status: &str,
    kind: &str,
) {
    let mut settings = settings();
    settings.limits.idle_ms = 100;
    let (running, _shutdown) = start_instance(settings).await;
    let mut stream = TcpStream::connect(running.address).await.unwrap();
    // The server may close the connection before it has read everything.
    let input = input.to_owned() + &"a".repeat(filler_bytes);
    let _ = stream.write_all(input.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    assert!(
        answer.contains(&format!("{{\"error\":{{\"kind\":\"{kind}\"")),
        "{answer}"
    );
    let reply = wire::call(running.address, &Call::get("/health")).await;
    assert_eq!(reply.unwrap().status, 200);
}

/// Guards against an error message that does not name the setting to change.
#[tokio::test]
async fn a_port_conflict_error_names_the_setting() {
    let (running, _shutdown) = start_instance(settings()).await;
    let (_sender, shutdown) = watch::channel(Shutdown::None);
    let conflicting = Settings {
        peer_address: running.peer_address,
        ..settings()
    };
    let error = start(conflicting, shutdown).await.unwrap_err().to_string();
    assert!(error.contains("`peer_address`"), "{error}");
}
