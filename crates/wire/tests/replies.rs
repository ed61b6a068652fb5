//! Guards against replies that reach the wrong request on a kept connection, and against bytes of a reply that are
//! lost or changed while replies to other requests are discarded.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

use {
    http_body_util::Full,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
    wire::{
        Connection, Connector, Error, TcpConnector,
        bytes::Bytes,
        hyper::{Method, Request, StatusCode, header::HeaderName},
    },
    yare::parameterized,
};

/// Time limit of each wait in a test.
const LIMIT: Duration = Duration::from_secs(20);
/// Time for bytes to arrive at an idle connection.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

/// Server that writes one text in reply to each request of a connection, in pieces of `piece_bytes`.
async fn server(replies: Vec<String>, piece_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, replies.clone(), piece_bytes));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, replies: Vec<String>, piece_bytes: usize) {
    stream.set_nodelay(true).unwrap();
    for reply in replies {
        // Requests are short enough to arrive in a single read.
        if stream.read(&mut [0; 4_096]).await.unwrap_or_default() == 0 {
            return;
        }
        for piece in reply.as_bytes().chunks(piece_bytes) {
            if stream.write_all(piece).await.is_err() {
                return;
            }
            tokio::task::yield_now().await;
        }
    }
    let _ = stream.read(&mut [0; 4_096]).await;
}

async fn open(address: SocketAddr) -> Connection {
    let echo = HeaderName::from_static("x-id");
    let stream = TcpConnector.connect(address, LIMIT).await.unwrap();
    Connection::with_echo(address, stream, echo).await.unwrap()
}

async fn send(
    connection: &mut Connection,
    method: Method,
    id: &str,
) -> Result<(StatusCode, Bytes), Error> {
    let request = Request::builder()
        .method(method)
        .uri("/")
        .header("x-id", id);
    let request = request.body(Full::default()).unwrap();
    let mut reply = connection.send_request(request, LIMIT).await?;
    let body = reply.read(LIMIT, 1_000_000).await?;
    Ok((reply.status, body))
}

fn with_length(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn in_chunks(id: &str, body: &str) -> String {
    let mut text = format!("HTTP/1.1 200 OK\r\nX-Id:  {id} \r\nTransfer-Encoding: chunked\r\n\r\n");
    for piece in body.as_bytes().chunks(10) {
        let size = piece.len();
        text.push_str(&format!(
            "{size:x};a=b\r\n{}\r\n",
            String::from_utf8_lossy(piece)
        ));
    }
    text + "0\r\nx-trailer: 1\r\n\r\n"
}

/// Body that contains what looks like a head and the end of a chunked body.
const BODY: &str =
    "0\r\n\r\nHTTP/1.1 200 OK\r\nx-id: 2\r\ncontent-length: 5\r\n\r\nother, and some more text";

/// Guards against a position in the received bytes that is lost at a border between two reads.
#[parameterized(
    single_bytes = { 1 },
    pairs = { 2 },
    odd = { 7 },
    large = { 4_096 },
)]
#[test_macro(tokio::test)]
async fn replies_to_other_requests_are_discarded_whole(piece_bytes: usize) {
    let mut replies = Vec::new();
    for number in 1..=4 {
        let own = number.to_string();
        let mut text = String::new();
        text += &with_length("other", BODY);
        text += &in_chunks("other", BODY);
        text += "HTTP/1.1 204 No Content\r\nx-id: other\r\n\r\n";
        text += "HTTP/1.1 103 Early Hints\r\n\r\n";
        text += "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 2\r\n\r\nno";
        text +=
            &format!("HTTP/1.1 200 OK\r\nx-id: {own}\r\nx-id: other\r\ncontent-length: 0\r\n\r\n");
        text += &match number % 2 {
            0 => with_length(&own, BODY),
            _ => in_chunks(&own, BODY),
        };
        replies.push(text);
    }
    let mut connection = open(server(replies, piece_bytes).await).await;
    for number in 1..=4 {
        let reply = send(&mut connection, Method::GET, &number.to_string()).await;
        assert_eq!(reply.unwrap(), (StatusCode::OK, BODY.into()));
        let discarded = connection.take_discarded();
        assert_eq!((discarded.count, discarded.last_status), (5, 200));
        assert_eq!(discarded.last_echo, number.to_string());
    }
    assert_eq!(connection.request_count(), 4);
}

/// Guards against a request that is sent on a connection with bytes left, which would be taken for its reply.
#[tokio::test]
async fn idle_connection_that_receives_bytes_is_closed() {
    let replies = vec![with_length("1", "one") + &with_length("1", "one")];
    let mut connection = open(server(replies, 4_096).await).await;
    assert!(send(&mut connection, Method::GET, "1").await.is_ok());
    sleep(ARRIVAL_TIME).await;
    assert!(!connection.is_open());
    let second = send(&mut connection, Method::GET, "2").await;
    assert!(second.unwrap_err().is_not_sent());
}

