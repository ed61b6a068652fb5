//! Tests of non-repeatable calls while services, instances or the store fail. They fail when an
//! operation runs twice or a caller receives a false outcome.

use {
    serde_json::{Value, json},
    standin::ServiceFaults,
    suite::{CallOutcome, Caller, Cluster, LinkState, SERVICE, Setup, wait_until},
    tokio::task::JoinHandle,
    wire::{Call, hyper::StatusCode},
};

const KEY: &str = "booking-1";

fn confirm_request() -> (String, Value) {
    let path = format!("/v1/services/{SERVICE}/confirm");
    (path, json!({"room": 12}))
}

async fn start_three_instances() -> anyhow::Result<Cluster> {
    let setup = Setup {
        entry_count: 3,
        ..Setup::default()
    };
    Cluster::start(setup).await
}

/// Returns a caller that knows only the instances with these numbers.
fn caller_of(cluster: &Cluster, numbers: &[usize]) -> anyhow::Result<Caller> {
    let all = cluster.caller()?;
    let mut entries = Vec::new();
    for number in numbers {
        entries.push(all.entries[*number]);
    }
    Ok(Caller { entries, ..all })
}

/// Spawns a call; the task returns the outcome, or an error if no instance replied.
fn spawn_booking(caller: Caller) -> JoinHandle<anyhow::Result<CallOutcome>> {
    let (path, body) = confirm_request();
    tokio::spawn(async move { caller.call(&path, KEY, &body).await })
}

async fn confirm(caller: &Caller) -> anyhow::Result<CallOutcome> {
    let (path, body) = confirm_request();
    caller.call(&path, KEY, &body).await
}

async fn wait_until_executed(cluster: &Cluster) -> anyhow::Result<()> {
    wait_until("a service has run the operation", async || {
        Ok((cluster.execution_count(KEY).await? > 0).then_some(()))
    })
    .await
}

async fn wait_until_claimed(cluster: &Cluster) -> anyhow::Result<()> {
    wait_until("the claim is in the table", async || {
        Ok(cluster.call_row(KEY).await?.map(|_| ()))
    })
    .await
}

/// The service runs the operation and crashes before it replies.
#[tokio::test]
async fn service_killed_after_it_ran() -> anyhow::Result<()> {
    let cluster = start_three_instances().await?;
    let crash = ServiceFaults {
        crash: true,
        ..ServiceFaults::default()
    };
    cluster.set_service_faults(&crash).await?;
    assert_eq!(
        confirm(&caller_of(&cluster, &[0])?).await?,
        CallOutcome::Unknown
    );
    let no_faults = ServiceFaults::default();
    for service in &cluster.services {
        // The service that crashed cannot accept the faults.
        let _ = cluster.set_faults(service, &no_faults).await;
    }
    for number in [1, 2, 0] {
        let again = confirm(&caller_of(&cluster, &[number])?).await?;
        assert_eq!(again, CallOutcome::Unknown);
    }
    assert_eq!(cluster.execution_count(KEY).await?, 0);
    cluster.check().await
}

/// A call that could not be sent to a killed service goes to the other one under the same claim.
#[tokio::test]
async fn service_unreachable() -> anyhow::Result<()> {
    let mut cluster = start_three_instances().await?;
    cluster.services[0].kill()?;
    for number in 0..6 {
        let (path, body) = confirm_request();
        let caller = caller_of(&cluster, &[number % 3])?;
        let key = format!("booking-{number}");
        let outcome = caller.call(&path, &key, &body).await?;
        assert!(matches!(outcome, CallOutcome::Ran(_)), "{key}: {outcome:?}");
    }
    cluster.check().await
}

/// The owner is killed after its claim was written and before it dispatches the call.
#[tokio::test]
async fn owner_killed_before_dispatch() -> anyhow::Result<()> {
    let mut cluster = start_three_instances().await?;
    cluster.platform_links[0].set(LinkState::DropReplies);
    let first = spawn_booking(caller_of(&cluster, &[0])?);
    wait_until_claimed(&cluster).await?;
    cluster.entries[0].kill()?;
    assert!(first.await?.is_err());
    assert_eq!(
        confirm(&caller_of(&cluster, &[1])?).await?,
        CallOutcome::Unknown
    );
    assert_eq!(
        confirm(&caller_of(&cluster, &[2])?).await?,
        CallOutcome::Unknown
    );
    assert_eq!(cluster.execution_count(KEY).await?, 0);
    cluster.check().await
}

