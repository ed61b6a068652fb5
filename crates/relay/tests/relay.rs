//! Guards against instances that know less, or think that they know more, than the leader.

use {
    catalog::{Catalog, CatalogParts},
    fleet::Target,
    forward::{
        Dialect, Dispatch, EngineState, Engines, Error, ForwardSettings, OrderReply, ReplyFacts,
        RequestFacts, Router,
    },
    futures::{FutureExt, future::BoxFuture},
    rand::SeedableRng,
    reconcile::{
        Answer, InstanceRow, LeaderRow, Leadership, LeadershipSettings, Query, Relay, RelayHandler,
        RelayReply, RelayTree, SharedState, TargetChange, TreeVersion, follow_leader,
    },
    relay::RelayClient,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{net::TcpListener, task::AbortHandle},
    wire::hyper::{HeaderMap, StatusCode},
};

struct Silent;

impl Dialect for Silent {
    fn request(&self, _: &HeaderMap) -> RequestFacts {
        RequestFacts::default()
    }

    fn reply(&self, _: StatusCode, _: &HeaderMap) -> ReplyFacts {
        ReplyFacts::default()
    }

    fn dispatch(&self, _: &mut HeaderMap, _: &Dispatch) {}
}

impl Engines for Silent {
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

/// One instance, as far as it relays.
struct Node {
    shared: Arc<SharedState>,
    leadership: Arc<Mutex<Leadership>>,
    router: Arc<Router>,
    row: InstanceRow,
}

fn node(id: &str, relay_address: SocketAddr) -> Node {
    let start: Arc<str> = format!("{id}.1").into();
    let leadership = Leadership::new(start.clone(), relay_address, LeadershipSettings::default());
    Node {
        shared: Arc::default(),
        leadership: Arc::new(Mutex::new(leadership)),
        router: Router::new(
            ForwardSettings::default(),
            Arc::new(Silent),
            Arc::new(Silent),
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

fn leader_row(node: &Node) -> LeaderRow {
    let version = TreeVersion {
        fence: 1,
        number: 0,
    };
    LeaderRow {
        fence: 1,
        holder: node.row.start.clone(),
        tree: Some(RelayTree::form(&node.row, &[], version)),
    }
}

fn target(id: &str) -> Target {
    Target {
        address: ([10, 0, 0, 2], 80).into(),
        domain: "a".into(),
        hardware: None,
        held: None,
        id: id.into(),
        is_leaving: false,
        service: "s".into(),
        slot_count: 1,
    }
}

fn publish(node: &Node, version: u64) {
    let catalog = Catalog::new(CatalogParts {
        version,
        ..CatalogParts::default()
    });
    {
        let mut holder = node.router.catalog();
        holder.offer(Arc::new(catalog));
        holder.confirm(version, clock::now());
    }
    node.shared
        .set_targets(clock::now(), vec![target(&format!("t{version}"))]);
}

/// A leader that knows version 1, and the task that answers for it.
async fn leader() -> (Node, AbortHandle) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let node = node("x", listener.local_addr().expect("an address"));
    publish(&node, 1);
    lead(&node);
    let task = serve(&node, listener);
    (node, task)
}

fn lead(node: &Node) {
    let row = leader_row(node);
    let tree = row.tree.clone().expect("a tree");
    node.leadership
        .lock()
        .expect("the leadership")
        .written(clock::now(), row, 1);
    node.shared.set_tree(tree, node.row.relay_address);
}

fn serve(node: &Node, listener: TcpListener) -> AbortHandle {
    let handler = RelayHandler::new(
        node.router.clone(),
        node.row.clone(),
        node.shared.clone(),
        node.leadership.clone(),
    );
    let task = tokio::spawn(relay::serve(listener, Arc::new(handler)));
    task.abort_handle()
}

fn query(asking: &Node) -> Query {
    Query {
        avoided: Vec::new(),
        catalog_version: 0,
        crashes: Vec::new(),
        instances_digest: 0,
        is_leaving: false,
        loads: None,
        members: Vec::new(),
        revision: 0,
        row: asking.row.clone(),
        tree_version: TreeVersion::default(),
        wait: Duration::from_secs(5),
    }
}

fn follow(follower: &Node, leader: &Node) {
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

/// Answer of an instance that does not name others.
async fn answer(client: &RelayClient, address: SocketAddr, query: Query) -> Answer {
    match client.ask(address, query).await {
        Ok(RelayReply::Answer(answer)) => *answer,
        other => panic!("no answer: {other:?}"),
    }
}

async fn until(condition: impl Fn() -> bool) {
    for _ in 0..4_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("what is waited for does not come");
}

fn version(node: &Node) -> u64 {
    node.router.catalog().version()
}

#[tokio::test]
async fn follower_knows_what_the_leader_knows() {
    let (leader, _task) = leader().await;
    let follower = node("y", ([127, 0, 0, 1], 1).into());
    follow(&follower, &leader);
    until(|| version(&follower) == 1 && follower.shared.targets().len() == 1).await;
    assert!(follower.shared.is_relayed(clock::now()));
    publish(&leader, 2);
    leader.shared.wake();
    until(|| version(&follower) == 2).await;
    until(|| &*follower.shared.targets()[0].id == "t2").await;
    let live = leader
        .shared
        .with_membership(|membership| membership.live(clock::now()));
    assert!(
        live.iter().any(|instance| &*instance.id == "y"),
        "a caller is a living instance"
    );
}

#[tokio::test]
async fn relayed_configuration_is_no_fresher_than_the_leader_s() {
    let (leader, _task) = leader().await;
    let confirmed_at = leader.router.catalog().confirmed_at();
    let follower = node("y", ([127, 0, 0, 1], 1).into());
    follow(&follower, &leader);
    until(|| version(&follower) == 1).await;
    let relayed_at = follower.router.catalog().confirmed_at();
    assert!(
        relayed_at <= confirmed_at,
        "{relayed_at:?} after {confirmed_at:?}"
    );
}

#[tokio::test]
async fn instance_that_knows_nothing_answers_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let empty = node("x", listener.local_addr().expect("an address"));
    let _task = serve(&empty, listener);
    let asking = node("y", ([127, 0, 0, 1], 1).into());
    let answer = RelayClient::default()
        .ask(empty.row.relay_address, query(&asking))
        .await;
    assert!(matches!(answer, Err(Error::Refused(_))), "{answer:?}");
}

/// A leader that is asked to stop gives up the lead, but answers for the rest of its grace time. As long as
/// the others are current with its answers, nobody takes the lead over.
#[tokio::test]
async fn instance_that_is_leaving_answers_nothing() {
    let (leader, _task) = leader().await;
    leader.router.leave();
    let asking = node("y", ([127, 0, 0, 1], 1).into());
    let answer = RelayClient::default()
        .ask(leader.row.relay_address, query(&asking))
        .await;
    assert!(matches!(answer, Err(Error::Refused(_))), "{answer:?}");
}

/// A leader that the store turns away goes on answering. What it knows must not keep others from
/// reading the store themselves.
#[tokio::test]
async fn old_knowledge_is_passed_on_with_its_age() {
    let (leader, _task) = leader().await;
    let read_at = clock::now().saturating_sub(Duration::from_secs(2));
    leader.shared.set_targets(read_at, vec![target("t1")]);
    let follower = node("y", ([127, 0, 0, 1], 1).into());
    follow(&follower, &leader);
    until(|| follower.shared.targets().len() == 1).await;
    assert!(!follower.shared.is_relayed(clock::now()));
}

/// Without stand-ins, all instances read the store when the leader is lost: 84 of them sent 600 calls
/// in a second.
#[tokio::test]
async fn stand_in_serves_the_followers_of_a_lost_leader() {
    let (leader, task) = leader().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let stand_in = node("a", listener.local_addr().expect("an address"));
    let _stand_in_task = serve(&stand_in, listener);
    let follower = node("y", ([127, 0, 0, 1], 1).into());
    follow(&stand_in, &leader);
    until(|| version(&stand_in) == 1).await;
    follow(&follower, &leader);
    let sources = [&leader, &stand_in, &follower].map(|node| node.row.relay_address);
    until(|| {
        let tree = follower.shared.tree().expect("a tree");
        [vec![tree.leader], tree.stand_ins].concat() == sources
    })
    .await;
    task.abort();
    leader.leadership.lock().expect("the leadership").fenced();
    until(|| {
        // The stand-in reads the store again and again.
        publish(&stand_in, 2);
        version(&follower) == 2 && follower.shared.is_relayed(clock::now())
    })
    .await;
    assert_eq!(&*follower.shared.targets()[0].id, "t2");
}

/// A change is told by itself, not with the whole list, which costs a leader of 84 instances all of its
/// processor.
#[tokio::test]
async fn answers_hold_only_what_has_changed() {
    let (leader, _task) = leader().await;
    let asking = node("y", ([127, 0, 0, 1], 1).into());
    let client = RelayClient::default();
    let address = leader.row.relay_address;
    let first = answer(&client, address, query(&asking)).await;
    assert_eq!(first.targets, Some(TargetChange::All(vec![target("t1")])));
    let listing = vec![target("t1"), target("t2")];
    leader.shared.set_targets(clock::now(), listing);
    let next = Query {
        catalog_version: 1,
        revision: first.revision,
        ..query(&asking)
    };
    let next = answer(&client, address, next).await;
    let change = TargetChange::Some(vec![target("t2")], Vec::new());
    assert_eq!(next.targets, Some(change));
    assert!(next.catalog.is_none());
}

#[tokio::test]
async fn follower_of_a_lost_leader_reads_for_itself() {
    let (leader, task) = leader().await;
    let follower = node("y", ([127, 0, 0, 1], 1).into());
    follow(&follower, &leader);
    until(|| follower.shared.is_relayed(clock::now())).await;
    task.abort();
    until(|| !follower.shared.is_relayed(clock::now())).await;
    assert_eq!(version(&follower), 1, "what is known stays");
}

/// A leader that the store turns away goes on answering for a while with what it knows.
#[tokio::test]
async fn older_list_of_the_leader_does_not_replace_a_newer_one() {
    let (leader, _task) = leader().await;
    let follower = node("y", ([127, 0, 0, 1], 1).into());
    let read_at = clock::now() + Duration::from_secs(60);
    follower.shared.set_targets(read_at, vec![target("own")]);
    follow(&follower, &leader);
    until(|| version(&follower) == 1).await;
    assert_eq!(&*follower.shared.targets()[0].id, "own");
}

/// 294 instances asked one leader, which answered none of them in time.
#[tokio::test]
async fn leader_of_many_names_relays_and_hears_of_all_through_them() {
    let (leader, _task) = leader().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut relay = node("r", listener.local_addr().expect("an address"));
    relay.row.capacity = 500;
    let _relay_task = serve(&relay, listener);
    for number in 0..40 {
        let row = InstanceRow {
            capacity: 100,
            id: format!("z{number}").into(),
            relay_address: ([127, 0, 0, 2], 1_000 + number).into(),
            start: format!("z{number}.1").into(),
            ..leader.row.clone()
        };
        leader
            .shared
            .with_membership(|membership| membership.contacted(clock::now(), row));
    }
    follow(&relay, &leader);
    let follower = node("y", ([127, 0, 0, 1], 1).into());
    follow(&follower, &leader);
    // The leader reads the stores and renews its lead again and again.
    let until_relayed = async |condition: &dyn Fn() -> bool| {
        until(|| {
            lead(&leader);
            publish(&leader, 1);
            condition()
        })
        .await;
    };
    let now = clock::now;
    until_relayed(&|| follower.shared.is_relayed(now()) && follower.shared.distance(now()) == 2)
        .await;
    // Long enough for the question that the follower sent to the leader to be forgotten.
    let started_at = now();
    until_relayed(&|| now().saturating_sub(started_at) > Duration::from_secs(5)).await;
    let live = leader
        .shared
        .with_membership(|membership| membership.live(now()));
    assert!(
        live.iter().any(|instance| &*instance.id == "y"),
        "the relay tells of those that ask it"
    );
    publish(&leader, 2);
    leader.shared.wake();
    until(|| version(&follower) == 2).await;
}

/// A relay that is lost must not be named again to those that it does not answer.
#[tokio::test]
async fn leader_answers_those_whose_relays_do_not() {
    let (leader, _task) = leader().await;
    let now = clock::now();
    for number in 0..40 {
        let row = InstanceRow {
            id: format!("z{number:02}").into(),
            relay_address: ([127, 0, 0, 2], 1_000 + number).into(),
            start: format!("z{number:02}.1").into(),
            ..leader.row.clone()
        };
        leader
            .shared
            .with_membership(|membership| membership.contacted(now, row));
    }
    let asking = node("zz", ([127, 0, 0, 1], 1).into());
    let client = RelayClient::default();
    let address = leader.row.relay_address;
    // The tree that names relays is formed a moment after the first one.
    let tree = loop {
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert!(clock::now() < now + Duration::from_secs(20), "no relays");
        let asked = Query {
            wait: Duration::ZERO,
            ..query(&asking)
        };
        match client.ask(address, asked).await.expect("a reply") {
            RelayReply::Redirect(tree) => break tree,
            RelayReply::Answer(_) => {}
        }
    };
    let avoided = tree.relays_for(&asking.row);
    assert!(!avoided.is_empty());
    let asked = Query {
        avoided,
        ..query(&asking)
    };
    assert!(answer(&client, address, asked).await.catalog.is_some());
}

/// Seen on crra-kingston: while the store was down, instances asked the leader and all stand-ins, and told
/// each of them their loads. These passed them on, and engines seemed to be full.
#[tokio::test]
async fn loads_are_counted_once_while_nobody_is_current() {
    let (leader, _task) = leader().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let stand_in = node("a", listener.local_addr().expect("an address"));
    let _stand_in_task = serve(&stand_in, listener);
    let follower = node("y", ([127, 0, 0, 1], 1).into());
    let read_at = clock::now().saturating_sub(Duration::from_secs(60));
    for node in [&leader, &stand_in, &follower] {
        node.shared.set_targets(read_at, vec![target("t1")]);
    }
    let version = TreeVersion {
        fence: 1,
        number: 1,
    };
    let tree = RelayTree::form(&leader.row, &[&stand_in.row], version);
    for node in [&leader, &stand_in, &follower] {
        node.shared.set_tree(tree.clone(), node.row.relay_address);
    }
    follower.router.set_targets(&[target("t1")]);
    let path = {
        let fleet = follower.router.fleet();
        let demand = fleet::Demand::default();
        let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
        let path = fleet.choose_target(clock::now(), "s", &demand, &mut rng);
        path.expect("a target")
    };
    follower.router.fleet().begin(clock::now(), &path);
    follow(&stand_in, &leader);
    follow(&follower, &leader);
    let count = |node: &Node| -> u32 {
        let nobody = Arc::from("");
        let loads = node.shared.loads_without(clock::now(), &nobody, &[]);
        loads.iter().map(|load| load.in_flight_count).sum()
    };
    until(|| count(&leader) > 0).await;
    for _ in 0..60 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(count(&leader) <= 1, "{} for one request", count(&leader));
    }
}
