//! One instance between fakes at its trait borders, driven without sockets or time.

#![allow(dead_code, reason = "each test binary uses a part")]

use {
    bytes::Bytes,
    control::{
        AddressAnswer, AppendAnswer, CallQuery, Command, EntryAddress, Event, Holder, Identity,
        JournalAppend, OwnerStatus, Status, TakeAnswer,
    },
    entry::{App, Control, Parts, Settings, handler, peer_handler},
    futures::{FutureExt, StreamExt, future::BoxFuture},
    http_body_util::BodyExt,
    peer::{Changes, Error, PeerHandler, Peers},
    platform::{Listings, Table},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    target::{Engines, RecordStream, Services},
    tokio::sync::{Mutex as AsyncMutex, mpsc},
    types::{
        Account, AccountId, AttemptFailure, CacheEvent, CallReply, CancelRequest, ChangeRecord,
        FailureKind, GenerateRequest, Heartbeat, InstanceId, KvCache, KvRequest, LayerRange,
        Listing, ListingRole, Lists, LoadReport, OperationKind, Order, Plan, PriorityRequest,
        RequestId, Route, ServiceOperation, Stage, StoreFailure, StoreReply, StoreRequest,
        StreamRecord, TokenRecord, hash_key,
    },
    wire::{
        Request, Response,
        hyper::{HeaderMap, Method, header::HeaderName},
    },
};

mod network;
mod targets;

pub type Records = mpsc::UnboundedSender<Result<StreamRecord, AttemptFailure>>;

/// Instances by peer address; a call to any other address fails.
#[derive(Clone, Default)]
pub struct Network(Arc<Mutex<HashMap<SocketAddr, Arc<dyn PeerHandler>>>>);

pub struct Fixture {
    pub app: Arc<App>,
    pub calls: Arc<FakeTargets>,
    pub events: AsyncMutex<mpsc::UnboundedReceiver<Event>>,
    pub handler: Arc<dyn wire::Handler>,
    pub network: Network,
    generations: AsyncMutex<mpsc::UnboundedReceiver<(GenerateRequest, Records)>>,
}

#[derive(Debug)]
pub struct FakeTargets {
    pub cancels: mpsc::UnboundedSender<CancelRequest>,
    pub canceled: AsyncMutex<mpsc::UnboundedReceiver<CancelRequest>>,
    pub replies: Mutex<Vec<Result<CallReply, FailureKind>>>,
    generations: mpsc::UnboundedSender<(GenerateRequest, Records)>,
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

    /// Instance on a network, with accounts `lagoon` (key `key-1`) and `other` (key `key-2`) and
    /// an operator's key `operator`.
    pub fn on(network: &Network, instance: &str) -> Self {
        let (event_sender, events) = mpsc::unbounded_channel();
        let (generation_sender, generations) = mpsc::unbounded_channel();
        let (cancels, canceled) = mpsc::unbounded_channel();
        let targets = Arc::new(FakeTargets {
            canceled: AsyncMutex::new(canceled),
            cancels,
            generations: generation_sender,
            replies: Mutex::default(),
        });
        let parts = Parts {
            control: Arc::new(FakeControl(event_sender)),
            engines: targets.clone(),
            listings: Arc::new(FakePlatform),
            peers: Arc::new(network.clone()),
            services: targets.clone(),
            table: Arc::new(FakePlatform),
        };
        let mut settings = Settings {
            instance: instance.into(),
            operator_key_hashes: BTreeSet::from([hash_key("operator")]),
            ..Settings::default()
        };
        settings.stream.batch_ms = 0;
        settings.edit_limit_ms = 3_600_000;
        let identity = Identity {
            address: settings.address,
            failure_domain: "zone".into(),
            incarnation: 1,
            instance: instance.into(),
            peer_address: peer_address(instance),
            region: "region".into(),
        };
        let app = App::new(settings, identity, parts);
        network.join(instance, peer_handler(app.clone()));
        app.execute(Command::PublishLists(Arc::new(lists())));
        Self {
            calls: targets,
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

    pub async fn generation(&self) -> (GenerateRequest, Records) {
        let received = self.generations.lock().await.recv().await;
        received.expect("a prompt at the engine")
    }

    /// Reads the platform's list, so that peers and services are known.
    pub async fn read_listing(&self) {
        self.app.execute(Command::ReadListing);
        assert!(matches!(self.event().await, Event::ListingRead { .. }));
    }

    pub fn send(&self, request: Request) -> BoxFuture<'static, Response> {
        self.handler.clone().handle(request)
    }

    /// Starts a stream and brings it to the engine.
    pub async fn stream(&self, backup: Option<&str>) -> (Response, RequestId, Records) {
        let response = tokio::spawn(self.send(prompt(true)));
        let Event::GenerateSubmitted(submission) = self.event().await else {
            panic!("a prompt is submitted first");
        };
        self.app.execute(dispatch(&submission.request, 1, backup));
        let (_, records) = self.generation().await;
        let response = response.await.expect("no panic");
        (response, submission.request, records)
    }
}

impl Control for FakeControl {
    fn addresses(&self, _: Option<Arc<str>>) -> BoxFuture<'static, Option<AddressAnswer>> {
        let answer = AddressAnswer {
            addresses: vec![EntryAddress {
                address: SocketAddr::from(([10, 0, 0, 1], 80)),
                failure_domain: "z".into(),
                instance: "e".into(),
            }],
            time_to_live: Duration::from_millis(4_500),
        };
        async { Some(answer) }.boxed()
    }

