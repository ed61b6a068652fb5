//! Guards against reporting a failure after bytes were sent as "not run", which would let a non-idempotent
//! operation run twice.

#![expect(clippy::unwrap_used, reason = "an error in a helper fails its test")]

use {
    futures::StreamExt,
    std::net::SocketAddr,
    target::{EngineClient, Engines, ServiceClient, Services, TargetSettings},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
    types::{CallReply, FailureKind, GenerateRequest, LayerRange, Route, Stage},
    yare::parameterized,
};

const SETTINGS: TargetSettings = TargetSettings {
    connect_limit_ms: 1_000,
    idle_limit_ms: 200,
    poll_limit_ms: 200,
    reply_bytes: 16,
    service_limit_ms: 200,
};

/// Server that reads some bytes of each request, writes `reply` and closes the connection. If `reply` is
/// none, it keeps the connection open without sending anything.
async fn scripted_server(reply: Option<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 16_384]).await;
                match reply {
                    None => std::future::pending().await,
                    Some(reply) => {
                        let _ = stream.write_all(reply.as_bytes()).await;
                        let _ = stream.shutdown().await;
                    }
                }
            });
        }
    });
    address
}

async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

async fn call(address: SocketAddr) -> Result<CallReply, FailureKind> {
    ServiceClient::new(SETTINGS)
        .call(address, "confirm".into(), Some("k".into()), "x".into())
        .await
}

async fn generate(address: SocketAddr) -> FailureKind {
    let request = GenerateRequest {
        attempt: 7,
        delivered: Vec::new(),
        max_tokens: 1,
        model: "m".into(),
        priority: 0,
        prompt: "p".into(),
        request: "r".into(),
        route: Route {
            layer_count: 1,
            stages: vec![Stage {
                address,
                layers: LayerRange { end: 1, start: 0 },
                target: "first".into(),
            }],
        },
        seed: 0,
    };
    let records: Vec<_> = EngineClient::new(SETTINGS)
        .generate(address, request)
        .collect()
        .await;
    let failure = records.last().unwrap().clone().unwrap_err();
    assert_eq!((failure.attempt, &*failure.target), (7, "first"));
    failure.kind
}

#[parameterized(
    closed = { Some(""), FailureKind::Broken },
    cut_body = { Some("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{"), FailureKind::Broken },
    garbage = { Some("what?\r\n\r\n"), FailureKind::Protocol },
    not_run = { Some("HTTP/1.1 503 x\r\nx-outcome: not-run\r\ncontent-length: 0\r\n\r\n"), FailureKind::Refused },
    silent = { None, FailureKind::Silent },
    too_long = { Some("HTTP/1.1 200 OK\r\ncontent-length: 17\r\n\r\n0123456789abcdefg"), FailureKind::Protocol },
)]
#[test_macro(tokio::test)]
async fn service_failures(reply: Option<&'static str>, kind: FailureKind) {
    assert_eq!(call(scripted_server(reply).await).await, Err(kind));
}

/// Guards against treating a plain 503 as a refusal; it does not prove that the operation has not run.
#[tokio::test]
async fn plain_503_of_a_service_is_its_answer() {
    let address = scripted_server(Some("HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n")).await;
    assert_eq!(call(address).await.unwrap().status, 503);
}

#[tokio::test]
async fn refused_connection_is_unreachable() {
    assert_eq!(
        call(closed_address().await).await,
        Err(FailureKind::Unreachable)
    );
    assert_eq!(
        generate(closed_address().await).await,
        FailureKind::Unreachable
    );
}

#[parameterized(
    bad_status = { Some("HTTP/1.1 418 x\r\ncontent-length: 0\r\n\r\n"), FailureKind::Protocol },
    busy = { Some("HTTP/1.1 429 x\r\ncontent-length: 0\r\n\r\n"), FailureKind::Refused },
    closed = { Some(""), FailureKind::Broken },
    cut_line = { Some("HTTP/1.1 200 OK\r\n\r\n{\"token\":"), FailureKind::Broken },
    garbage = { Some("HTTP/1.1 200 OK\r\n\r\nwhat?\n"), FailureKind::Protocol },
    no_end = { Some("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"), FailureKind::Broken },
    refused = { Some("HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n"), FailureKind::Refused },
    silent = { None, FailureKind::Silent },
)]
#[test_macro(tokio::test)]
async fn engine_failures(reply: Option<&'static str>, kind: FailureKind) {
    assert_eq!(generate(scripted_server(reply).await).await, kind);
}
