//! Malformed, oversized and slow requests must get a typed error answer or a closed connection, and
//! must not affect other connections.

#![allow(clippy::unwrap_used)]

use {
    futures::future::BoxFuture,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpSocket, TcpStream},
        sync::watch,
    },
    wire::{
        Call, Connection, FaultBody, Handler, Limits, Request, Response, ServerEvent,
        ServerEventReader, call,
        hyper::{
            StatusCode,
            header::{CONNECTION, HeaderValue},
        },
        serve, stream, text,
    },
    yare::parameterized,
};

struct Echo;

impl Handler for Echo {
    fn handle(self: Arc<Self>, request: Request) -> BoxFuture<'static, Response> {
        Box::pin(async move {
            if request.path != "/events" {
                return text(StatusCode::OK, request.body);
            }
            let (sender, response) = stream(StatusCode::OK, "text/event-stream");
            tokio::spawn(async move {
                for index in 0..3 {
                    let id = index.to_string();
                    let event = ServerEvent {
                        data: "a\nb".into(),
                        event: "token".into(),
                        id,
                    };
                    sender.send(event.encode()).await;
                }
            });
            response
        })
    }
}

async fn start_server(limits: Limits) -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(serve(listener, Arc::new(Echo), limits, stopped));
    (address, stop)
}

async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    // The server may reset the connection after its answer, so a read error ends the answer too.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into()
}

fn limits() -> Limits {
    Limits {
        body_bytes: 100,
        client_connection_count: 3,
        connection_count: 4,
        head_bytes: 8_192,
        idle_ms: 100,
    }
}

#[parameterized(
    body_too_long = { "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\nconnection: close\r\n\r\n", 101, "413", "body_too_long" },
    head_too_long = { "GET / HTTP/1.1\r\nhost: a\r\nx: ", 9_000, "431", "head_too_long" },
    nothing = { "", 0, "", "" },
    not_http = { "hello\r\n\r\n", 0, "400", "malformed_head" },
    slow_body = { "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\nconnection: close\r\n\r\n", 10, "408", "body_too_slow" },
    slow_head = { "GET / HT", 0, "408", "head_too_slow" },
)]
#[test_macro(tokio::test)]
async fn malformed_and_slow_requests_get_typed_errors(
    head: &str,
    filler_bytes: usize,
    status: &str,
    kind: &str,
) {
    let (address, _stop) = start_server(limits()).await;
    let mut bytes = head.as_bytes().to_vec();
    bytes.resize(bytes.len() + filler_bytes, b'x');
    let answer = send_raw(address, &bytes).await;
    assert_eq!(
        answer.split(' ').nth(1).unwrap_or_default(),
        status,
        "{answer}"
    );
    let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
    let fault = serde_json::from_str::<FaultBody>(body);
    assert_eq!(
        fault.map_or_else(|_| body.into(), |body| body.error.kind),
        kind
    );
    let reply = call(
        address,
        &Call {
            body: "fine".into(),
            ..Call::default()
        },
    )
    .await
    .unwrap();
    assert_eq!(reply.body, "fine");
}

async fn is_answered(address: SocketAddr) -> bool {
    let reply = call(address, &Call::get("/")).await;
    reply.is_ok_and(|reply| reply.status == StatusCode::OK)
}

/// Guards against a client that blocks all others by holding connections with incomplete requests.
#[tokio::test]
async fn one_address_cannot_use_up_all_connections() {
    let (address, _stop) = start_server(Limits {
        idle_ms: 3_600_000,
        ..limits()
    })
    .await;
    let mut idle_clients = Vec::new();
    for _ in 0..3 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(b"GET / HT").await.unwrap();
        idle_clients.push(stream);
    }
    let answer = send_raw(address, b"").await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("too_many_connections"), "{answer}");
    // 127.0.0.2 is also a loopback address and counts as another client.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.2:0".parse().unwrap()).unwrap();
    let mut other = socket.connect(address).await.unwrap();
    let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    other.write_all(request).await.unwrap();
    let mut answer = String::new();
    other.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    // The permit of a connection is released when the connection ends.
    idle_clients.clear();
    while !is_answered(address).await {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn server_events_arrive_as_sent() {
    let (address, _stop) = start_server(limits()).await;
    let limit = Duration::from_secs(10);
    let mut connection = Connection::open(address, limit).await.unwrap();
    let reply = connection.send(&Call::get("/events")).await.unwrap();
    let mut events = ServerEventReader::new(reply.lines());
    for index in 0..3 {
        let event = events.next(limit).await.unwrap().unwrap();
        assert_eq!(
            (event.data.as_str(), event.event.as_str()),
            ("a\nb", "token")
        );
        assert_eq!(event.id, index.to_string());
    }
    assert_eq!(events.next(limit).await.unwrap(), None);
}

#[tokio::test]
async fn a_refused_connection_counts_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert!(
        call(address, &Call::get("/"))
            .await
            .unwrap_err()
            .is_not_sent()
    );
}

