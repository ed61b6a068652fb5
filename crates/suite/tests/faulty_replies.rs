//! Tests that the proxy injects each fault. Otherwise failure tests could pass without a failure.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

use {
    std::net::SocketAddr,
    suite::{FILL_BYTE, FaultyReplies, ReplyFault, ReplyFaults},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
    yare::parameterized,
};

/// Number of bytes after which an endless reply is not read any further.
const READ_BYTES: usize = 100_000;
/// Refusal of the first request, which the proxy forwards unchanged.
const REFUSAL: &str = "HTTP/1.1 503 Full\r\nx-id: 1\r\ncontent-length: 4\r\n\r\nfull";
/// Reply to the second request, at which a fault is injected.
const REPLY: &str = "HTTP/1.1 200 OK\r\nx-id: 2\r\ncontent-length: 4\r\n\r\nbody";
/// The same in chunks.
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nx-id: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n";

/// Starts a server that takes each byte for a request, and refuses the first one of a connection.
async fn start_server(reply: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut next = REFUSAL;
                while stream.read_u8().await.is_ok() {
                    let _ = stream.write_all(next.as_bytes()).await;
                    next = reply;
                }
            });
        }
    });
    address
}

/// Reads up to `count` bytes. Returns them and whether the connection was reset.
async fn read(stream: &mut TcpStream, count: usize) -> (String, bool) {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while bytes.len() < count {
        let free = buffer.len().min(count - bytes.len());
        match stream.read(&mut buffer[..free]).await {
            Err(_) => return (String::from_utf8_lossy(&bytes).into(), true),
            Ok(0) => break,
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
        }
    }
    (String::from_utf8_lossy(&bytes).into(), false)
}

/// Sends two requests, the second one with a fault. Returns up to `count` bytes of what follows the
/// refusal of the first one, and whether the connection was reset.
async fn exchange(reply: &'static str, fault: ReplyFault, count: usize) -> (String, bool) {
    let faults = ReplyFaults {
        faults: vec![fault],
        id_header: "x-id",
        seed: 1,
        share: 0.0,
    };
    let proxy = FaultyReplies::start(start_server(reply).await, faults);
    let proxy = proxy.await.unwrap();
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    stream.write_u8(0).await.unwrap();
    let (refusal, _) = read(&mut stream, REFUSAL.len()).await;
    assert_eq!(refusal, REFUSAL);
    proxy.set_share(1.0);
    stream.write_u8(0).await.unwrap();
    let result = read(&mut stream, count).await;
    assert_eq!(proxy.injected()[&format!("{fault:?}")], 1);
    result
}

#[parameterized(
    before = { ReplyFault::CopyBefore, format!("{REFUSAL}{REPLY}") },
    behind = { ReplyFault::CopyBehind, REPLY.repeat(2) },
    of_refusal = { ReplyFault::CopyOfRefusal, format!("{REFUSAL}{REPLY}") },
    without_id = { ReplyFault::CopyOfRefusalWithoutId, format!("{}{REPLY}", REFUSAL.replace("x-id: 1\r\n", "")) },
)]
#[test_macro(tokio::test)]
async fn copy_leaves_the_reply_whole(fault: ReplyFault, expected: String) {
    let (seen, _) = exchange(REPLY, fault, expected.len()).await;
    assert_eq!(seen, expected);
}

#[parameterized(
    behind_head = { REPLY, ReplyFault::CutBehindHead, "\r\n\r\n", false },
    in_body = { REPLY, ReplyFault::CutInBody, "\r\n\r\nbo", false },
    in_chunked_body = { CHUNKED, ReplyFault::CutInBody, "\r\n\r\n2\r\n", false },
    in_head = { REPLY, ReplyFault::CutInHead, "x-id: ", false },
    in_refusal = { REPLY, ReplyFault::CutInRefusal, "content-length: 4", false },
    error = { CHUNKED, ReplyFault::ErrorInBody, "2\r\nbo\r\nHTTP/1.1 500 Internal Server Error\r\ncontent-length: 6\r\n\r\nfailed", false },
    no_reply = { REPLY, ReplyFault::NoReply, "no reply ~\r\n\r\n", false },
    reset = { REPLY, ReplyFault::Reset, "\r\n\r\nbo", true },
    reset_unframed = { REPLY, ReplyFault::ResetUnframed, "connection: close\r\n\r\nbo", true },
)]
#[test_macro(tokio::test)]
async fn damaged_reply_ends_the_connection(
    reply: &'static str,
    fault: ReplyFault,
    end: &str,
    is_reset: bool,
) {
    let (seen, was_reset) = exchange(reply, fault, READ_BYTES).await;
    assert!(seen.ends_with(end), "{seen:?}");
    assert_eq!(was_reset, is_reset);
}

#[parameterized(
    body = { REPLY, ReplyFault::EndlessBody, "4\r\nbody\r\n400\r\n" },
    chunked_body = { CHUNKED, ReplyFault::EndlessBody, "2\r\ndy\r\n400\r\n" },
    head = { REPLY, ReplyFault::EndlessHead, "content-length: 4\r\nx-fill: " },
)]
#[test_macro(tokio::test)]
async fn endless_reply_lasts_until_the_client_closes(
    reply: &'static str,
    fault: ReplyFault,
    start: &str,
) {
    let (seen, _) = exchange(reply, fault, READ_BYTES).await;
    assert_eq!(seen.len(), READ_BYTES);
    let (_, rest) = seen.split_once(start).expect("the start of the reply");
    assert!(rest.starts_with(char::from(FILL_BYTE)));
}
