//! Guards against an outage of the platform that becomes an outage of the router, or makes it say
//! something untrue of a call.

use {
    serde_json::{Value, json},
    standin::{EngineSettings, Outage, PlatformFaults, ServiceFaults},
    suite::{
        CallOutcome, Caller, Cluster, ExpectedAnswer, LoadGenerator, SERVICE, Setup, wait_until,
    },
    wire::{Call, hyper::StatusCode},
};

fn down(outage: Outage) -> PlatformFaults {
    PlatformFaults {
        down: Some(outage),
        ..PlatformFaults::default()
    }
}

async fn set(cluster: &Cluster, faults: PlatformFaults) -> anyhow::Result<()> {
    cluster.set_faults(&cluster.platform, &faults).await
}

async fn book(caller: &Caller, key: &str) -> anyhow::Result<CallOutcome> {
    let path = format!("/v1/services/{SERVICE}/confirm");
    caller.call(&path, key, &json!({"room": 12})).await
}

/// Calls an idempotent operation.
async fn call_availability(caller: &Caller) -> anyhow::Result<StatusCode> {
    let path = format!("/v1/services/{SERVICE}/availability");
    let call =
        Call::post(path, &Value::Null)?.header("authorization", format!("Bearer {}", caller.key));
    Ok(wire::call(caller.entries[0], &call).await?.status)
}

/// Sends a key until it ran.
async fn book_until_run(caller: &Caller, key: &str) -> anyhow::Result<()> {
    wait_until("the same key runs once the store is up", async || {
        let outcome = book(caller, key).await?;
        Ok(matches!(outcome, CallOutcome::Ran(_)).then_some(()))
    })
    .await
}

/// The platform goes down in the middle of an answer and stays so: this answer and later ones come,
/// idempotent calls are served, other calls are refused, and run when the platform is back.
#[yare::parameterized(
    disconnect = { Outage::Disconnect },
    refuse = { Outage::Refuse },
    silent = { Outage::Silent },
)]
#[test_macro(tokio::test)]
async fn platform_down(outage: Outage) {
    check_platform_down(outage).await.unwrap();
}

async fn check_platform_down(outage: Outage) -> anyhow::Result<()> {
    let setup = Setup {
        engine: EngineSettings {
            step_us: 20_000,
            ..EngineSettings::default()
        },
        ..Setup::default()
    };
    let cluster = Cluster::start(setup).await?;
    let caller = cluster.caller()?;
    let answer = ExpectedAnswer::default().spawn(caller.clone());
    wait_until("the answer has begun", async || {
        Ok((cluster.recorder.token_count() >= 5).then_some(()))
    })
    .await?;
    set(&cluster, down(outage)).await?;
    assert_eq!(book(&caller, "booking-1").await?, CallOutcome::NotRun);
    assert_eq!(call_availability(&caller).await?, StatusCode::OK);
    answer.await??;
    let later = ExpectedAnswer {
        prompt: "Describe the reef.".into(),
        ..ExpectedAnswer::default()
    };
    later.spawn(caller.clone()).await??;
    assert_eq!(call_availability(&caller).await?, StatusCode::OK);
    assert_eq!(cluster.execution_count("booking-1").await?, 0);
    set(&cluster, PlatformFaults::default()).await?;
    book_until_run(&caller, "booking-1").await?;
    cluster.check().await
}

/// The outcome cannot be written: the caller is told it at once all the same.
#[tokio::test]
async fn platform_down_during_a_call() -> anyhow::Result<()> {
    let cluster = Cluster::start(Setup::default()).await?;
    let slow = ServiceFaults {
        delay_ms: 500,
        ..ServiceFaults::default()
    };
    cluster.set_service_faults(&slow).await?;
    let caller = cluster.caller()?;
    let call = tokio::spawn({
        let caller = caller.clone();
        async move { book(&caller, "booking-1").await }
    });
    wait_until("the operation runs", async || {
        Ok((cluster.execution_count("booking-1").await? > 0).then_some(()))
    })
    .await?;
    set(&cluster, down(Outage::Refuse)).await?;
    let outcome = call.await??;
    assert!(matches!(outcome, CallOutcome::Ran(_)), "{outcome:?}");
    set(&cluster, PlatformFaults::default()).await?;
    wait_until("the outcome is in the table", async || {
        let row = cluster.call_row("booking-1").await?.unwrap_or_default();
        Ok((row["state"] == "ran").then_some(()))
    })
    .await?;
    let mut other = caller;
    other.entries.reverse();
    assert_eq!(book(&other, "booking-1").await?, outcome);
    cluster.check().await
}

#[tokio::test]
async fn platform_slow() -> anyhow::Result<()> {
    let cluster = Cluster::start(Setup::default()).await?;
    let slow = PlatformFaults {
        delay_jitter_ms: 200,
        delay_ms: 200,
        ..PlatformFaults::default()
    };
    set(&cluster, slow).await?;
    let caller = cluster.caller()?;
    let load = LoadGenerator::start(&caller, 4, 4);
    load.wait_for_progress(20).await?;
    load.finish().await?;
    book_until_run(&caller, "booking-1").await?;
    cluster.check().await
}

/// Writes take effect and their replies are lost, at random.
#[tokio::test]
async fn acknowledgements_lost() -> anyhow::Result<()> {
    let cluster = Cluster::start(Setup::default()).await?;
    let lossy = PlatformFaults {
        lost_reply_fraction: 0.4,
        ..PlatformFaults::default()
    };
    set(&cluster, lossy).await?;
    let caller = cluster.caller()?;
    let load = LoadGenerator::start(&caller, 2, 6);
    load.wait_for_progress(60).await?;
    load.finish().await?;
    set(&cluster, PlatformFaults::default()).await?;
    cluster.check().await
}

/// All writes take effect after the time in which a claim may be used: the caller is told "not
/// run", and nothing runs by the claims that appear later.
#[tokio::test]
async fn claims_applied_late() -> anyhow::Result<()> {
    let cluster = Cluster::start(Setup::default()).await?;
    let late = PlatformFaults {
        late_ms: 4_000,
        late_write_count: 10_000,
        ..PlatformFaults::default()
    };
    set(&cluster, late).await?;
    let caller = cluster.caller()?;
    assert_eq!(book(&caller, "booking-1").await?, CallOutcome::NotRun);
    set(&cluster, PlatformFaults::default()).await?;
    wait_until("the late claim is withdrawn", async || {
        let row = cluster.call_row("booking-1").await?.unwrap_or_default();
        Ok((row["state"] == "not_run").then_some(()))
    })
    .await?;
    assert_eq!(cluster.execution_count("booking-1").await?, 0);
    book_until_run(&caller, "booking-1").await?;
    cluster.check().await
}

/// One write is late: the claim is made again, and the late one must not disturb it.
#[tokio::test]
async fn one_claim_applied_late() -> anyhow::Result<()> {
    let cluster = Cluster::start(Setup::default()).await?;
    let late = PlatformFaults {
        late_ms: 1_000,
        late_write_count: 1,
        ..PlatformFaults::default()
    };
    set(&cluster, late).await?;
    let caller = cluster.caller()?;
    let outcome = book(&caller, "booking-1").await?;
    let mut other = caller;
    other.entries.reverse();
    if outcome == CallOutcome::NotRun {
        book_until_run(&other, "booking-1").await?;
    } else {
        assert_eq!(book(&other, "booking-1").await?, outcome);
    }
    cluster.check().await
}
