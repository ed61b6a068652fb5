//! Tests that `Process` freezes, kills and stops processes as documented and leaves none running.
//! Otherwise failure tests could pass without a failure.

use {
    serde_json::{Value, json},
    std::time::Duration,
    suite::{Process, TempDir, wait_until},
    wire::{Call, Error},
};

fn start_platform(temp_dir: &TempDir) -> anyhow::Result<Process> {
    Process::start(temp_dir, "standin-platform", "platform", &json!({}))
}

fn list_call() -> Call {
    Call {
        reply_timeout: Duration::from_millis(500),
        ..Call::get("/v1/instances")
    }
}

async fn wait_until_serving(process: &Process) -> anyhow::Result<()> {
    let address = process.address("address")?;
    wait_until("the process replies", async || {
        Ok(Some(wire::call(address, &list_call()).await?))
    })
    .await?;
    Ok(())
}

#[tokio::test]
async fn frozen_process_times_out_and_resumes_when_thawed() -> anyhow::Result<()> {
    let temp_dir = TempDir::new()?;
    let mut process = start_platform(&temp_dir)?;
    wait_until_serving(&process).await?;
    process.freeze()?;
    // The kernel accepts connections for a frozen process, so the request is sent and times out.
    let error = wire::call(process.address("address")?, &list_call()).await;
    assert!(matches!(error, Err(Error::Timeout { .. })), "{error:?}");
    process.thaw()?;
    wait_until_serving(&process).await?;
    process.stop().await
}

#[tokio::test]
async fn frozen_process_can_be_killed() -> anyhow::Result<()> {
    let temp_dir = TempDir::new()?;
    let mut process = start_platform(&temp_dir)?;
    process.freeze()?;
    assert!(!process.kill()?.success());
    let error = wire::call(process.address("address")?, &list_call()).await;
    assert!(error.is_err_and(|error| error.is_not_sent()));
    Ok(())
}

#[tokio::test]
async fn process_is_killed_when_its_test_panics() -> anyhow::Result<()> {
    let temp_dir = TempDir::new()?;
    let process = start_platform(&temp_dir)?;
    wait_until_serving(&process).await?;
    let address = process.address("address")?;
    let result = std::thread::spawn(move || {
        let _process = process;
        panic!("a test fails");
    })
    .join();
    assert!(result.is_err());
    let error = wire::call(address, &list_call()).await;
    assert!(error.is_err_and(|error| error.is_not_sent()));
    Ok(())
}

#[test]
fn process_that_refuses_its_settings_is_reported_with_its_log() {
    let temp_dir = TempDir::new().unwrap();
    let settings: Value = json!({"adress": 1});
    let result = Process::start(&temp_dir, "standin-platform", "platform", &settings);
    let error = format!("{:#}", result.unwrap_err());
    assert!(error.contains("did you mean `address`?"), "{error}");
}
