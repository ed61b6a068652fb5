//! An instance whose dependencies are fakes, so that tests need no sockets and no delays.

#![allow(dead_code, reason = "each test binary uses only some of it")]

use {
    ::control::{
        AddressAnswer, AppendAnswer, CallQuery, Command, EntryAddress, Event, Identity,
        JournalAppend, OwnerStatus, Status, TakeAnswer, TakeRequest,
    },
    bytes::Bytes,
    entry::{AddressQuery, App, Control, Dependencies, Settings, handler, peer_handler},
    futures::{FutureExt, StreamExt, future::BoxFuture},
    http_body_util::BodyExt,
    peer::{Changes, Error, PeerHandler, Peers},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    storage::{Listings, Table},
    target::{Engines, RecordStream, Services},
    tokio::sync::{Mutex as AsyncMutex, mpsc},
    tracing_mutex::stdsync::Mutex,
    types::{
        Account, AttemptFailure, CacheEvent, CallReply, CancelRequest, ChangeRecord, FailureKind,
        GenerateRequest, GenerateSubmission, Heartbeat, InstanceId, KvCache, KvRequest, LayerRange,
        Listing, ListingRole, LoadReport, OperationKind, OperatorLists, Order, Plan,
        PriorityRequest, RequestId, Route, ServiceOperation, Stage, StoreFailure, StoreReply,
        StoreRequest, StreamRecord, TokenRecord, hash_key,
    },
    wire::{
        Request, Response,
        hyper::{HeaderMap, Method, header::HeaderName},
    },
};

mod control;
mod data;
mod network;
mod targets;

pub use data::*;

pub type RecordSender = mpsc::UnboundedSender<Result<StreamRecord, AttemptFailure>>;

/// In-memory network of instances by peer address, as seen from one of them. Calls to unknown,
/// removed or partitioned addresses fail.
#[derive(Clone, Default)]
pub struct Network {
    partitions: Arc<Mutex<Vec<[SocketAddr; 2]>>>,
    handlers: Arc<Mutex<HashMap<SocketAddr, Arc<dyn PeerHandler>>>>,
    own: Option<SocketAddr>,
}

pub struct Fixture {
    pub app: Arc<App>,
    pub targets: Arc<FakeTargets>,
    pub events: AsyncMutex<mpsc::UnboundedReceiver<Event>>,
    pub handler: Arc<dyn wire::Handler>,
    pub network: Network,
    generations: AsyncMutex<mpsc::UnboundedReceiver<(GenerateRequest, RecordSender)>>,
}

#[derive(Debug)]
pub struct FakeTargets {
    pub cancels: mpsc::UnboundedSender<CancelRequest>,
    pub canceled: AsyncMutex<mpsc::UnboundedReceiver<CancelRequest>>,
    pub exports: Mutex<Vec<KvRequest>>,
    pub replies: Mutex<Vec<Result<CallReply, FailureKind>>>,
    generations: mpsc::UnboundedSender<(GenerateRequest, RecordSender)>,
}

struct FakeControl(mpsc::UnboundedSender<Event>);

#[derive(Debug)]
struct FakePlatform;