#[tokio::test]
async fn owner_killed_during_the_call() -> anyhow::Result<()> {
    let mut cluster = start_three_instances().await?;
    let slow_faults = ServiceFaults {
        delay_ms: 3_000,
        ..ServiceFaults::default()
    };
    cluster.set_service_faults(&slow_faults).await?;
    let first = spawn_booking(caller_of(&cluster, &[0])?);
    wait_until_executed(&cluster).await?;
    cluster.entries[0].kill()?;
    assert!(first.await?.is_err());
    assert_eq!(
        confirm(&caller_of(&cluster, &[1])?).await?,
        CallOutcome::Unknown
    );
    assert_eq!(
        confirm(&caller_of(&cluster, &[2])?).await?,
        CallOutcome::Unknown
    );
    cluster.check().await
}

/// The owner is frozen until its claim has expired, while the same key is sent to another instance.
#[tokio::test]
async fn owner_frozen_before_dispatch() -> anyhow::Result<()> {
    let cluster = start_three_instances().await?;
    cluster.platform_links[0].set(LinkState::DropReplies);
    let first = spawn_booking(caller_of(&cluster, &[0])?);
    wait_until_claimed(&cluster).await?;
    cluster.entries[0].freeze()?;
    cluster.platform_links[0].set(LinkState::Open);
    assert_eq!(
        confirm(&caller_of(&cluster, &[1])?).await?,
        CallOutcome::Unknown
    );
    cluster.entries[0].thaw()?;
    // If the owner's caller is still connected, it receives "not run" or "unknown".
    if let Ok(outcome) = first.await? {
        assert!(!matches!(outcome, CallOutcome::Ran(_)), "{outcome:?}");
    }
    assert_eq!(
        confirm(&caller_of(&cluster, &[0])?).await?,
        CallOutcome::Unknown
    );
    assert_eq!(cluster.execution_count(KEY).await?, 0);
    cluster.check().await
}

#[tokio::test]
async fn owner_frozen_during_the_call() -> anyhow::Result<()> {
    let cluster = start_three_instances().await?;
    let slow_faults = ServiceFaults {
        delay_ms: 1_000,
        ..ServiceFaults::default()
    };
    cluster.set_service_faults(&slow_faults).await?;
    let first = spawn_booking(caller_of(&cluster, &[0])?);
    wait_until_executed(&cluster).await?;
    cluster.entries[0].freeze()?;
    assert_eq!(
        confirm(&caller_of(&cluster, &[1])?).await?,
        CallOutcome::Unknown
    );
    cluster.entries[0].thaw()?;
    let _ = first.await?;
    // The outcome that the owner writes late may replace "unknown" with the result.
    assert_ne!(
        confirm(&caller_of(&cluster, &[2])?).await?,
        CallOutcome::NotRun
    );
    cluster.check().await
}

#[tokio::test]
async fn same_key_at_all_instances_at_once() -> anyhow::Result<()> {
    let cluster = start_three_instances().await?;
    let slow_faults = ServiceFaults {
        delay_ms: 300,
        ..ServiceFaults::default()
    };
    cluster.set_service_faults(&slow_faults).await?;
    let mut calls = Vec::new();
    for number in [0, 1, 2, 0, 1, 2] {
        calls.push(spawn_booking(caller_of(&cluster, &[number])?));
    }
    for call in calls {
        let outcome = call.await??;
        assert!(matches!(outcome, CallOutcome::Ran(_)), "{outcome:?}");
    }
    assert_eq!(cluster.execution_count(KEY).await?, 1);
    cluster.check().await
}

/// Every instance refuses a different body under a used key, without running it.
#[tokio::test]
async fn other_body_under_the_same_key() -> anyhow::Result<()> {
    let cluster = start_three_instances().await?;
    let caller = cluster.caller()?;
    assert!(matches!(confirm(&caller).await?, CallOutcome::Ran(_)));
    let (path, _) = confirm_request();
    for entry in &caller.entries {
        let call = Call::post(&path, &json!({"room": 13}))?
            .header("authorization", format!("Bearer {}", caller.key))
            .header("idempotency-key", KEY);
        let reply = wire::call(*entry, &call).await?;
        assert_eq!(reply.status, StatusCode::UNPROCESSABLE_ENTITY);
    }
    assert_eq!(cluster.execution_count(KEY).await?, 1);
    cluster.check().await
}
