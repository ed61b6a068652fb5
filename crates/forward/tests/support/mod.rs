//! Fake targets and engines, and a router in front of them, over loopback connections.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod crashing_target;
pub mod cut;
pub mod cut_system;
pub mod kept_target;
pub mod raw_target;

use {
    bytes::Bytes,
    catalog::{
        Account, Backend, Catalog, CatalogParts, EngineProfile, HardwareKind, RepeatPolicy, Route,
        Service,
    },
    fleet::{Path, Target},
    forward::{
        Dispatch, EngineState, Engines, Error, ForwardSettings, HeaderCodec, OrderReply,
        ReplyMetadata, RequestMetadata, Router,
    },
    futures::{FutureExt, future::BoxFuture},
    http_body_util::Full,
    layout::LayerRange,
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::watch},
    tracing_mutex::stdsync::Mutex,
    wire::{
        Connection, Connector, Limits, ReplyStream, Request, Response, TcpConnector,
        hyper::{
            HeaderMap, StatusCode,
            header::{HeaderName, HeaderValue},
        },
    },
};

/// Time limit of each wait in a test.
pub const LIMIT: Duration = Duration::from_secs(20);

/// Header codec of the tests. Requests use `x-id`, `x-deadline-ms`, `x-key`, `x-shared-parts` and
/// `x-tokens-unknown`;
/// answers use `x-id`, `x-signature`, `x-not-run`, `x-leaving`, `x-fault-at`, `x-rate-limit` and
/// `x-return-after-ms`.
pub struct TestHeaderCodec {
    /// Header by which connections tell answers apart.
    pub id_header: &'static str,
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

impl HeaderCodec for TestHeaderCodec {
    fn id_header(&self) -> HeaderName {
        HeaderName::from_static(self.id_header)
    }

    fn parse_request(&self, headers: &HeaderMap) -> RequestMetadata {
        let known_tokens = (!headers.contains_key("x-tokens-unknown")).then_some(10.0);
        RequestMetadata {
            answer_tokens: known_tokens,
            time_limit: text(headers, "x-deadline-ms")
                .and_then(|value| value.parse().ok())
                .map(Duration::from_millis),
            expected_tokens: None,
            id: text(headers, "x-id").unwrap_or_default().into(),
            key: text(headers, "x-key").map(Arc::from),
            prompt_tokens: known_tokens,
            shared_parts: text(headers, "x-shared-parts")
                .map(|parts| parts.split(',').map(Arc::from).collect())
                .unwrap_or_default(),
        }
    }

    fn parse_reply(&self, _status: StatusCode, headers: &HeaderMap) -> ReplyMetadata {
        ReplyMetadata {
            fault_at: text(headers, "x-fault-at").and_then(|value| value.parse().ok()),
            has_signature: headers.contains_key("x-signature"),
            id: text(headers, "x-id").map(Arc::from),
            is_not_run: headers.contains_key("x-not-run"),
            is_leaving: headers.contains_key("x-leaving"),
            load: None,
            rate_limit_per_s: text(headers, "x-rate-limit").and_then(|value| value.parse().ok()),
            retry_after: text(headers, "x-return-after-ms")
                .and_then(|value| value.parse().ok())
                .map(Duration::from_millis),
        }
    }

    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch) {
        headers.remove("x-key");
        let mut set = |name: &'static str, value: &str| {
            headers.insert(
                name,
                HeaderValue::from_str(value).expect("test support works"),
            );
        };
        set("x-account", dispatch.account.unwrap_or_default());
        set("x-deadline-ms", &dispatch.time_left.as_millis().to_string());
        set("x-target", &dispatch.path.first().id);
        if let Some(event) = dispatch.last_event {
            set("last-event-id", event);
        }
    }
}

/// Fake engines with configured states, which record the requests that are moved. An engine without a
/// state does not answer.
#[derive(Default)]
pub struct TestEngines {
    pub moved: Mutex<Vec<(String, SocketAddr)>>,
    pub states: Mutex<HashMap<SocketAddr, EngineState>>,
}

impl Engines for TestEngines {
    fn state(&self, address: SocketAddr) -> BoxFuture<'_, Result<EngineState, Error>> {
        let state = self
            .states
            .lock()
            .expect("test support works")
            .get(&address)
            .cloned();
        async move { state.ok_or_else(|| Error::Unknown("silent".into())) }.boxed()
    }

    fn place(
        &self,
        _address: SocketAddr,
        _range: LayerRange,
        _fence: u64,
        _order_count: u64,
    ) -> BoxFuture<'_, Result<OrderReply, Error>> {
        async { Ok(OrderReply::Accepted) }.boxed()
    }

    fn repath(&self, request: &str, path: &Path) -> BoxFuture<'_, Result<bool, Error>> {
        let last = path.stages.last().expect("test support works").address;
        self.moved
            .lock()
            .expect("test support works")
            .push((request.into(), last));
        async { Ok(true) }.boxed()
    }
}

