//! Tests that the load generator resumes broken streams instead of counting them as complete, and
//! that it refuses addresses of other hosts.

#![allow(clippy::unwrap_used)]

use {
    load::{LoadSettings, run},
    settings::parse,
    std::{future::Future, net::SocketAddr, pin::Pin, sync::Arc},
    tokio::{net::TcpListener, sync::watch},
    wire::{
        Handler, Limits, Request, Response, ServerEvent, hyper::StatusCode, json, serve, stream,
    },
};

/// Number of tokens in each answer.
const TOKEN_COUNT: u32 = 4;

/// Fake of an entry instance that closes each new stream after the first token and completes it
/// only when it is resumed.
struct StreamBreakingInstance {
    address: SocketAddr,
}

impl Handler for StreamBreakingInstance {
    fn handle(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        Box::pin(async move {
            if request.path == "/v1/addresses" {
                let entry = serde_json::json!({"address": self.address.to_string()});
                let answer = serde_json::json!({"addresses": [entry], "time_to_live_ms": 1_000});
                return json(StatusCode::OK, &answer);
            }
            let (from, to) = match request.header("last-event-id") {
                None => (1, 1),
                Some(_) => (2, TOKEN_COUNT),
            };
            let (sender, response) = stream(StatusCode::OK, "text/event-stream");
            tokio::spawn(async move {
                for index in from..=to {
                    sender.send(token(index).encode()).await;
                }
                if to == TOKEN_COUNT {
                    let data = "[DONE]".into();
                    sender
                        .send(
                            ServerEvent {
                                data,
                                ..ServerEvent::default()
                            }
                            .encode(),
                        )
                        .await;
                }
            });
            response
        })
    }
}

fn token(index: u32) -> ServerEvent {
    ServerEvent {
        data: r#"{"choices":[{"text":"a","finish_reason":null}]}"#.into(),
        event: String::new(),
        id: format!("r1.entry-a.-.{index}"),
    }
}

async fn start_instance() -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, shutdown) = watch::channel(false);
    tokio::spawn(serve(
        listener,
        Arc::new(StreamBreakingInstance { address }),
        Limits::default(),
        shutdown,
    ));
    (address, stop)
}

fn load_settings(entry: SocketAddr, key_file: &str) -> LoadSettings {
    LoadSettings {
        entries: vec![entry],
        key_file: key_file.into(),
        long_fraction: 0.0,
        progress_ms: 0,
        prompts_per_s: 50.0,
        short_tokens: TOKEN_COUNT,
        span_ms: 500,
        ..LoadSettings::default()
    }
}

/// Guards against broken streams that are not resumed, and against tokens counted twice after a
/// resumption.
#[tokio::test]
async fn broken_streams_are_resumed_and_counted_once() {
    let (address, _stop) = start_instance().await;
    let key_file_path = std::env::temp_dir().join(format!("load-key-{}", std::process::id()));
    std::fs::write(&key_file_path, "secret\n").unwrap();
    let report = run(&load_settings(address, &key_file_path.to_string_lossy()))
        .await
        .unwrap();
    std::fs::remove_file(&key_file_path).unwrap();
    assert_eq!(report.incomplete_count(), 0, "{}", report.table());
    assert!(report.complete_count() > 0);
}

/// Guards against load on other hosts, and against settings outside their range.
#[test]
fn other_hosts_are_refused() {
    let text = r#"{"entries": ["192.0.2.1:80"], "long_fraction": 1.5}"#;
    let message = parse::<LoadSettings>("load.json", text)
        .unwrap_err()
        .to_string();
    assert!(message.contains("is not a loopback address"), "{message}");
    assert!(message.contains("long_fraction"), "{message}");
}
