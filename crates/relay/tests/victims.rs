//! Guards against instances that each see one crash by a part of a prompt and never learn of the others'.

mod support;

use {
    futures::StreamExt,
    quarantine::{CrashPhase, PhasedVictimReport, VictimReport},
    ratelimit::{PermitQuery, PermitReply},
    reconcile::{
        Query, RelayReply, RelayTree, TreeVersion, VictimAnswer, VictimQuery, share_crash_victims,
    },
    relay::RelayClient,
    std::{sync::Arc, time::Duration},
    support::{Node, leader, node, serve, wait_until},
    tarpc::{
        context::{self, Context},
        server::{BaseChannel, Channel},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        runtime::Runtime,
        time::{sleep, timeout_at},
    },
    tracing_mutex::stdsync::Mutex,
};

/// Time within which all instances must know of a crash; the shortest one of the users.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

fn report(crash: &str, is_cleared: bool) -> VictimReport {
    VictimReport {
        account: 1,
        age_ms: 0,
        crash: crash.into(),
        is_request_cleared: false,
        parts: vec![(2, is_cleared)],
        request: 3,
    }
}

fn record(node: &Node, report: VictimReport) {
    node.router.prompt_parts().merge(clock::now(), &[report]);
}

fn crashes(node: &Node) -> Vec<(String, bool)> {
    let (_, reports) = node.router.prompt_parts().reports(clock::now());
    let crash = |report: VictimReport| (report.crash.to_string(), report.parts[0].1);
    reports.into_iter().map(crash).collect()
}

/// Makes an instance exchange crash victims along `tree`.
fn share(node: &Node, tree: &RelayTree) {
    node.shared.set_tree(tree.clone(), node.row.relay_address);
    tokio::spawn(share_crash_victims(
        node.router.clone(),
        Arc::new(RelayClient::default()),
        node.row.clone(),
        node.shared.clone(),
        node.leadership.clone(),
    ));
}

/// Instances that `leader` and stand-ins of its tree serve.
fn followers(leader: &Node, stand_ins: &[&Node]) -> [Node; 3] {
    let nodes = ["a", "b", "c"].map(|id| node(id, ([127, 0, 0, 1], 1).into()));
    let rows: Vec<_> = stand_ins.iter().map(|node| &node.row).collect();
    let version = TreeVersion {
        fence: 1,
        number: 1,
    };
    let tree = RelayTree::build(&leader.row, &rows, version);
    for node in nodes.iter().chain(stand_ins.iter().copied()) {
        share(node, &tree);
    }
    nodes
}

/// Waits until the instances know the same crashes, at most for the time that the users allow.
async fn wait_for_crashes(nodes: &[&Node], expected: &[(&str, bool)]) {
    let started_at = clock::now();
    let expected: Vec<(String, bool)> = expected
        .iter()
        .map(|(crash, is_cleared)| ((*crash).into(), *is_cleared))
        .collect();
    while nodes.iter().any(|node| crashes(node) != expected) {
        let waited = clock::now().saturating_sub(started_at);
        assert!(waited < STABLE_WINDOW, "not known after {waited:?}");
        sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn crash_and_its_clearing_reach_all_instances() {
    let (leader, _task) = leader().await;
    let [a, b, c] = followers(&leader, &[]);
    record(&a, report("t1#1", false));
    record(&b, report("t2#1", false));
    let all = [&leader, &a, &b, &c];
    wait_for_crashes(&all, &[("t1#1", false), ("t2#1", false)]).await;
    record(&c, report("t1#1", true));
    wait_for_crashes(&all, &[("t1#1", true), ("t2#1", false)]).await;
    record(&leader, report("t3#1", false));
    let expected = [("t1#1", true), ("t2#1", false), ("t3#1", false)];
    wait_for_crashes(&all, &expected).await;
}

#[tokio::test]
async fn crash_reaches_all_instances_while_the_leader_is_lost() {
    let lost = node("x", ([127, 0, 0, 2], 1).into());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut stand_in = node("s", listener.local_addr().expect("an address"));
    stand_in.row.capacity = 500;
    let _task = serve(&stand_in, listener);
    let [a, b, c] = followers(&lost, &[&stand_in]);
    record(&a, report("t1#1", false));
    wait_for_crashes(&[&stand_in, &a, &b, &c], &[("t1#1", false)]).await;
}

/// Guards against a leader that has restarted without the crashes that it knew before.
#[tokio::test]
async fn restarted_leader_learns_the_crashes_from_its_followers() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("a socket");
    let address = listener.local_addr().expect("an address");
    let first = node("x", address);
    // Ends all connections of the first process when it is shut down.
    let process = Runtime::new().expect("a runtime");
    {
        let _entered = process.enter();
        serve(&first, TcpListener::from_std(listener).expect("a socket"));
    }
    let [a, b, c] = followers(&first, &[]);
    record(&a, report("t1#1", false));
    wait_for_crashes(&[&first, &a, &b, &c], &[("t1#1", false)]).await;
    process.shutdown_background();
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(_) => sleep(Duration::from_millis(5)).await,
        }
    };
    let restarted = node("x", address);
    let _task = serve(&restarted, listener);
    record(&b, report("t2#1", false));
    let all = [&restarted, &a, &b, &c];
    wait_for_crashes(&all, &[("t1#1", false), ("t2#1", false)]).await;
}

