//! The fake platform must count every read and write, and inject faults into exactly the configured
//! writes.

#![expect(clippy::unwrap_used, reason = "an error in a helper fails its test")]

use {
    serde_json::{Value, json},
    standin::Platform,
    storage::{PlatformClient, PlatformSettings, Table},
    types::{StoreFailure, StoreRequest},
    wire::Call,
};

fn empty_transaction() -> StoreRequest {
    StoreRequest::Transact {
        conditions: Vec::new(),
        writes: Vec::new(),
    }
}

async fn lost_replies(faults: Value, write_count: usize) -> (Vec<usize>, String) {
    let settings = standin::PlatformSettings {
        faults: serde_json::from_value(faults).unwrap(),
        seed: 7,
        ..standin::PlatformSettings::default()
    };
    let platform = Platform::start(settings).await.unwrap();
    let client = PlatformClient::new(PlatformSettings {
        addresses: vec![platform.address()],
        ..PlatformSettings::default()
    })
    .unwrap();
    let mut lost = Vec::new();
    for number in 1..=write_count {
        if client.execute(empty_transaction()).await == Err(StoreFailure::Ambiguous) {
            lost.push(number);
        }
    }
    let read = StoreRequest::Read { keys: Vec::new() };
    client.execute(read).await.unwrap();
    let reply = wire::call(platform.address(), &Call::get("/metrics")).await;
    let text = String::from_utf8(reply.unwrap().body.to_vec()).unwrap();
    (lost, text)
}

#[tokio::test]
async fn every_nth_write_is_lost_and_all_are_counted() {
    let faults = json!({"lost_reply_every": 3});
    let (lost, metrics) = lost_replies(faults, 7).await;
    assert_eq!(lost, [3, 6]);
    assert!(
        metrics.contains("standin_platform_writes_total 7\n"),
        "{metrics}"
    );
    assert!(
        metrics.contains("standin_platform_reads_total 1\n"),
        "{metrics}"
    );
}

#[tokio::test]
async fn random_losses_are_reproducible_from_the_seed() {
    let faults = json!({"lost_reply_fraction": 0.5});
    let (one, _) = lost_replies(faults.clone(), 20).await;
    let (other, _) = lost_replies(faults, 20).await;
    assert_eq!(one, other);
    assert!(!one.is_empty() && one.len() < 20);
}
