//! Guards against a builder that does not do to processes what it claims, or leaves some behind.

use {
    serde_json::{Value, json},
    std::time::Duration,
    suite::{Folder, Process, until},
    wire::{Call, Error},
};

fn platform(folder: &Folder) -> anyhow::Result<Process> {
    Process::start(folder, "standin-platform", "platform", &json!({}))
}

fn list() -> Call {
    Call {
        reply_timeout: Duration::from_millis(500),
        ..Call::get("/v1/instances")
    }
}

async fn is_serving(process: &Process) -> anyhow::Result<()> {
    let address = process.address("address")?;
    until("the process replies", async || {
        Ok(Some(wire::call(address, &list()).await?))
    })
    .await?;
    Ok(())
}

#[tokio::test]
async fn frozen_process_is_silent_and_goes_on_when_thawed() -> anyhow::Result<()> {
    let folder = Folder::new()?;
    let mut process = platform(&folder)?;
    is_serving(&process).await?;
    process.freeze()?;
    // The system accepts connections for a frozen process, so the request is sent.
    let error = wire::call(process.address("address")?, &list()).await;
    assert!(matches!(error, Err(Error::Timeout { .. })), "{error:?}");
    process.thaw()?;
    is_serving(&process).await?;
    process.stop().await
}

#[tokio::test]
async fn frozen_process_can_be_killed() -> anyhow::Result<()> {
    let folder = Folder::new()?;
    let mut process = platform(&folder)?;
    process.freeze()?;
    assert!(!process.kill()?.success());
    let error = wire::call(process.address("address")?, &list()).await;
    assert!(error.is_err_and(|error| error.is_not_sent()));
    Ok(())
}

#[tokio::test]
async fn processes_end_with_a_test_that_panics() -> anyhow::Result<()> {
    let folder = Folder::new()?;
    let process = platform(&folder)?;
    is_serving(&process).await?;
    let address = process.address("address")?;
    let result = std::thread::spawn(move || {
        let _process = process;
        panic!("a test fails");
    })
    .join();
    assert!(result.is_err());
    let error = wire::call(address, &list()).await;
    assert!(error.is_err_and(|error| error.is_not_sent()));
    Ok(())
}

#[test]
fn process_that_refuses_its_settings_is_reported_with_its_log() {
    let folder = Folder::new().unwrap();
    let settings: Value = json!({"adress": 1});
    let result = Process::start(&folder, "standin-platform", "platform", &settings);
    let error = format!("{:#}", result.unwrap_err());
    assert!(error.contains("did you mean `address`?"), "{error}");
}
