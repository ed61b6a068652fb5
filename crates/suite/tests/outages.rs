//! Tests of platform outages. They fail when the router stops serving because the platform is down,
//! or returns a false outcome of a call.

use {
    serde_json::{Value, json},
    standin::{EngineSettings, Outage, PlatformFaults, ServiceFaults},
    suite::{
        CallOutcome, Caller, Cluster, ExpectedAnswer, LoadGenerator, SERVICE, Setup, wait_until,
    },
    wire::{Call, hyper::StatusCode},
};

fn outage_faults(outage: Outage) -> PlatformFaults {
    PlatformFaults {
        down: Some(outage),
        ..PlatformFaults::default()
    }
}

async fn set_platform_faults(cluster: &Cluster, faults: PlatformFaults) -> anyhow::Result<()> {
    cluster.set_faults(&cluster.platform, &faults).await
}

async fn confirm(caller: &Caller, key: &str) -> anyhow::Result<CallOutcome> {
    let path = format!("/v1/services/{SERVICE}/confirm");
    caller.call(&path, key, &json!({"room": 12})).await
}

/// Calls an idempotent operation and returns the status.
async fn call_availability(caller: &Caller) -> anyhow::Result<StatusCode> {
    let path = format!("/v1/services/{SERVICE}/availability");
    let call =
        Call::post(path, &Value::Null)?.header("authorization", format!("Bearer {}", caller.key));
    Ok(wire::call(caller.entries[0], &call).await?.status)
}

/// Sends a call under the same key until it has run.
async fn book_until_run(caller: &Caller, key: &str) -> anyhow::Result<()> {
    wait_until("the same key runs after the outage", async || {
        let outcome = confirm(caller, key).await?;
        Ok(matches!(outcome, CallOutcome::Ran(_)).then_some(()))
    })
    .await
}

/// The platform goes down in the middle of an answer. During the outage this answer and later ones
/// complete and idempotent calls are served, while non-repeatable calls are reported as not run.
/// They run after the outage.
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
    wait_until("the answer has started", async || {
        Ok((cluster.recorder.token_count() >= 5).then_some(()))
    })
    .await?;
    set_platform_faults(&cluster, outage_faults(outage)).await?;
    assert_eq!(confirm(&caller, "booking-1").await?, CallOutcome::NotRun);
    assert_eq!(call_availability(&caller).await?, StatusCode::OK);
    answer.await??;
    let later_answer = ExpectedAnswer {
        prompt: "Describe the reef.".into(),
        ..ExpectedAnswer::default()
    };
    later_answer.spawn(caller.clone()).await??;
    assert_eq!(call_availability(&caller).await?, StatusCode::OK);
    assert_eq!(cluster.execution_count("booking-1").await?, 0);
    set_platform_faults(&cluster, PlatformFaults::default()).await?;
    book_until_run(&caller, "booking-1").await?;
    cluster.check().await
}

/// The platform goes down while a call runs. The caller must receive the outcome at once, although
/// it cannot be written; it is written after the outage.
#[tokio::test]
async fn platform_down_during_a_call() -> anyhow::Result<()> {
    let cluster = Cluster::start(Setup::default()).await?;
    let slow_faults = ServiceFaults {
        delay_ms: 500,
        ..ServiceFaults::default()
    };
    cluster.set_service_faults(&slow_faults).await?;
    let caller = cluster.caller()?;
    let call = tokio::spawn({
        let caller = caller.clone();
        async move { confirm(&caller, "booking-1").await }
    });
    wait_until("the operation runs", async || {
        Ok((cluster.execution_count("booking-1").await? > 0).then_some(()))
    })
    .await?;
    set_platform_faults(&cluster, outage_faults(Outage::Refuse)).await?;
    let outcome = call.await??;
    assert!(matches!(outcome, CallOutcome::Ran(_)), "{outcome:?}");
    set_platform_faults(&cluster, PlatformFaults::default()).await?;
    wait_until("the outcome is in the table", async || {
        let row = cluster.call_row("booking-1").await?.unwrap_or_default();
        Ok((row["state"] == "ran").then_some(()))
    })
    .await?;
    let mut other_instance_caller = caller;
    other_instance_caller.entries.reverse();
    assert_eq!(confirm(&other_instance_caller, "booking-1").await?, outcome);
    cluster.check().await
}

#[tokio::test]
async fn platform_slow() -> anyhow::Result<()> {
    let cluster = Cluster::start(Setup::default()).await?;
    let slow_faults = PlatformFaults {
        delay_jitter_ms: 200,
        delay_ms: 200,
        ..PlatformFaults::default()
    };
    set_platform_faults(&cluster, slow_faults).await?;
    let caller = cluster.caller()?;
    let load = LoadGenerator::start(&caller, 4, 4);
    load.wait_for_progress(20).await?;
    load.finish().await?;
    book_until_run(&caller, "booking-1").await?;
    cluster.check().await
}

/// Writes are applied, but a random share of their replies is lost.
#[tokio::test]
async fn acknowledgements_lost() -> anyhow::Result<()> {
    let cluster = Cluster::start(Setup::default()).await?;
    let lossy_faults = PlatformFaults {
        lost_reply_fraction: 0.4,
        ..PlatformFaults::default()
    };
    set_platform_faults(&cluster, lossy_faults).await?;
    let caller = cluster.caller()?;
    let load = LoadGenerator::start(&caller, 2, 6);
    load.wait_for_progress(60).await?;
    load.finish().await?;
    set_platform_faults(&cluster, PlatformFaults::default()).await?;
    cluster.check().await
}

/// All writes are applied only after a claim has expired. The call must be reported as not run, and
/// the claims that appear later must not cause a run.
#[tokio::test]
async fn claims_applied_late() -> anyhow::Result<()> {
    let cluster = Cluster::start(Setup::default()).await?;
    let late_faults = PlatformFaults {
        late_ms: 4_000,
        late_write_count: 10_000,
        ..PlatformFaults::default()
    };
    set_platform_faults(&cluster, late_faults).await?;
    let caller = cluster.caller()?;
    assert_eq!(confirm(&caller, "booking-1").await?, CallOutcome::NotRun);
    set_platform_faults(&cluster, PlatformFaults::default()).await?;
    wait_until("the late claim is withdrawn", async || {
        let row = cluster.call_row("booking-1").await?.unwrap_or_default();
        Ok((row["state"] == "not_run").then_some(()))
    })
    .await?;
    assert_eq!(cluster.execution_count("booking-1").await?, 0);
    book_until_run(&caller, "booking-1").await?;
    cluster.check().await
}

/// The write of a claim is applied late, after the claim was written again. The late write must not
/// affect the second claim.
#[tokio::test]
async fn one_claim_applied_late() -> anyhow::Result<()> {
    let cluster = Cluster::start(Setup::default()).await?;
    let late_faults = PlatformFaults {
        late_ms: 1_000,
        late_write_count: 1,
        ..PlatformFaults::default()
    };
    set_platform_faults(&cluster, late_faults).await?;
    let caller = cluster.caller()?;
    let outcome = confirm(&caller, "booking-1").await?;
    let mut other_instance_caller = caller;
    other_instance_caller.entries.reverse();
    if outcome == CallOutcome::NotRun {
        book_until_run(&other_instance_caller, "booking-1").await?;
    } else {
        assert_eq!(confirm(&other_instance_caller, "booking-1").await?, outcome);
    }
    cluster.check().await
}
