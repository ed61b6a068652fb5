//! Tests calls between instances over loopback.

use {
    control::{
        AppendAnswer, CallQuery, Holder, JournalAppend, OwnerStatus, TakeAnswer, TakeRequest,
    },
    futures::{FutureExt, future::BoxFuture},
    peer::{Changes, Error, PeerHandler, PeerSettings, Peers, Pool, Secret, serve},
    std::{net::SocketAddr, sync::Arc},
    tokio::{net::TcpListener, sync::watch, task::JoinHandle},
    tracing_mutex::stdsync::Mutex,
    types::{
        Change, ChangeRecord, ConfigVersion, Heartbeat, Incarnation, InstanceId, OperatorLists,
        TargetDigest, TargetHealth,
    },
};

/// Records calls and returns fixed answers. Never answers a status query by nonce.
#[derive(Default)]
struct RecordingHandler {
    calls: Mutex<Vec<String>>,
}

impl RecordingHandler {
    fn record(&self, call: String) {
        self.calls.lock().expect("test setup").push(call);
    }
}

impl PeerHandler for RecordingHandler {
    fn append_journal(&self, append: JournalAppend) -> BoxFuture<'static, AppendAnswer> {
        self.record(format!("append {}", append.request()));
        async { AppendAnswer::Appended { next: 3 } }.boxed()
    }

    fn call_status(&self, query: CallQuery) -> BoxFuture<'static, OwnerStatus> {
        let CallQuery::Key { key, .. } = query else {
            return futures::future::pending().boxed();
        };
        self.record(format!("status {key}"));
        async { OwnerStatus::Running }.boxed()
    }

    fn changes_since(&self, version: ConfigVersion) -> BoxFuture<'static, Changes> {
        async move {
            if version == 0 {
                return Changes::Lists(Arc::new(OperatorLists::default()));
            }
            Changes::Records(vec![change_record(version + 1)])
        }
        .boxed()
    }

    fn heartbeat(&self, heartbeat: Heartbeat) -> BoxFuture<'static, ()> {
        self.record(format!("heartbeat {heartbeat:?}"));
        async {}.boxed()
    }

    fn leave(&self, instance: InstanceId, incarnation: Incarnation) -> BoxFuture<'static, ()> {
        self.record(format!("leave {instance} {incarnation}"));
        async {}.boxed()
    }

    fn push_changes(&self, records: Vec<ChangeRecord>) -> BoxFuture<'static, ()> {
        self.record(format!("push {}", records.len()));
        async {}.boxed()
    }

    fn take_journal(&self, take: TakeRequest) -> BoxFuture<'static, TakeAnswer> {
        let by = take.taker.instance;
        async { TakeAnswer::Taken { by } }.boxed()
    }
}

struct Server {
    address: SocketAddr,
    handler: Arc<RecordingHandler>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    async fn start(address: &str) -> Self {
        let listener = TcpListener::bind(address).await.expect("test setup");
        let address = listener.local_addr().expect("test setup");
        let handler = Arc::new(RecordingHandler::default());
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(serve(listener, handler.clone(), settings("s"), stopped));
        Self {
            address,
            handler,
            stop,
            task,
        }
    }

    async fn stop(self) {
        self.stop.send(true).expect("test setup");
        self.task.await.expect("test setup");
    }
}

fn settings(secret: &str) -> PeerSettings {
    PeerSettings {
        call_ms: 10_000,
        connect_ms: 10_000,
        secret: Secret::from(secret),
        ..PeerSettings::default()
    }
}

fn change_record(version: ConfigVersion) -> ChangeRecord {
    ChangeRecord {
        change: Change::DeletePlan { id: "p".into() },
        operation: "o".into(),
        version,
    }
}

fn tokens_append(text: &str) -> JournalAppend {
    JournalAppend::Tokens {
        attempt: 1,
        finish: None,
        from: 0,
        owner: holder(),
        request: "r".into(),
        tokens: vec![text.into()],
    }
}

fn heartbeat() -> Heartbeat {
    let digest = TargetDigest {
        age_ms: 1,
        health: TargetHealth::Live,
        incarnation: 1,
        models: Some(Vec::new()),
        rate_per_s: 1.5,
        running_count: 1,
        slot_count: 2,
        target: "t".into(),
        waiting_count: 0,
    };
    Heartbeat {
        config_version: 7,
        confirmed_age_ms: 1,
        crashes: Vec::new(),
        demands: Vec::new(),
        departures: Vec::new(),
        digests: vec![digest],
        incarnation: 9,
        leaving: false,
        ready: true,
        sender: "a".into(),
        spare_count: 3,
    }
}

fn holder() -> Holder {
    Holder {
        instance: "a".into(),
        nonce: "n".into(),
    }
}

