//! Guards against a server that keeps a call open without ever completing its reply.

use {
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::{sleep, timeout},
    },
    wire::{Call, Error, call},
};

/// Time limit of the calls.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause between the bytes of the reply, shorter than the time limit.
const BYTE_PAUSE: Duration = Duration::from_millis(30);
/// Time after which a call counts as kept open.
const LIMIT: Duration = Duration::from_secs(5);

/// Starts a server that sends one byte of a long body now and then.
async fn trickling_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        // The request is short enough to arrive in a single read.
        let _ = stream.read(&mut [0; 4_096]).await;
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n";
        let _ = stream.write_all(head.as_bytes()).await;
        while stream.write_all(b"x").await.is_ok() {
            sleep(BYTE_PAUSE).await;
        }
    });
    address
}

#[tokio::test]
async fn reply_that_trickles_ends_at_the_time_limit() {
    let address = trickling_server().await;
    let request = Call {
        reply_timeout: REPLY_TIMEOUT,
        ..Call::get("/")
    };
    let reply = timeout(LIMIT, call(address, &request)).await;
    assert!(matches!(reply, Ok(Err(Error::Timeout { .. }))), "{reply:?}");
}