pub fn peer_address(instance: &str) -> SocketAddr {
    let port = instance.bytes().map(u16::from).sum();
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Fixture {
    pub fn new() -> Self {
        Self::on(&Network::default(), "a")
    }

    /// Creates an instance that uses `engines` instead of the fake.
    pub fn with_engines(engines: Arc<dyn Engines>) -> Self {
        Self::build(&Network::default(), "a", Some(engines), |_| {})
    }

    /// Creates an instance with adjusted settings.
    pub fn with_settings(
        network: &Network,
        instance: &str,
        adjust: impl FnOnce(&mut Settings),
    ) -> Self {
        Self::build(network, instance, None, adjust)
    }

    /// Creates an instance on a network, with the accounts `lagoon` (key `key-1`) and `other` (key
    /// `key-2`) and the operator key `operator`.
    pub fn on(network: &Network, instance: &str) -> Self {
        Self::build(network, instance, None, |_| {})
    }

    fn build(
        network: &Network,
        instance: &str,
        engines: Option<Arc<dyn Engines>>,
        adjust: impl FnOnce(&mut Settings),
    ) -> Self {
        let (event_sender, events) = mpsc::unbounded_channel();
        let (generation_sender, generations) = mpsc::unbounded_channel();
        let (cancels, canceled) = mpsc::unbounded_channel();
        let targets = Arc::new(FakeTargets {
            canceled: AsyncMutex::new(canceled),
            cancels,
            exports: Mutex::default(),
            generations: generation_sender,
            replies: Mutex::default(),
        });
        let dependencies = Dependencies {
            control: Arc::new(FakeControl(event_sender)),
            engines: engines.unwrap_or_else(|| targets.clone()),
            listings: Arc::new(FakePlatform),
            peers: Arc::new(network.view_from(instance)),
            services: targets.clone(),
            table: Arc::new(FakePlatform),
        };
        let mut settings = settings(instance);
        adjust(&mut settings);
        let identity = Identity {
            address: settings.address,
            failure_domain: "zone".into(),
            incarnation: 1,
            instance: instance.into(),
            peer_address: peer_address(instance),
            region: "region".into(),
        };
        let app = App::new(settings, identity, dependencies);
        app.execute(Command::PublishLists(Arc::new(lists())));
        network.add(instance, peer_handler(app.clone()));
        Self {
            targets,
            events: AsyncMutex::new(events),
            generations: AsyncMutex::new(generations),
            handler: handler(app.clone(), None),
            network: network.clone(),
            app,
        }
    }

    pub async fn event(&self) -> Event {
        self.events.lock().await.recv().await.expect("an event")
    }

    pub async fn generation(&self) -> (GenerateRequest, RecordSender) {
        let received = self.generations.lock().await.recv().await;
        received.expect("a generation request at the engine")
    }

    /// Creates instances that know each other from the platform's list.
    pub async fn group<const COUNT: usize>(
        network: &Network,
        instances: [&str; COUNT],
    ) -> [Self; COUNT] {
        let fixtures = instances.map(|instance| Self::on(network, instance));
        for fixture in &fixtures {
            fixture.read_listing().await;
        }
        fixtures
    }

    /// Returns the generation request that the next event submits.
    pub async fn submitted(&self) -> GenerateSubmission {
        match self.event().await {
            Event::GenerateSubmitted(submission) => submission,
            event => panic!("expected a generation request, got {event:?}"),
        }
    }

    /// Dispatches the generation request that the next event submits to the fake engine.
    pub async fn run_submitted(
        &self,
        attempt: u32,
    ) -> (GenerateSubmission, GenerateRequest, RecordSender) {
        let submission = self.submitted().await;
        self.app
            .execute(dispatch(&submission.request, attempt, None));
        let (generation, records) = self.generation().await;
        (submission, generation, records)
    }

    /// Returns the id of the call that the next event submits.
    pub async fn submitted_call(&self) -> RequestId {
        match self.event().await {
            Event::CallSubmitted(submission) => submission.request,
            event => panic!("expected a call, got {event:?}"),
        }
    }

    /// Checks the status and the error kind of the answer to a request.
    pub async fn expect_fault(&self, request: Request, status: u16, kind: &str) {
        let response = self.send(request).await;
        assert_eq!(response.status(), status);
        let body: serde_json::Value =
            serde_json::from_str(&read_all(response).await).expect("a JSON body");
        assert_eq!(body["error"]["kind"], kind);
    }

    /// Reads the platform's list, so that peers and services are known.
    pub async fn read_listing(&self) {
        self.app.execute(Command::ReadListing);
        assert!(matches!(self.event().await, Event::ListingRead { .. }));
    }

    pub fn send(&self, request: Request) -> BoxFuture<'static, Response> {
        self.handler.clone().handle(request)
    }

    /// Starts a stream and dispatches it to the fake engine.
    pub async fn stream(&self, backup: Option<&str>) -> (Response, RequestId, RecordSender) {
        let response = tokio::spawn(self.send(prompt(true)));
        let submission = self.submitted().await;
        self.app.execute(dispatch(&submission.request, 1, backup));
        let (_, records) = self.generation().await;
        let response = response.await.expect("no panic");
        (response, submission.request, records)
    }

    /// Starts a stream and reads its first token. Returns the response, the resume point after that
    /// token, and the sender of further records.
    pub async fn stream_with_first_token(
        &self,
        backup: Option<&str>,
    ) -> (Response, String, RecordSender) {
        let (mut response, _, records) = self.stream(backup).await;
        send_records(&records, [token(1, 0)]);
        let (_, id) = parse_events(&read_until(&mut response, "t0 ").await);
        (response, id, records)
    }
}

fn settings(instance: &str) -> Settings {
    let mut settings = Settings {
        instance: instance.into(),
        operator_key_hashes: BTreeSet::from([hash_key("operator")]),
        ..Settings::default()
    };
    settings.stream.batch_ms = 0;
    settings.edit_limit_ms = 3_600_000;
    settings
}
