//! Guards against a reply of the platform that is taken for that of another call.

#![allow(clippy::unwrap_used, reason = "an error in a helper fails its test")]

#[path = "../../peer/tests/support/repeating_proxy.rs"]
mod repeating_proxy;

use {
    repeating_proxy::RepeatingProxy,
    standin::Platform,
    std::time::Duration,
    storage::{PlatformClient, PlatformSettings, Table},
    types::{Condition, StoreReply, StoreRequest, Write},
};

fn write(version: u64) -> StoreRequest {
    StoreRequest::Transact {
        conditions: vec![Condition {
            key: "a".into(),
            version,
        }],
        writes: vec![Write {
            key: "a".into(),
            value: Some("x".into()),
        }],
    }
}

/// Guards against two owners of a row: a write whose condition does not hold counts as made, because a copy of the reply
/// to an earlier write was taken for its reply.
#[tokio::test]
async fn copy_of_an_earlier_reply_is_not_the_success_of_a_write() {
    let platform = Platform::start(standin::PlatformSettings::default())
        .await
        .unwrap();
    let proxy = RepeatingProxy::start(platform.address(), Duration::ZERO).await;
    let client = PlatformClient::new(PlatformSettings {
        addresses: vec![proxy.address],
        ..PlatformSettings::default()
    })
    .unwrap();
    for version in 0..3 {
        let made = client.execute(write(version)).await.unwrap();
        let version = version + 1;
        assert_eq!(made, StoreReply::Committed { version });
        let refused = client.execute(write(0)).await.unwrap();
        assert!(
            matches!(refused, StoreReply::Conflict { .. }),
            "{refused:?}"
        );
    }
    assert_eq!(proxy.connection_count(), 6);
}