    fn changes_since(&self, _: u64) -> BoxFuture<'static, Changes> {
        async { Changes::Records(Vec::new()) }.boxed()
    }

    fn owner_status(&self, _: CallQuery) -> BoxFuture<'static, OwnerStatus> {
        async { OwnerStatus::Running }.boxed()
    }

    fn report(&self, event: Event) {
        let _ = self.0.send(event);
    }

    fn status(&self) -> BoxFuture<'static, Option<Status>> {
        let status = Status {
            config_version: 7,
            in_force_count: 2,
            instance_count: 3,
            instances: Vec::new(),
            ready: true,
            targets: Vec::new(),
        };
        async { Some(status) }.boxed()
    }
}

impl Table for FakePlatform {
    fn execute(&self, _: StoreRequest) -> BoxFuture<'static, Result<StoreReply, StoreFailure>> {
        async { Err(StoreFailure::Unavailable) }.boxed()
    }
}

impl Listings for FakePlatform {
    fn read(&self) -> BoxFuture<'static, Result<Vec<Listing>, StoreFailure>> {
        let mut listings = Vec::new();
        for instance in ["a", "b", "c"] {
            let peer_address = peer_address(instance);
            listings.push(listing(instance, ListingRole::Entry { peer_address }));
        }
        let operations = [
            ("book", OperationKind::NonRepeatable),
            ("price", OperationKind::Idempotent),
        ];
        let operations = operations.map(|(name, kind)| ServiceOperation {
            kind,
            name: name.into(),
        });
        let role = ListingRole::Service {
            operations: operations.into(),
            service: "travel".into(),
        };
        listings.push(listing("s", role));
        async { Ok(listings) }.boxed()
    }

    fn register(&self, _: Listing) -> BoxFuture<'static, Result<(), StoreFailure>> {
        async { Ok(()) }.boxed()
    }
}

pub fn listing(id: &str, role: ListingRole) -> Listing {
    Listing {
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "zone".into(),
        id: id.into(),
        incarnation: 1,
        leaving: false,
        region: "region".into(),
        role,
    }
}

pub fn lists() -> Lists {
    let plan = |models: &[&str], services: &[&str]| Plan {
        models: models.iter().map(|name| Arc::from(*name)).collect(),
        services: services.iter().map(|name| Arc::from(*name)).collect(),
        ..Plan::default()
    };
    let account = |key, plan: &str| Account {
        key_hashes: BTreeSet::from([hash_key(key)]),
        plan: plan.into(),
    };
    Lists {
        accounts: BTreeMap::from([
            ("lagoon".into(), account("key-1", "large")),
            ("other".into(), account("key-2", "small")),
        ]),
        plans: BTreeMap::from([
            ("large".into(), plan(&["m"], &["travel", "absent"])),
            ("small".into(), plan(&["n"], &[])),
        ]),
        version: 7,
    }
}

pub fn dispatch(request: &RequestId, attempt: u32, backup: Option<&str>) -> Command {
    let stage = |target: &str, start, end| Stage {
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        layers: LayerRange { start, end },
        target: target.into(),
    };
    Command::DispatchGenerate {
        attempt,
        backup: backup.map(|instance| (instance.into(), peer_address(instance))),
        priority: 5,
        request: request.clone(),
        route: Route {
            layer_count: 4,
            stages: vec![stage("e1", 0, 2), stage("e2", 2, 4)],
        },
    }
}

pub fn token(attempt: u32, index: u32) -> Result<StreamRecord, AttemptFailure> {
    let layers = |start, end| LayerRange { start, end };
    Ok(StreamRecord::Token(TokenRecord {
        attempt,
        index,
        layers: vec![layers(0, 2), layers(2, 4)],
        text: format!("t{index} ").into(),
    }))
}

pub fn end(attempt: u32, token_count: u32) -> Result<StreamRecord, AttemptFailure> {
    Ok(StreamRecord::End {
        attempt,
        reason: types::FinishReason::Stop,
        token_count,
    })
}

pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Request {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        let name = HeaderName::try_from(*name).expect("a header name");
        map.insert(name, value.parse().expect("a header value"));
    }
    Request {
        body: Bytes::copy_from_slice(body.as_bytes()),
        headers: map,
        method: Method::from_bytes(method.as_bytes()).expect("a method"),
        path: path.into(),
        peer: SocketAddr::from(([127, 0, 0, 1], 9)),
        query: query.into(),
    }
}

pub fn prompt(is_stream: bool) -> Request {
    let body = format!(r#"{{"model":"m","prompt":"p","max_tokens":9,"stream":{is_stream}}}"#);
    let headers = [("authorization", "Bearer key-1")];
    request("POST", "/v1/completions", &headers, &body)
}

/// Reads pieces of a body until its text holds `part`, and returns what came so far.
pub async fn read_until(response: &mut Response, part: &str) -> String {
    let mut text = String::new();
    while !text.contains(part) {
        let Some(frame) = response.body_mut().frame().await else {
            panic!("the body ended without `{part}`: {text}");
        };
        let data = frame.expect("no disconnect").into_data();
        text.push_str(&String::from_utf8_lossy(&data.expect("data")));
    }
    text
}

pub async fn read_all(response: Response) -> String {
    let bytes = response.into_body().collect().await.expect("a body");
    String::from_utf8_lossy(&bytes.to_bytes()).into_owned()
}

/// Texts of the tokens in the events of a stream, and the last resume point.
pub fn parse_events(text: &str) -> (String, String) {
    let (mut tokens, mut id) = (String::new(), String::new());
    for line in text.lines() {
        if let Some(value) = line.strip_prefix("id: ") {
            id = value.into();
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if let Ok(value) = serde_json::from_str::<serde_json::Value>(data) {
            tokens.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
        }
    }
    (tokens, id)
}
