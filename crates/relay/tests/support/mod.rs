//! Instances with only the parts that relay state.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    catalog::{Catalog, CatalogParts},
    fleet::Target,
    forward::{
        Dispatch, EngineState, Engines, Error, ForwardSettings, HeaderCodec, OrderReply,
        ReplyMetadata, RequestMetadata, Router,
    },
    futures::{FutureExt, future::BoxFuture},
    reconcile::{
        Answer, InstanceRow, LeaderRow, Leadership, LeadershipSettings, Query, Relay, RelayHandler,
        RelayReply, RelayTree, SharedState, TreeVersion, follow_leader,
    },
    relay::RelayClient,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::AbortHandle},
    tracing_mutex::stdsync::Mutex,
    wire::hyper::{HeaderMap, StatusCode, header::HeaderName},
};

pub mod instance_group;

pub struct StubBackend;

impl HeaderCodec for StubBackend {
    fn id_header(&self) -> HeaderName {
        HeaderName::from_static("x-id")
    }

    fn parse_request(&self, _: &HeaderMap) -> RequestMetadata {
        RequestMetadata::default()
    }

    fn parse_reply(&self, _: StatusCode, _: &HeaderMap) -> ReplyMetadata {
        ReplyMetadata::default()
    }

    fn write_dispatch(&self, _: &mut HeaderMap, _: &Dispatch) {}
}

impl Engines for StubBackend {
    fn state(&self, _: SocketAddr) -> BoxFuture<'_, Result<EngineState, Error>> {
        async { Err(Error::Unknown("silent".into())) }.boxed()
    }

    fn place(
        &self,
        _: SocketAddr,
        _: layout::LayerRange,
        _: u64,
        _: u64,
    ) -> BoxFuture<'_, Result<OrderReply, Error>> {
        async { Ok(OrderReply::Conflict) }.boxed()
    }

    fn repath(&self, _: &str, _: &fleet::Path) -> BoxFuture<'_, Result<bool, Error>> {
        async { Ok(false) }.boxed()
    }
}

/// Instance without request handling.
pub struct Node {
    pub shared: Arc<SharedState>,
    pub leadership: Arc<Mutex<Leadership>>,
    pub router: Arc<Router>,
    pub row: InstanceRow,
}

pub fn node(id: &str, relay_address: SocketAddr) -> Node {
    let start: Arc<str> = format!("{id}.1").into();
    let leadership = Leadership::new(start.clone(), relay_address, LeadershipSettings::default());
    Node {
        shared: Arc::default(),
        leadership: Arc::new(Mutex::new(leadership)),
        router: Router::new(
            ForwardSettings::default(),
            Arc::new(StubBackend),
            Arc::new(StubBackend),
            1,
        ),
        row: InstanceRow {
            address: ([10, 0, 0, 1], 80).into(),
            capacity: 250,
            domain: "a".into(),
            id: id.into(),
            relay_address,
            start,
        },
    }
}

pub fn leader_row(node: &Node) -> LeaderRow {
    let version = TreeVersion {
        fence: 1,
        number: 0,
    };
    LeaderRow {
        fence: 1,
        holder: node.row.start.clone(),
        settled_era: 0,
        tree: Some(RelayTree::build(&node.row, &[], version)),
    }
}

pub fn target(id: &str) -> Target {
    Target {
        address: ([10, 0, 0, 2], 80).into(),
        domain: "a".into(),
        hardware: None,
        held: None,
        id: id.into(),
        is_leaving: false,
        service: "s".into(),
        incarnation: 0,
        slot_count: 1,
    }
}

pub fn publish(node: &Node, version: u64) {
    let catalog = Catalog::new(CatalogParts {
        version,
        ..CatalogParts::default()
    });
    {
        let mut latest = node.router.catalog();
        latest.offer(Arc::new(catalog));
        latest.confirm(version, clock::now());
    }
    node.shared
        .set_targets(clock::now(), vec![target(&format!("t{version}"))]);
}

/// Starts a leader with configuration version 1. Returns it with the task that serves its queries.
pub async fn leader() -> (Node, AbortHandle) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let node = node("x", listener.local_addr().expect("an address"));
    publish(&node, 1);
    make_leader(&node);
    let task = serve(&node, listener);
    (node, task)
}

pub fn make_leader(node: &Node) {
    let row = leader_row(node);
    let tree = row.tree.clone().expect("a tree");
    node.leadership
        .lock()
        .expect("the leadership")
        .record_write(clock::now(), row, 1);
    node.shared.set_tree(tree, node.row.relay_address);
}

pub fn serve(node: &Node, listener: TcpListener) -> AbortHandle {
    let handler = RelayHandler::new(
        node.router.clone(),
        node.row.clone(),
        node.shared.clone(),
        node.leadership.clone(),
    );
    let task = tokio::spawn(relay::serve(listener, Arc::new(handler)));
    task.abort_handle()
}

pub fn query(requester: &Node) -> Query {
    Query {
        avoided: Vec::new(),
        catalog_version: 0,
        crashes: Vec::new(),
        departures: Vec::new(),
        instances_digest: 0,
        is_leaving: false,
        loads: None,
        members: Vec::new(),
        revision: 0,
        row: requester.row.clone(),
        tree_version: TreeVersion::default(),
        wait: Duration::from_secs(5),
    }
}

pub fn follow(follower: &Node, leader: &Node) {
    let now = clock::now();
    let row = leader_row(leader);
    let tree = row.tree.clone().expect("a tree");
    follower.shared.set_tree(tree, follower.row.relay_address);
    follower.leadership.lock().expect("the leadership").observe(
        now,
        Some((row, 1)),
        Duration::ZERO,
    );
    tokio::spawn(follow_leader(
        follower.router.clone(),
        Arc::new(RelayClient::default()),
        follower.row.clone(),
        follower.shared.clone(),
        follower.leadership.clone(),
    ));
}

/// Answer to a query; panics on a redirect.
pub async fn answer(client: &RelayClient, address: SocketAddr, query: Query) -> Answer {
    match client.ask(address, query).await {
        Ok(RelayReply::Answer(answer)) => *answer,
        other => panic!("no answer: {other:?}"),
    }
}

pub async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..4_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the condition was not met within 20 s");
}

pub fn version(node: &Node) -> u64 {
    node.router.catalog().version()
}