/// Fake target with answers that a test defines.
pub struct TestTarget {
    pub address: SocketAddr,
    pub requests: Arc<Mutex<Vec<Request>>>,
    _stop: watch::Sender<bool>,
}

impl TestTarget {
    pub fn ids(&self) -> Vec<String> {
        let requests = self.requests.lock().expect("test support works");
        requests
            .iter()
            .map(|one| one.header("x-id").unwrap_or_default().to_owned())
            .collect()
    }
}

struct ScriptedHandler<F> {
    answer: F,
    requests: Arc<Mutex<Vec<Request>>>,
}

impl<F> wire::Handler for ScriptedHandler<F>
where
    F: Fn(&Request) -> BoxFuture<'static, Response> + Send + Sync + 'static,
{
    fn handle(self: Arc<Self>, request: Request) -> BoxFuture<'static, Response> {
        let response = (self.answer)(&request);
        self.requests
            .lock()
            .expect("test support works")
            .push(request);
        response
    }
}

pub async fn target<F>(answer: F) -> TestTarget
where
    F: Fn(&Request) -> BoxFuture<'static, Response> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("test support works");
    let address = listener.local_addr().expect("test support works");
    let requests = Arc::new(Mutex::new(Vec::new()));
    let script = Arc::new(ScriptedHandler {
        answer,
        requests: requests.clone(),
    });
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(wire::serve(listener, script, Limits::default(), stopped));
    TestTarget {
        address,
        requests,
        _stop: stop,
    }
}

/// Adds the id and the signature that mark an answer as one to `request`.
pub fn signed(request: &Request, mut response: Response) -> Response {
    let id = request.header("x-id").unwrap_or_default().to_owned();
    response.headers_mut().insert(
        "x-id",
        HeaderValue::from_str(&id).expect("test support works"),
    );
    let signature = HeaderValue::from_static("signed");
    response.headers_mut().insert("x-signature", signature);
    response
}

pub fn ready(response: Response) -> BoxFuture<'static, Response> {
    async move { response }.boxed()
}

/// Running router with one route, `/r/` of the host `h`.
pub struct TestRouter {
    pub address: SocketAddr,
    pub engines: Arc<TestEngines>,
    pub router: Arc<Router>,
    _stop: watch::Sender<bool>,
}

/// Configuration of a test router.
pub struct Setup {
    pub attempt_count: u32,
    pub connector: Arc<dyn Connector>,
    pub gap_goal: Option<Duration>,
    pub id_header: &'static str,
    pub limits: catalog::Limits,
    pub repeat: RepeatPolicy,
    pub settings: ForwardSettings,
    pub targets: Vec<SocketAddr>,
    pub usual_tokens: f64,
    /// Failure domains of the targets, by index; `a` for targets beyond the end.
    pub domains: Vec<&'static str>,
    /// Hardware kind of all targets.
    pub hardware: &'static str,
    /// Layers of the targets, by index; empty for a plain service.
    pub held: Vec<LayerRange>,
    pub time_limit: Duration,
}

/// Settings that do not limit retries.
pub fn settings() -> ForwardSettings {
    ForwardSettings {
        retry_ratio: 100.0,
        ..ForwardSettings::default()
    }
}

/// Configuration with targets of a plain service.
pub fn setup(repeat: RepeatPolicy, targets: &[&TestTarget]) -> Setup {
    Setup {
        repeat,
        targets: targets.iter().map(|target| target.address).collect(),
        ..Setup::default()
    }
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            attempt_count: 2,
            connector: Arc::new(TcpConnector),
            domains: Vec::new(),
            gap_goal: None,
            hardware: "card",
            id_header: "x-id",
            held: Vec::new(),
            limits: catalog::Limits::default(),
            repeat: RepeatPolicy::Idempotent,
            settings: settings(),
            targets: Vec::new(),
            time_limit: Duration::from_secs(20),
            usual_tokens: 10.0,
        }
    }
}

