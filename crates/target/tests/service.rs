//! Guards against a fake service that misreports which calls it ran. All tests of at-most-once execution
//! depend on that report.

#![expect(clippy::unwrap_used, reason = "an error in a helper fails its test")]

use {
    serde_json::{Value, json},
    standin::{
        Execution, ExitKind, FakeServer, Platform, RegistrationSettings, Service, ServiceSettings,
    },
    std::time::Duration,
    storage::{Listings, PlatformClient},
    target::{ServiceClient, Services},
    types::{CallReply, FailureKind},
    wire::Call,
};

async fn start(faults: Value) -> FakeServer {
    let settings = ServiceSettings {
        faults: serde_json::from_value(faults).unwrap(),
        place: RegistrationSettings {
            leave_grace_ms: 0,
            ..RegistrationSettings::default()
        },
        ..ServiceSettings::default()
    };
    Service::start(settings).await.unwrap()
}

async fn call(standin: &FakeServer, key: &str) -> Result<CallReply, FailureKind> {
    ServiceClient::default()
        .call(
            standin.address(),
            "confirm".into(),
            Some(key.into()),
            "b".into(),
        )
        .await
}

async fn keys(standin: &FakeServer) -> Vec<String> {
    let reply = wire::call(standin.address(), &Call::get("/executions")).await;
    let executions: Vec<Execution> = reply.unwrap().json().unwrap();
    executions.into_iter().filter_map(|run| run.key).collect()
}

#[tokio::test]
async fn refused_calls_do_not_run_and_dropped_ones_do() {
    let faults = json!({"drop_reply_count": 1, "refuse_count": 1});
    let service = start(faults).await;
    assert_eq!(call(&service, "1").await, Err(FailureKind::Refused));
    assert_eq!(call(&service, "2").await, Err(FailureKind::Broken));
    assert_eq!(call(&service, "3").await.unwrap().status, 200);
    assert_eq!(keys(&service).await, ["2", "3"]);
    let load = ServiceClient::default().load(service.address()).await;
    assert_eq!(load.unwrap().slot_count, 64);
}

#[tokio::test]
async fn crash_breaks_the_call() {
    let faults = json!({"crash": true});
    let service = start(faults).await;
    assert_eq!(call(&service, "1").await, Err(FailureKind::Broken));
    assert_eq!(service.wait().await, ExitKind::Crashed);
}

/// Guards against a planned stop that interrupts a call.
#[tokio::test]
async fn leaving_service_finishes_its_calls() {
    let faults = json!({"delay_ms": 100});
    let service = start(faults).await;
    let running = async {
        while keys(&service).await.is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        service.leave();
    };
    let (reply, ()) = tokio::join!(call(&service, "1"), running);
    assert_eq!(reply.unwrap().status, 200);
    assert_eq!(service.wait().await, ExitKind::Stopped);
}

/// Guards against a target that does not register in the list, or that leaves without being marked as
/// leaving.
#[tokio::test]
async fn registers_and_marks_itself_leaving() {
    let settings = standin::PlatformSettings {
        list_lag_ms: 0,
        ..standin::PlatformSettings::default()
    };
    let platform = Platform::start(settings).await.unwrap();
    let client = PlatformClient::new(storage::PlatformSettings {
        addresses: vec![platform.address()],
        ..storage::PlatformSettings::default()
    })
    .unwrap();
    let settings = ServiceSettings {
        place: RegistrationSettings {
            platforms: vec![platform.address()],
            ..RegistrationSettings::default()
        },
        ..ServiceSettings::default()
    };
    let service = Service::start(settings).await.unwrap();
    wait_for_row(&client, false).await;
    service.leave();
    wait_for_row(&client, true).await;
}

async fn wait_for_row(client: &PlatformClient, leaving: bool) {
    loop {
        let rows = client.read().await.unwrap();
        if rows.first().is_some_and(|row| row.leaving == leaving) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