/// Guards against a position that is lost because the reply to a request without a body, or a copy of it, is read
/// as one with a body, or the other way round.
#[tokio::test]
async fn copies_of_replies_to_head_requests_have_no_body() {
    let head = |id: &str| format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 5\r\n\r\n");
    let (one, two, three) = (
        with_length("1", "one"),
        head("2"),
        with_length("3", "three"),
    );
    let replies = vec![
        one.clone(),
        one.clone() + &two,
        two.clone() + &one + &three,
        with_length("4", "four"),
    ];
    let mut connection = open(server(replies, 4_096).await).await;
    for (method, id, body) in [
        (Method::GET, "1", "one"),
        (Method::HEAD, "2", ""),
        (Method::GET, "3", "three"),
        (Method::GET, "4", "four"),
    ] {
        let reply = send(&mut connection, method, id).await;
        assert_eq!(reply.unwrap(), (StatusCode::OK, body.into()));
    }
}

/// Guards against a reply that looks complete, or a request that counts as not sent, when the server sends other
/// bytes than a whole reply to the request.
#[parameterized(
    cut_in_the_head = { "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-other" },
    cut_in_the_body = { "HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 5\r\n\r\nonly" },
    cut_in_a_chunk = { "HTTP/1.1 200 OK\r\nx-id: 1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nonly" },
    invalid_chunk = { "HTTP/1.1 200 OK\r\nx-id: 1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n" },
    two_lengths = { "HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 5\r\ncontent-length: 4\r\n\r\nfours" },
    no_reply = { "some other protocol\r\n\r\n" },
    other_reply_without_length = { "HTTP/1.1 200 OK\r\nx-id: other\r\n\r\nHTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 0\r\n\r\n" },
    other_reply_cut_in_the_body = { "HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 500\r\n\r\nHTTP/1.1 200 OK\r\nx-id: 1\r\n" },
    other_reply_with_an_invalid_chunk_end = { "HTTP/1.1 200 OK\r\nx-id: other\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabcXX0\r\n\r\nHTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 0\r\n\r\n" },
    other_reply_with_two_lengths = { "HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 0\r\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn reply_that_is_not_whole_is_an_error(bytes: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4_096]).await;
        let _ = stream.write_all(bytes.as_bytes()).await;
    });
    let mut connection = open(address).await;
    let error = send(&mut connection, Method::GET, "1").await.unwrap_err();
    assert!(!error.is_not_sent(), "{error}");
    assert!(!connection.is_open());
}

/// Guards against a client that reads bytes which are no reply to its request for ever, or keeps them in memory.
#[parameterized(
    heads_of_others = { "HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 0\r\n\r\n", "" },
    interim_heads = { "HTTP/1.1 102 Processing\r\n\r\n", "" },
    body_of_another = { "a", "HTTP/1.1 200 OK\r\nx-id: other\r\n\r\n" },
    head_without_an_end = { "x-other: 1\r\n", "HTTP/1.1 200 OK\r\n" },
)]
#[test_macro(tokio::test)]
async fn endless_bytes_end_with_an_error(repeated: &'static str, start: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4_096]).await;
        let _ = stream.write_all(start.as_bytes()).await;
        let many = repeated.repeat(1_000);
        while stream.write_all(many.as_bytes()).await.is_ok() {}
    });
    let mut connection = open(address).await;
    let error = send(&mut connection, Method::GET, "1").await.unwrap_err();
    assert!(
        matches!(error, Error::Broken { .. } | Error::Malformed { .. }),
        "{error}"
    );
}

/// Guards against a reply to another request that passes because its head is longer than what is examined.
#[tokio::test]
async fn reply_with_a_long_head_is_an_error() {
    let padding = "x".repeat(100_000);
    let long =
        format!("HTTP/1.1 503 No\r\nx-id: other\r\nx-long: {padding}\r\ncontent-length: 0\r\n\r\n");
    let mut connection = open(server(vec![long + &with_length("1", "one")], 4_096).await).await;
    let error = send(&mut connection, Method::GET, "1").await.unwrap_err();
    assert!(!error.is_not_sent(), "{error}");
}

/// Guards against a request without an id whose reply cannot be told from a copy of another one without an id.
#[tokio::test]
async fn request_without_an_id_needs_a_connection_of_its_own() {
    let mut connection = open(server(vec![with_length("1", "one")], 4_096).await).await;
    assert!(!connection.has_carried(""));
    assert!(send(&mut connection, Method::GET, "1").await.is_ok());
    assert!(connection.has_carried(""));
}

/// Guards against a copy of a reply that is taken for the reply to a second request with the same id.
#[tokio::test]
async fn connection_knows_the_ids_that_it_has_carried() {
    let replies = vec![with_length("1", ""), with_length("2", "")];
    let mut connection = open(server(replies, 4_096).await).await;
    for id in ["1", "2"] {
        assert!(!connection.has_carried(id));
        send(&mut connection, Method::GET, id).await.unwrap();
        assert!(connection.has_carried(id));
    }
    assert!(connection.has_carried("1"));
}

/// Guards against a server that keeps a request waiting with interim replies, whose examination takes the time of other
/// requests.
#[tokio::test]
async fn reply_behind_many_interim_replies_is_an_error() {
    let interim = "HTTP/1.1 102 Processing\r\n\r\n";
    for (count, is_accepted) in [(100, true), (10_000, false)] {
        let reply = interim.repeat(count) + &with_length("1", "own");
        let mut connection = open(server(vec![reply], 64 * 1024).await).await;
        let result = send(&mut connection, Method::POST, "1").await;
        assert_eq!(
            result.is_ok(),
            is_accepted,
            "{count} interim replies: {result:?}"
        );
    }
}
