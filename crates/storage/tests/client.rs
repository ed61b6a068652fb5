//! The platform client must not send a write twice, and must not report a write that may have taken
//! effect as not carried out.

#![expect(clippy::unwrap_used, reason = "an error in a helper fails its test")]

use {
    serde_json::{Value, json},
    standin::{FakeServer, Outage, Platform},
    std::{net::SocketAddr, sync::Arc},
    storage::{Listings, Objects, PlatformClient, PlatformSettings, Table},
    types::{Condition, Listing, ListingRole, StoreFailure, StoreReply, StoreRequest, Write},
    wire::{Call, hyper::Method},
    yare::parameterized,
};

async fn start_platform(faults: Value) -> FakeServer {
    let settings = standin::PlatformSettings {
        faults: serde_json::from_value(faults).unwrap(),
        list_lag_ms: 0,
        ..standin::PlatformSettings::default()
    };
    Platform::start(settings).await.unwrap()
}

fn client(addresses: &[SocketAddr]) -> PlatformClient {
    let settings = PlatformSettings {
        addresses: addresses.to_vec(),
        reply_limit_ms: 300,
        ..PlatformSettings::default()
    };
    PlatformClient::new(settings).unwrap()
}

async fn set_faults(platform: &FakeServer, faults: Value) {
    let call = Call::with_json(Method::PUT, "/faults", &faults).unwrap();
    let reply = wire::call(platform.address(), &call).await.unwrap();
    assert!(reply.status.is_success());
}

fn transaction(key: &str, version: u64, value: Option<&str>) -> StoreRequest {
    StoreRequest::Transact {
        conditions: vec![Condition {
            key: key.into(),
            version,
        }],
        writes: vec![
            Write {
                key: key.into(),
                value: value.map(Into::into),
            },
            Write {
                key: format!("{key}/index").into(),
                value: value.map(Into::into),
            },
        ],
    }
}

async fn scan_keys(
    client: &PlatformClient,
    from: &str,
    to: &str,
    limit_count: u32,
) -> Vec<Arc<str>> {
    let request = StoreRequest::Scan {
        from: from.into(),
        limit_count,
        to: to.into(),
    };
    match client.execute(request).await {
        Ok(StoreReply::Rows { rows }) => rows.into_iter().map(|row| row.key).collect(),
        other => panic!("expected rows, got {other:?}"),
    }
}

/// Returns an address that refuses connections, because its listener is closed.
async fn refusing_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Guards against a transaction that is applied in part, or despite a condition that does not hold.
#[tokio::test]
async fn transactions_apply_all_or_nothing() {
    let platform = start_platform(json!({})).await;
    let client = client(&[platform.address()]);
    let first = client.execute(transaction("a", 0, Some("1"))).await;
    assert_eq!(first, Ok(StoreReply::Committed { version: 1 }));
    let Ok(StoreReply::Conflict { rows }) = client.execute(transaction("a", 0, Some("2"))).await
    else {
        panic!("a condition that does not hold was accepted");
    };
    assert_eq!((&*rows[0].value, rows[0].version), ("1", 1));
    assert_eq!(
        scan_keys(&client, "a", "b", 10).await,
        ["a".into(), "a/index".into()]
    );
    let deleted = client.execute(transaction("a", 1, None)).await;
    assert_eq!(deleted, Ok(StoreReply::Committed { version: 2 }));
    assert!(scan_keys(&client, "a", "b", 10).await.is_empty());
}

/// Guards against scans that ignore the key range or the row limit.
#[tokio::test]
async fn scans_keep_bounds_and_limit() {
    let platform = start_platform(json!({})).await;
    let client = client(&[platform.address()]);
    for key in ["a", "b", "c"] {
        client
            .execute(transaction(key, 0, Some("x")))
            .await
            .unwrap();
    }
    assert_eq!(
        scan_keys(&client, "a/", "c", 10).await,
        ["a/index".into(), "b".into(), "b/index".into()]
    );
    assert_eq!(scan_keys(&client, "a", "c", 1).await, ["a".into()]);
    assert!(scan_keys(&client, "c", "a", 10).await.is_empty());
}

/// Guards against reporting a write as not carried out, or sending it again, after its reply was
/// lost.
#[tokio::test]
async fn lost_reply_is_ambiguous_and_applied_once() {
    let faults = json!({"lost_reply_count": 1});
    let platform = start_platform(faults).await;
    let other = start_platform(json!({})).await;
    let client = client(&[platform.address(), other.address()]);
    let result = client.execute(transaction("a", 0, Some("1"))).await;
    assert_eq!(result, Err(StoreFailure::Ambiguous));
    assert_eq!(scan_keys(&client, "a", "b", 1).await, ["a".into()]);
    let other_client = self::client(&[other.address()]);
    assert!(scan_keys(&other_client, "a", "b", 1).await.is_empty());
}

