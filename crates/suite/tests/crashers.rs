//! Tests the quarantine: a request that crashes every engine that runs it must not take down one
//! target after another.

use {
    standin::{EngineSettings, ServiceSettings},
    std::time::Duration,
    suite::{Caller, Cluster, ExpectedAnswer, SERVICE, Setup},
    wire::{Call, hyper::StatusCode},
};

/// Text that crashes every engine that processes a prompt with it.
const CRASH_MARKER: &str = "crash-the-engine";

/// Maximum engines that the request may crash. Two are expected, because `SEND_INTERVAL` leaves
/// time for heartbeats before the caller tries the next instance; one more allows for a heartbeat
/// that a busy machine delays.
const MAX_CRASHED_ENGINE_COUNT: usize = 3;

/// Time between two sends: three heartbeat intervals, because heartbeats carry the quarantine.
const SEND_INTERVAL: Duration = Duration::from_millis(1_500);

/// Sends the crashing prompt to one instance. Returns the status of the reply and whether it has a
/// retry time; none if there was no reply.
async fn send(caller: &Caller, number: usize) -> anyhow::Result<Option<(StatusCode, bool)>> {
    let answer = ExpectedAnswer {
        prompt: format!("Describe {CRASH_MARKER}."),
        ..ExpectedAnswer::default()
    };
    let mut body = answer.body();
    // The status of a stream is sent at its start and does not show how it ends.
    body["stream"] = false.into();
    let call = Call::post("/v1/completions", &body)?
        .header("authorization", format!("Bearer {}", caller.key));
    let mut reply = wire::call(caller.entries[number % caller.entries.len()], &call).await;
    if let Ok(reply) = &mut reply {
        let has_retry_time = reply.header("retry-after").is_some();
        let is_error = String::from_utf8_lossy(&reply.body).contains("retry_after_ms");
        return Ok(Some((reply.status, has_retry_time || is_error)));
    }
    Ok(None)
}

/// The caller sends the prompt repeatedly to one instance after another, while other callers'
/// streams run and must complete.
#[tokio::test]
async fn crashing_prompt_is_quarantined() -> anyhow::Result<()> {
    let setup = Setup {
        domain_count: 4,
        engine: EngineSettings {
            crash_marker: CRASH_MARKER.into(),
            step_us: 20_000,
            ..EngineSettings::default()
        },
        entry_count: 3,
        service: ServiceSettings {
            service: SERVICE.into(),
            ..ServiceSettings::default()
        },
        stage_count: 2,
        ..Setup::default()
    };
    let mut cluster = Cluster::start(setup).await?;
    let caller = cluster.caller()?;
    let mut other_streams = Vec::new();
    for seed in 0..6 {
        let answer = ExpectedAnswer {
            prompt: format!("Describe lagoon {seed}."),
            seed,
            token_count: 200,
        };
        other_streams.push(answer.spawn(caller.clone()));
    }
    let mut last_reply = None;
    for number in 0..12 {
        last_reply = send(&caller, number).await?.or(last_reply);
        if number < 3 {
            tokio::time::sleep(SEND_INTERVAL).await;
        }
    }
    let (status, has_retry_time) = last_reply.unwrap_or_default();
    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
    assert!(has_retry_time, "the refusal has no retry time");
    let mut crashed_count = 0;
    for engine in &mut cluster.engines {
        crashed_count += usize::from(!engine.is_listening().await?);
    }
    assert!(
        crashed_count <= MAX_CRASHED_ENGINE_COUNT,
        "{crashed_count} engines crashed"
    );
    for stream in other_streams {
        stream.await??;
    }
    cluster.check().await
}