#[tokio::test]
async fn a_connection_lost_after_sending_counts_as_possibly_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 16];
        stream.read_exact(&mut buffer).await.unwrap();
    });
    assert!(
        !call(address, &Call::get("/"))
            .await
            .unwrap_err()
            .is_not_sent()
    );
}

/// Guards against resetting connections that are in the listen backlog, with their requests, when
/// the server stops under load.
#[tokio::test]
async fn connections_made_before_the_stop_are_served() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut callers = Vec::new();
    for _ in 0..20 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let request = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody";
        stream.write_all(request).await.unwrap();
        callers.push(stream);
    }
    let (_stop, stopped) = watch::channel(true);
    serve(listener, Arc::new(Echo), Limits::default(), stopped).await;
    for mut stream in callers {
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.ends_with("body"), "{answer}");
    }
    assert!(
        TcpStream::connect(address).await.is_err(),
        "still listening"
    );
}

/// Handler that takes long for each request.
struct Slow;

impl Handler for Slow {
    fn handle(self: Arc<Self>, request: Request) -> BoxFuture<'static, Response> {
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(200)).await;
            let mut response = text(StatusCode::OK, request.path);
            // Handlers say that the connection ends as soon as the process is to stop.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
            response
        })
    }
}

/// Guards against requests that are lost in a planned stop: a request that had arrived together with the current one
/// was read and never answered.
#[parameterized(
    without_body = { "GET /2 HTTP/1.1\r\nhost: a\r\n\r\n" },
    with_length = { "POST /2 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc" },
    in_chunks = { "POST /2 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn requests_in_one_packet_are_all_answered_in_a_stop(second: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let serving = tokio::spawn(serve(listener, Arc::new(Slow), limits(), stopped));
    let first = "POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nab";
    let third = "GET /3 HTTP/1.1\r\nhost: a\r\n\r\n";
    let mut stream = TcpStream::connect(address).await.unwrap();
    let bytes = format!("{first}{second}{third}");
    stream.write_all(bytes.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    stop.send_replace(true);
    let mut answers = String::new();
    stream.read_to_string(&mut answers).await.unwrap();
    for path in ["/1", "/2", "/3"] {
        assert!(answers.contains(path), "no answer to {path}: {answers}");
    }
    assert_eq!(answers.matches("connection: close").count(), 1, "{answers}");
    serving.await.unwrap();
}

/// Answers with the age of each request in milliseconds, after 300 ms.
struct AgeReporter;

impl Handler for AgeReporter {
    fn handle(self: Arc<Self>, request: Request) -> BoxFuture<'static, Response> {
        let age_ms = request.age().as_millis().to_string();
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(300)).await;
            text(StatusCode::OK, age_ms)
        })
    }
}

/// Guards against requests that are dated by when they have been read to their end, so that the time before is not
/// counted towards their deadline. Each piece is sent 300 ms after the one before.
#[parameterized(
    alone = { &["GET / HTTP/1.1\r\nhost: a\r\n\r\n"], 0 },
    slow_body = { &["POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n", "a", "b"], 600 },
    slow_head = { &["GET / HTTP/1.1\r\nhost: a\r\n", "\r\n"], 300 },
    behind_an_empty_line = { &["\r\n", "GET / HTTP/1.1\r\nhost: a\r\n\r\n"], 0 },
    second_of_a_packet = { &["GET / HTTP/1.1\r\nhost: a\r\n\r\nGET / HTTP/1.1\r\nhost: a\r\n\r\n"], 300 },
)]
#[test_macro(tokio::test)]
async fn requests_are_dated_by_their_first_byte(pieces: &[&str], expected_ms: u64) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_stop, stopped) = watch::channel(false);
    let limits = Limits::default();
    tokio::spawn(serve(listener, Arc::new(AgeReporter), limits, stopped));
    let mut stream = TcpStream::connect(address).await.unwrap();
    for piece in pieces {
        stream.write_all(piece.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    let mut answer = vec![0; 10_000];
    let count = stream.read(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
    let last = answer.rsplit("\r\n\r\n").next().unwrap();
    let age_ms: u64 = last.parse().unwrap();
    assert!(
        (expected_ms..expected_ms + 200).contains(&age_ms),
        "{age_ms}"
    );
}

/// Guards against a request that arrives behind a running one after the server was asked to stop, and is read and then
/// dropped with the connection.
#[tokio::test]
async fn a_request_behind_a_running_one_is_answered_in_a_stop() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let limits = Limits::default();
    let server = tokio::spawn(serve(listener, Arc::new(AgeReporter), limits, stopped));
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    stop.send(true).unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    stream.write_all(request).await.unwrap();
    let mut answers = String::new();
    stream.read_to_string(&mut answers).await.unwrap();
    assert_eq!(answers.matches("200 OK").count(), 2, "{answers}");
    // Only the last answer ends the connection.
    assert_eq!(answers.matches("connection: close").count(), 1, "{answers}");
    server.await.unwrap();
}