/// Guards against connections without end to an instance of an older version, which closes each of them.
#[tokio::test]
async fn instance_that_does_not_know_the_call_is_queried_seldom() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let older = node("x", listener.local_addr().expect("an address"));
    let _followers = followers(&older, &[]);
    let mut connection_count = 0;
    let ends_at = tokio::time::Instant::now() + Duration::from_secs(2);
    while let Ok(accepted) = timeout_at(ends_at, listener.accept()).await {
        drop(accepted.expect("a connection"));
        connection_count += 1;
    }
    // Three followers, each at most about once a second.
    assert!((3..=9).contains(&connection_count), "{connection_count}");
}

/// Call of an instance of an earlier version.
#[tarpc::service]
trait EarlierService {
    async fn ask(query: Query) -> Option<RelayReply>;
    async fn exchange_victims(query: VictimQuery) -> Option<VictimAnswer>;
    async fn take_permit(query: PermitQuery) -> PermitReply;
}

/// Instance of an earlier version, which knows one crash and records what it is told.
#[derive(Clone, Default)]
struct EarlierInstance {
    told: Arc<Mutex<Vec<VictimReport>>>,
}

impl EarlierService for EarlierInstance {
    async fn ask(self, _: Context, _: Query) -> Option<RelayReply> {
        None
    }

    async fn exchange_victims(self, _: Context, query: VictimQuery) -> Option<VictimAnswer> {
        self.told.lock().expect("the reports").extend(query.reports);
        sleep(query.wait).await;
        Some(VictimAnswer {
            digest: 1,
            reports: vec![report("t1#1", false)],
        })
    }

    async fn take_permit(self, _: Context, _: PermitQuery) -> PermitReply {
        unreachable!("no permit is asked for")
    }
}

fn phased(crash: &str, phase: CrashPhase) -> PhasedVictimReport {
    PhasedVictimReport {
        phase,
        victim: report(crash, false),
    }
}

fn behind_first_event() -> CrashPhase {
    CrashPhase::AfterFirstEvent(Duration::from_millis(20))
}

/// Guards against crashes outside of the short phase that only the instance that saw them knows.
#[tokio::test]
async fn crashes_in_all_phases_reach_all_instances() {
    let (leader, _task) = leader().await;
    let [a, b, c] = followers(&leader, &[]);
    let parts = a.router.prompt_parts();
    parts.merge_phased(clock::now(), &[phased("t1#1", behind_first_event())]);
    let parts = b.router.prompt_parts();
    parts.merge_phased(clock::now(), &[phased("t2#1", CrashPhase::BeforeHead)]);
    let knows_both = |node: &Node| {
        let (_, reports) = node.router.prompt_parts().phased_reports(clock::now());
        reports.len() == 2
    };
    wait_until(|| [&leader, &a, &b, &c].into_iter().all(knows_both)).await;
}

/// Guards against instances of this version that learn nothing from an instance of an earlier one, which closes the
/// connection on the unknown call, and against that instance refusing sound requests for crashes that it takes for
/// others.
#[tokio::test]
async fn instance_of_an_earlier_version_exchanges_the_crashes_that_it_knows() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let earlier = node("x", listener.local_addr().expect("an address"));
    let served = EarlierInstance::default();
    let service = served.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let transport = peer::transport(stream, 1_000_000);
            let requests = BaseChannel::with_defaults(transport).execute(service.clone().serve());
            tokio::spawn(requests.for_each_concurrent(None, |request| request));
        }
    });
    let [a, b, c] = followers(&earlier, &[]);
    let parts = a.router.prompt_parts();
    parts.merge_phased(clock::now(), &[phased("t2#1", behind_first_event())]);
    record(&a, report("t3#1", false));
    wait_for_crashes(&[&b, &c], &[("t1#1", false)]).await;
    wait_for_crashes(&[&a], &[("t1#1", false), ("t3#1", false)]).await;
    let told = || {
        let told = served.told.lock().expect("the reports");
        let crashes = told.iter().map(|report| report.crash.to_string());
        crashes.collect::<std::collections::BTreeSet<String>>()
    };
    wait_until(|| told().contains("t3#1")).await;
    assert!(!told().contains("t2#1"));
}

/// Guards against an instance of an earlier version that gets no answer from one of this version, or one with crashes
/// that it would take for others.
#[tokio::test]
async fn instance_of_an_earlier_version_is_answered() {
    let (leader, _task) = leader().await;
    record(&leader, report("t1#1", false));
    let parts = leader.router.prompt_parts();
    parts.merge_phased(clock::now(), &[phased("t2#1", behind_first_event())]);
    let stream = TcpStream::connect(leader.row.relay_address).await;
    let transport = peer::transport(stream.expect("a connection"), 1_000_000);
    let client = EarlierServiceClient::new(tarpc::client::Config::default(), transport).spawn();
    let query = VictimQuery {
        digest: 0,
        reports: vec![report("t4#1", false)],
        wait: Duration::ZERO,
    };
    let answer = client.exchange_victims(context::current(), query).await;
    let answer = answer.expect("an answer").expect("an answer");
    let crashes: Vec<&str> = answer.reports.iter().map(|report| &*report.crash).collect();
    assert_eq!(crashes, ["t1#1", "t4#1"]);
}