impl Setup {
    pub async fn start(self) -> TestRouter {
        let engines = Arc::new(TestEngines::default());
        let settings = self.settings.clone();
        let codec = TestHeaderCodec {
            id_header: self.id_header,
        };
        let connector = self.connector.clone();
        let codec = Arc::new(codec);
        let router = Router::with_connector(settings, codec, engines.clone(), connector, 7);
        {
            let mut holder = router.catalog();
            holder.offer(Arc::new(self.catalog()));
            holder.confirm(1, clock::now());
        }
        router.set_targets(&self.listing());
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("test support works");
        let address = listener.local_addr().expect("test support works");
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(wire::serve(
            listener,
            router.handler(),
            Limits::default(),
            stopped,
        ));
        TestRouter {
            address,
            engines,
            router,
            _stop: stop,
        }
    }

    fn catalog(&self) -> Catalog {
        let profile = EngineProfile {
            usual_prompt_tokens: self.usual_tokens,
            ..profile()
        };
        let engine = (!self.held.is_empty()).then(|| Arc::new(profile));
        Catalog::new(CatalogParts {
            accounts: Some(vec![Account {
                keys: vec!["key".into()],
                name: "office".into(),
                rank: None,
            }]),
            routes: vec![Route {
                attempt_count: self.attempt_count,
                backends: vec![Backend {
                    service: "s".into(),
                    weight: 1,
                }],
                gap_goal: self.gap_goal,
                host: "h".into(),
                is_public: false,
                latency_goal: Duration::from_millis(100),
                name: "r".into(),
                path_prefix: "/r/".into(),
                rank: 0,
                repeat: self.repeat,
                time_limit: self.time_limit,
            }],
            services: vec![Service {
                engine,
                name: "s".into(),
            }],
            limits: self.limits,
            version: 1,
        })
    }

    pub fn listing(&self) -> Vec<Target> {
        let mut listing = Vec::new();
        for (index, address) in self.targets.iter().enumerate() {
            listing.push(Target {
                address: *address,
                domain: self.domains.get(index).copied().unwrap_or("a").into(),
                hardware: Some(self.hardware.into()),
                held: self.held.get(index).copied(),
                id: format!("t{index}").into(),
                is_leaving: false,
                service: "s".into(),
                incarnation: 0,
                slot_count: 8,
            });
        }
        listing
    }
}

/// Hardware kind with memory for 20,000 tokens in addition to all layers.
pub const SMALL: &str = "small";

fn kind(name: &str, memory_mb: f64) -> HardwareKind {
    HardwareKind {
        memory_mb,
        name: name.into(),
        pace: 1.0,
        read_factor: 1.0,
    }
}

pub fn profile() -> EngineProfile {
    EngineProfile {
        activation_bytes: 1_000.0,
        context_ms_per_thousand: 0.0,
        kinds: vec![kind("card", 10_000.0), kind(SMALL, 820.0)],
        kv_bytes_per_token: 1_000.0,
        layer_count: 8,
        layer_mb: 100.0,
        pipe_mbps: 1_000.0,
        read_tokens_per_s: 100_000.0,
        step_ms: 1.0,
        step_ms_per_request: 0.0,
        usual_answer_tokens: 10.0,
        usual_prompt_tokens: 10.0,
    }
}

/// Request that a test sends as a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub body: &'static str,
    pub headers: Vec<(&'static str, &'static str)>,
    pub id: &'static str,
    pub method: &'static str,
    pub path: &'static str,
}

impl Default for CallerRequest {
    fn default() -> Self {
        Self {
            body: "",
            headers: vec![("host", "h"), ("x-key", "key"), ("x-deadline-ms", "10000")],
            id: "id1",
            method: "GET",
            path: "/r/x?y=1",
        }
    }
}

impl TestRouter {
    /// Becomes true when the router is dropped.
    pub fn stopped(&self) -> watch::Receiver<bool> {
        self._stop.subscribe()
    }

    pub async fn open(&self, send: CallerRequest) -> Result<ReplyStream, wire::Error> {
        let mut connection = Connection::open(self.address, LIMIT).await?;
        let mut request = wire::hyper::Request::builder()
            .method(send.method)
            .uri(send.path)
            .header("x-id", send.id);
        for (name, value) in send.headers {
            request = request.header(name, value);
        }
        let body = Full::new(Bytes::from_static(send.body.as_bytes()));
        connection
            .send_request(request.body(body).expect("test support works"), LIMIT)
            .await
    }

    pub async fn send(
        &self,
        send: CallerRequest,
    ) -> (StatusCode, HeaderMap, Result<Bytes, wire::Error>) {
        let mut reply = self.open(send).await.expect("test support works");
        let body = reply.read(LIMIT, 1_000_000).await;
        (reply.status, reply.headers, body)
    }
}