/// Guards against a message that bincode cannot encode, which only a call over a socket shows.
#[tokio::test]
async fn every_call_arrives_and_is_answered() {
    let server = Server::start("127.0.0.1:0").await;
    let (pool, address) = (Pool::new(settings("s")), server.address);
    let appended = pool
        .append_journal(address, tokens_append("t"))
        .await
        .unwrap();
    assert_eq!(appended, AppendAnswer::Appended { next: 3 });
    let changes = pool.changes_since(address, 0).await.unwrap();
    assert_eq!(changes, Changes::Lists(Arc::new(OperatorLists::default())));
    let changes = pool.changes_since(address, 4).await.unwrap();
    assert_eq!(changes, Changes::Records(vec![change_record(5)]));
    pool.heartbeat(address, heartbeat()).await.unwrap();
    pool.push_changes(address, vec![change_record(1)])
        .await
        .unwrap();
    pool.leave(address, "a".into(), 9).await.unwrap();
    let take = TakeRequest {
        account: "x".into(),
        only_idle: true,
        owner: "o".into(),
        request: "r".into(),
        taker: holder(),
    };
    let taken = pool.take_journal(address, take);
    let by = "a".into();
    assert_eq!(taken.await.unwrap(), TakeAnswer::Taken { by });
    let calls = server.handler.calls.lock().unwrap().clone();
    let expected_heartbeat = format!("heartbeat {:?}", heartbeat());
    assert_eq!(
        calls,
        ["append r", &expected_heartbeat, "push 1", "leave a 9"]
    );
}

/// Guards against calls of a process that does not have the secret, or of one without any.
#[tokio::test]
async fn another_secret_is_refused() {
    let server = Server::start("127.0.0.1:0").await;
    for secret in ["", "t", "ss"] {
        let pool = Pool::new(settings(secret));
        let result = pool.leave(server.address, "a".into(), 1).await;
        assert!(matches!(result, Err(Error::Secret { .. })), "{result:?}");
    }
    assert!(server.handler.calls.lock().unwrap().is_empty());
}

/// Guards against a pool that continues to use the connection to a peer that was restarted.
#[tokio::test]
async fn a_restarted_peer_is_reached_again() {
    let server = Server::start("127.0.0.1:0").await;
    let address = server.address;
    let pool = Pool::new(PeerSettings {
        backoff_ms: 0,
        ..settings("s")
    });
    pool.leave(address, "a".into(), 1).await.unwrap();
    server.stop().await;
    assert!(pool.leave(address, "a".into(), 2).await.is_err());
    let refused = pool.leave(address, "a".into(), 3).await;
    assert!(matches!(refused, Err(Error::Connect { .. })), "{refused:?}");
    let server = Server::start(&address.to_string()).await;
    pool.leave(address, "a".into(), 4).await.unwrap();
    assert_eq!(
        server.handler.calls.lock().unwrap().as_slice(),
        ["leave a 4"]
    );
}

/// Guards against a burst of connection attempts to a peer that is down.
#[tokio::test]
async fn a_failed_connection_is_not_retried_at_once() {
    let server = Server::start("127.0.0.1:0").await;
    let address = server.address;
    server.stop().await;
    let pool = Pool::new(PeerSettings {
        backoff_max_ms: 600_000,
        backoff_ms: 600_000,
        ..settings("s")
    });
    let first = pool.leave(address, "a".into(), 1).await;
    assert!(matches!(first, Err(Error::Connect { .. })), "{first:?}");
    let second = pool.leave(address, "a".into(), 2).await;
    assert!(matches!(second, Err(Error::Backoff { .. })), "{second:?}");
}

/// Guards against a call that waits indefinitely for a peer that hangs.
#[tokio::test]
async fn a_call_ends_at_its_deadline() {
    let server = Server::start("127.0.0.1:0").await;
    let pool = Pool::new(PeerSettings {
        call_ms: 20,
        ..settings("s")
    });
    let result = pool
        .call_status(server.address, CallQuery::Nonce("n".into()))
        .await;
    assert!(matches!(result, Err(Error::Deadline { .. })), "{result:?}");
}

/// Guards against a message that makes the receiver use more memory than its limit.
#[tokio::test]
async fn a_frame_past_the_limit_ends_the_connection_only() {
    let server = Server::start("127.0.0.1:0").await;
    let long = tokens_append(&"x".repeat(5 * 1024 * 1024));
    let pool = Pool::new(PeerSettings {
        frame_bytes: 64 * 1024 * 1024,
        ..settings("s")
    });
    let result = pool.append_journal(server.address, long).await;
    assert!(matches!(result, Err(Error::Call { .. })), "{result:?}");
    pool.leave(server.address, "a".into(), 1).await.unwrap();
}
