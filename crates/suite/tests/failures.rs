//! Tests that answers and non-repeatable calls are not lost, duplicated or reported wrongly when
//! one process fails.

use {
    serde_json::{Value, json},
    standin::{EngineSettings, Outage, PlatformFaults, ServiceFaults},
    suite::{CallOutcome, Cluster, MODEL, SERVICE, Setup, StreamState, engine_log, wait_until},
    tokio::task::JoinHandle,
};

const PROMPT: &str = "Describe the lagoon.";

/// Length of an answer in tokens. With `STEP_US` it takes long enough to inject a failure in its
/// middle.
const TOKEN_COUNT: u32 = 100;

const STEP_US: u64 = 30_000;

/// Starts an answer and waits until five tokens have arrived.
async fn start_answer(
    cluster: &Cluster,
) -> anyhow::Result<JoinHandle<anyhow::Result<StreamState>>> {
    let caller = cluster.caller()?;
    let body = json!({"model": MODEL, "prompt": PROMPT, "max_tokens": TOKEN_COUNT, "seed": 7,
        "stream": true});
    let answer = tokio::spawn(async move { caller.generate(&body).await });
    wait_until("five tokens have arrived", async || {
        Ok((cluster.recorder.token_count() >= 5).then_some(()))
    })
    .await?;
    Ok(answer)
}

async fn slow_cluster() -> anyhow::Result<Cluster> {
    let engine = EngineSettings {
        step_us: STEP_US,
        ..EngineSettings::default()
    };
    Cluster::start(Setup {
        engine,
        ..Setup::default()
    })
    .await
}

async fn check_answer(
    cluster: &Cluster,
    answer: JoinHandle<anyhow::Result<StreamState>>,
) -> anyhow::Result<()> {
    let stream = answer.await??;
    let expected = standin::answer_text(PROMPT, 7, TOKEN_COUNT);
    assert_eq!(stream.text, expected);
    cluster.check().await
}

fn confirm() -> (String, Value) {
    let path = format!("/v1/services/{SERVICE}/confirm");
    (path, json!({"room": 12}))
}

#[tokio::test]
async fn stream_survives_the_loss_of_its_instance() -> anyhow::Result<()> {
    let mut cluster = slow_cluster().await?;
    let answer = start_answer(&cluster).await?;
    cluster.entries[0].kill()?;
    check_answer(&cluster, answer).await
}

#[tokio::test]
async fn stream_survives_the_loss_of_a_stage() -> anyhow::Result<()> {
    let mut cluster = slow_cluster().await?;
    let answer = start_answer(&cluster).await?;
    for engine in &mut cluster.engines {
        let log = engine_log(engine).await?.unwrap_or_default();
        if log.starts.iter().any(|start| start.position == 1) {
            engine.kill()?;
        }
    }
    check_answer(&cluster, answer).await
}

#[tokio::test]
async fn stream_survives_the_graceful_stop_of_its_instance() -> anyhow::Result<()> {
    let mut cluster = slow_cluster().await?;
    let answer = start_answer(&cluster).await?;
    cluster.entries[0].terminate()?;
    check_answer(&cluster, answer).await?;
    // The instance must end by itself; a second signal would stop it at once.
    assert!(cluster.entries[0].wait().await?.success());
    Ok(())
}

#[tokio::test]
async fn booking_whose_reply_is_lost_stays_unknown() -> anyhow::Result<()> {
    let cluster = Cluster::start(Setup::default()).await?;
    let faults = ServiceFaults {
        drop_reply_count: 1,
        ..ServiceFaults::default()
    };
    for service in &cluster.services {
        cluster.set_faults(service, &faults).await?;
    }
    let mut caller = cluster.caller()?;
    let (path, body) = confirm();
    let first = caller.call(&path, "booking-1", &body).await?;
    assert_eq!(first, CallOutcome::Unknown);
    caller.entries.reverse();
    let again = caller.call(&path, "booking-1", &body).await?;
    assert_eq!(again, CallOutcome::Unknown);
    cluster.check().await
}

#[tokio::test]
async fn booking_is_not_run_while_the_store_is_down() -> anyhow::Result<()> {
    let cluster = Cluster::start(Setup::default()).await?;
    let down = PlatformFaults {
        down: Some(Outage::Refuse),
        ..PlatformFaults::default()
    };
    cluster.set_faults(&cluster.platform, &down).await?;
    let caller = cluster.caller()?;
    let (path, body) = confirm();
    let outcome = caller.call(&path, "booking-1", &body).await?;
    assert_eq!(outcome, CallOutcome::NotRun);
    let up = PlatformFaults::default();
    cluster.set_faults(&cluster.platform, &up).await?;
    wait_until("the same key runs after the outage", async || {
        let outcome = caller.call(&path, "booking-1", &body).await?;
        Ok(matches!(outcome, CallOutcome::Ran(_)).then_some(()))
    })
    .await?;
    cluster.check().await
}