/// Guards against reporting a write as not carried out when the platform applies it later.
#[tokio::test]
async fn late_write_is_ambiguous_and_applies_later() {
    let faults = json!({"late_ms": 50, "late_write_count": 1});
    let platform = start_platform(faults).await;
    let client = client(&[platform.address()]);
    let result = client.execute(transaction("a", 0, Some("1"))).await;
    assert_eq!(result, Err(StoreFailure::Ambiguous));
    while scan_keys(&client, "a", "b", 1).await.is_empty() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

/// Guards against treating a refused write like one that may have been carried out, or the reverse.
#[parameterized(
    disconnect = { Outage::Disconnect, StoreFailure::Ambiguous },
    refuse = { Outage::Refuse, StoreFailure::Unavailable },
    silent = { Outage::Silent, StoreFailure::Ambiguous },
)]
#[test_macro(tokio::test)]
async fn write_during_an_outage_reports_whether_it_was_sent(
    outage: Outage,
    expected: StoreFailure,
) {
    let faults = json!({"down": outage});
    let (down, up) = (
        start_platform(faults).await,
        start_platform(json!({})).await,
    );
    let client = client(&[down.address(), up.address()]);
    assert_eq!(
        client.execute(transaction("a", 0, Some("1"))).await,
        Err(expected)
    );
    // A read can be repeated, so the client sends it to the other address.
    assert!(scan_keys(&client, "a", "b", 1).await.is_empty());
    set_faults(&down, json!({})).await;
    let single_address_client = self::client(&[down.address()]);
    assert!(
        scan_keys(&single_address_client, "a", "b", 1)
            .await
            .is_empty()
    );
}

/// Guards against giving up while another address is reachable and no byte has been sent.
#[tokio::test]
async fn unreachable_address_is_skipped() {
    let platform = start_platform(json!({})).await;
    let closed = refusing_address().await;
    let result = client(&[closed, platform.address()])
        .execute(transaction("a", 0, Some("1")))
        .await;
    assert_eq!(result, Ok(StoreReply::Committed { version: 1 }));
    let result = client(&[closed])
        .execute(transaction("a", 0, Some("1")))
        .await;
    assert_eq!(result, Err(StoreFailure::Unavailable));
}

/// Guards against objects that change between write and read, or survive their deletion.
#[tokio::test]
async fn objects_are_stored_and_deleted() {
    let platform = start_platform(json!({})).await;
    let client = client(&[platform.address()]);
    assert_eq!(client.get("x".into()).await, Ok(None));
    client
        .put("x".into(), wire::bytes::Bytes::from_static(b"\0\xff"))
        .await
        .unwrap();
    assert_eq!(
        client.get("x".into()).await.unwrap().unwrap(),
        b"\0\xff"[..]
    );
    client.delete("x".into()).await.unwrap();
    assert_eq!(client.get("x".into()).await, Ok(None));
}

fn listing(incarnation: u64, leaving: bool) -> Listing {
    Listing {
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "a".into(),
        id: "engine-1".into(),
        incarnation,
        leaving,
        region: "local".into(),
        role: ListingRole::Entry {
            peer_address: SocketAddr::from(([127, 0, 0, 1], 2)),
        },
    }
}

/// Guards against a leaving process that is listed as live again, and against confusing it with
/// its next incarnation.
#[tokio::test]
async fn leaving_is_permanent_for_an_incarnation() {
    let platform = start_platform(json!({})).await;
    let client = client(&[platform.address()]);
    client.register(listing(1, true)).await.unwrap();
    client.register(listing(1, false)).await.unwrap();
    assert_eq!(client.read().await.unwrap(), [listing(1, true)]);
    client.register(listing(2, false)).await.unwrap();
    assert_eq!(client.read().await.unwrap(), [listing(2, false)]);
    assert!(client.register(listing(1, false)).await.is_err());
}

/// Guards against a fake platform whose list shows changes at once, which would hide errors that
/// only occur with a delayed list.
#[tokio::test]
async fn listing_changes_appear_after_the_lag() {
    let platform = start_platform(json!({})).await;
    let client = client(&[platform.address()]);
    let faults = json!({"list_lag_ms": 3_600_000});
    set_faults(&platform, faults).await;
    client.register(listing(1, false)).await.unwrap();
    assert!(client.read().await.unwrap().is_empty());
    set_faults(&platform, json!({})).await;
    assert_eq!(client.read().await.unwrap(), [listing(1, false)]);
}
