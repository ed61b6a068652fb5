//! Tests of graceful shutdowns. They fail when a planned shutdown interrupts requests, or when a
//! target still receives work after it has reported that it leaves.

use {
    standin::{EngineSettings, PlatformFaults, RegistrationSettings, ServiceSettings},
    suite::{Cluster, LoadGenerator, SERVICE, Setup, engine_log, wait_until},
    wire::Call,
};

/// Time after the start of a target's shutdown from which new work there is a violation. It is
/// twice the guaranteed 3 s, because the target, the instances and the test share a busy machine.
const MAX_LATE_MS: u64 = 6_000;

fn setup(list_lag_ms: u64) -> Setup {
    // Targets accept work for longer than the bound, so that late work appears in their logs
    // instead of being refused.
    let place = RegistrationSettings {
        leave_grace_ms: 8_000,
        ..RegistrationSettings::default()
    };
    let mut setup = Setup {
        engine: EngineSettings {
            place: place.clone(),
            step_us: 20_000,
            ..EngineSettings::default()
        },
        entry_count: 3,
        service: ServiceSettings {
            place,
            service: SERVICE.into(),
            ..ServiceSettings::default()
        },
        ..Setup::default()
    };
    setup.platform.list_lag_ms = list_lag_ms;
    setup
}

/// An engine and a service shut down under load. With a list lag above the bound, instances learn
/// of it in time only from the targets themselves.
#[yare::parameterized(list_lags_long = { 10_000 }, list_lags_little = { 500 })]
#[test_macro(tokio::test)]
async fn targets_shut_down_under_load(list_lag_ms: u64) {
    check_target_shutdown(list_lag_ms).await.unwrap();
}

async fn check_target_shutdown(list_lag_ms: u64) -> anyhow::Result<()> {
    let mut cluster = Cluster::start(setup(500)).await?;
    let lag = PlatformFaults {
        list_lag_ms: Some(list_lag_ms),
        ..PlatformFaults::default()
    };
    cluster.set_faults(&cluster.platform, &lag).await?;
    let load = LoadGenerator::start(&cluster.caller()?, 6, 3);
    load.wait_for_progress(10).await?;
    cluster.engines[0].terminate()?;
    cluster.services[0].terminate()?;
    let mut late = Vec::new();
    wait_until("the engine has stopped", async || {
        let Ok(Some(log)) = engine_log(&cluster.engines[0]).await else {
            return Ok(Some(()));
        };
        for start in log.starts {
            if start.left_since_ms.is_some_and(|ms| ms > MAX_LATE_MS) {
                late.push(start);
            }
        }
        Ok(None)
    })
    .await?;
    assert!(late.is_empty(), "{late:?}");
    load.wait_for_progress(10).await?;
    load.finish().await?;
    let status = cluster.engines[0].wait().await?;
    assert!(status.success(), "{status}");
    let status = cluster.services[0].wait().await?;
    assert!(status.success(), "{status}");
    assert_eq!(cluster.recorder.errors(), Vec::<String>::new());
    cluster.check().await
}

/// All entry instances are restarted one after another under load; callers must see no error.
#[tokio::test]
async fn entries_restarted_one_after_another() -> anyhow::Result<()> {
    let mut cluster = Cluster::start(setup(500)).await?;
    let load = LoadGenerator::start(&cluster.caller()?, 4, 4);
    load.wait_for_progress(10).await?;
    for number in 0..3 {
        cluster.entries[number].stop().await?;
        cluster.restart_entry(number).await?;
        load.wait_for_progress(10).await?;
    }
    let result = load.finish().await;
    assert_eq!(cluster.recorder.errors(), Vec::<String>::new());
    result?;
    cluster.check().await
}

/// Address replies omit an instance as soon as the others learn that it leaves, although the
/// platform's list still contains it.
#[tokio::test]
async fn leaving_entry_is_omitted_from_addresses() -> anyhow::Result<()> {
    let mut cluster = Cluster::start(setup(10_000)).await?;
    let leaving = cluster.entries[0].address("address")?;
    cluster.entries[0].terminate()?;
    let mut caller = cluster.caller()?;
    caller.entries.remove(0);
    for entry in caller.entries.clone() {
        caller.entries = vec![entry];
        wait_until("the leaving instance is not named", async || {
            let addresses = caller.clone().fetch_addresses().await?;
            Ok((!addresses.contains(&leaving)).then_some(()))
        })
        .await?;
        for _ in 0..5 {
            let addresses = caller.clone().fetch_addresses().await?;
            assert!(!addresses.contains(&leaving), "{addresses:?}");
        }
    }
    let ready = wire::call(leaving, &Call::get("/ready")).await?;
    assert!(!ready.status.is_success());
    cluster.check().await
}
