//! Malformed, oversized and slow requests must get a typed answer or be closed, and must not
//! disturb other connections.

#![allow(clippy::unwrap_used)]

use {
    futures::future::BoxFuture,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
    wire::{
        Call, Connection, Handler, Limits, Request, Response, ServerEvent, ServerEventReader, call,
        hyper::StatusCode, serve, stream, text,
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

async fn start(limits: Limits) -> (SocketAddr, watch::Sender<bool>) {
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
    // The server may reset the connection after its answer, so a read error is an end too.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into()
}

fn limits() -> Limits {
    Limits {
        body_bytes: 100,
        head_bytes: 8_192,
        idle_ms: 100,
        ..Limits::default()
    }
}

#[parameterized(
    body_too_long = { "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\nconnection: close\r\n\r\n", 101, "413" },
    head_too_long = { "GET / HTTP/1.1\r\nhost: a\r\nx: ", 9_000, "431" },
    not_http = { "hello\r\n\r\n", 0, "400" },
    slow_body = { "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\nconnection: close\r\n\r\n", 10, "408" },
    slow_head = { "GET / HT", 0, "" },
)]
#[test_macro(tokio::test)]
async fn bad_input_is_refused(head: &str, filler_bytes: usize, status: &str) {
    let (address, _stop) = start(limits()).await;
    let mut bytes = head.as_bytes().to_vec();
    bytes.resize(bytes.len() + filler_bytes, b'x');
    let answer = send_raw(address, &bytes).await;
    assert_eq!(
        answer.split(' ').nth(1).unwrap_or_default(),
        status,
        "{answer}"
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

#[tokio::test]
async fn server_events_arrive_as_sent() {
    let (address, _stop) = start(limits()).await;
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
async fn a_refused_connection_is_known_not_to_be_sent() {
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
async fn a_connection_that_breaks_after_the_request_may_have_been_seen() {
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
