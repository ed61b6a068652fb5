//! Guards against an answer to an earlier call that is taken for that of the next call on a connection, after it was
//! written twice or its caller stopped waiting.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

#[path = "support/repeating_proxy.rs"]
mod repeating_proxy;

use {
    control::{AppendAnswer, CallQuery, JournalAppend, OwnerStatus, TakeAnswer, TakeRequest},
    futures::{FutureExt, future::BoxFuture},
    peer::{Changes, PeerHandler, PeerSettings, Peers, Pool, Secret, serve},
    repeating_proxy::RepeatingProxy,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::watch, time::timeout},
    types::{Change, ChangeRecord, ConfigVersion, Heartbeat, Incarnation, InstanceId},
};

/// Answers queries for changes with one change of the version that was asked for, and no other calls.
struct VersionHandler;

impl PeerHandler for VersionHandler {
    fn append_journal(&self, _: JournalAppend) -> BoxFuture<'static, AppendAnswer> {
        futures::future::pending().boxed()
    }

    fn call_status(&self, _: CallQuery) -> BoxFuture<'static, OwnerStatus> {
        futures::future::pending().boxed()
    }

    fn changes_since(&self, version: ConfigVersion) -> BoxFuture<'static, Changes> {
        async move { changes(version) }.boxed()
    }

    fn heartbeat(&self, _: Heartbeat) -> BoxFuture<'static, ()> {
        futures::future::pending().boxed()
    }

    fn leave(&self, _: InstanceId, _: Incarnation) -> BoxFuture<'static, ()> {
        futures::future::pending().boxed()
    }

    fn push_changes(&self, _: Vec<ChangeRecord>) -> BoxFuture<'static, ()> {
        futures::future::pending().boxed()
    }

    fn take_journal(&self, _: TakeRequest) -> BoxFuture<'static, TakeAnswer> {
        futures::future::pending().boxed()
    }
}

fn changes(version: ConfigVersion) -> Changes {
    Changes::Records(vec![ChangeRecord {
        change: Change::DeletePlan { id: "p".into() },
        operation: "o".into(),
        version,
    }])
}

fn settings() -> PeerSettings {
    PeerSettings {
        backoff_ms: 0,
        call_ms: 10_000,
        connect_ms: 10_000,
        secret: Secret::from("s"),
        ..PeerSettings::default()
    }
}

/// Starts a peer. Returns its address and the handle that stops it when dropped.
async fn start() -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(serve(
        listener,
        Arc::new(VersionHandler),
        settings(),
        stopped,
    ));
    (address, stop)
}

/// Guards against a copy of an earlier answer that is taken for that of the next call. The calls share a connection.
#[tokio::test]
async fn copy_of_an_earlier_answer_reaches_no_other_call() {
    let (peer, _stop) = start().await;
    let proxy = RepeatingProxy::start(peer, Duration::ZERO).await;
    let pool = Pool::new(settings());
    for version in 1..6 {
        let received = pool.changes_since(proxy.address, version).await.unwrap();
        assert_eq!(received, changes(version));
    }
    assert_eq!(proxy.connection_count(), 1);
}

/// Guards against an answer to a call that its caller no longer waits for and that is taken for that of the next one
/// on the same connection.
#[tokio::test]
async fn answer_to_an_abandoned_call_reaches_no_other_call() {
    let (peer, _stop) = start().await;
    let delay = Duration::from_millis(400);
    let proxy = RepeatingProxy::start(peer, delay).await;
    let pool = Pool::new(settings());
    let abandoned = timeout(delay / 4, pool.changes_since(proxy.address, 1)).await;
    assert!(abandoned.is_err(), "{abandoned:?}");
    for version in 2..6 {
        let received = pool.changes_since(proxy.address, version).await.unwrap();
        assert_eq!(received, changes(version));
    }
    assert_eq!(proxy.connection_count(), 1);
}
