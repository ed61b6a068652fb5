//! Guards against threads of one instance that wait for each other's locks, so that it answers nothing any more.
//! Builds with debug assertions panic as soon as two locks have been taken in both orders.

mod support;

use {
    fleet::Target,
    forward::{EngineState, Engines, Error, ForwardSettings, OrderReply, Router, probe_engines},
    futures::{
        FutureExt,
        future::{BoxFuture, join_all},
    },
    reconcile::{
        PhasedVictimAnswer, PhasedVictimQuery, Query, Relay, RelayHandler, RelayReply,
        VictimAnswer, VictimQuery, follow_leader,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
            mpsc,
        },
        thread,
        time::Duration,
    },
    support::{Node, StubBackend, leader_row, make_leader, node, publish, query, target},
    tokio::{runtime::Builder, time::timeout},
    types::CrashReport,
};

/// Time for which both threads work.
const RUN_TIME: Duration = Duration::from_secs(4);
/// Time after which a thread that has not ended counts as blocked.
const BLOCKED_AFTER: Duration = Duration::from_secs(20);
const ENGINE_COUNT: usize = 64;
const PROBE_LOOP_COUNT: usize = 40;
/// Suspects with many crashes, which make reports of them take long.
const SUSPECT_COUNT: u64 = 200;

/// Engines that answer at once and are so slow that each round of probes asks all of them.
struct SlowEngines {
    probe_count: Arc<AtomicUsize>,
}

impl Engines for SlowEngines {
    fn state(&self, _: SocketAddr) -> BoxFuture<'_, Result<EngineState, Error>> {
        self.probe_count.fetch_add(1, Ordering::Relaxed);
        let state = EngineState {
            slowness: 100.0,
            ..EngineState::default()
        };
        async { Ok(state) }.boxed()
    }

    fn place(
        &self,
        address: SocketAddr,
        range: layout::LayerRange,
        fence: u64,
        order_count: u64,
    ) -> BoxFuture<'_, Result<OrderReply, Error>> {
        StubBackend.place(address, range, fence, order_count)
    }

    fn repath(&self, _: &str, _: &fleet::Path) -> BoxFuture<'_, Result<bool, Error>> {
        async { Ok(false) }.boxed()
    }
}

/// Passes queries to the leader and to the follower itself, without a connection.
struct DirectRelay {
    answer_count: Arc<AtomicUsize>,
    follower: RelayHandler,
    leader: Node,
    leader_handler: RelayHandler,
}

impl Relay for DirectRelay {
    fn ask(&self, _: SocketAddr, mut own_query: Query) -> BoxFuture<'_, Result<RelayReply, Error>> {
        own_query.wait = Duration::ZERO;
        async move {
            make_leader(&self.leader);
            let leader = &self.leader;
            leader.shared.set_targets(clock::now(), engines());
            let mut query_of_child = query(leader);
            query_of_child.wait = Duration::ZERO;
            self.follower.answer(query_of_child).await;
            let reply = self.leader_handler.answer(own_query).await;
            self.answer_count.fetch_add(1, Ordering::Relaxed);
            tokio::task::yield_now().await;
            reply.ok_or_else(|| Error::Unknown("no state".into()))
        }
        .boxed()
    }

    fn exchange_phased_victims(
        &self,
        _: SocketAddr,
        _: PhasedVictimQuery,
    ) -> BoxFuture<'_, Result<PhasedVictimAnswer, Error>> {
        async { Err(Error::Unknown("not served".into())) }.boxed()
    }

    fn exchange_victims(
        &self,
        _: SocketAddr,
        _: VictimQuery,
    ) -> BoxFuture<'_, Result<VictimAnswer, Error>> {
        async { Err(Error::Unknown("not used".into())) }.boxed()
    }
}

fn handler(node: &Node) -> RelayHandler {
    RelayHandler::new(
        node.router.clone(),
        node.row.clone(),
        node.shared.clone(),
        node.leadership.clone(),
    )
}

fn engines() -> Vec<Target> {
    let engine = |index| Target {
        hardware: Some("h".into()),
        ..target(&format!("t{index}"))
    };
    (0..ENGINE_COUNT).map(engine).collect()
}

/// Follower of `leader` with engines and suspects.
fn follower(leader: &Node, slow_engines: SlowEngines) -> Node {
    let mut follower = node("f", ([127, 0, 0, 1], 2).into());
    follower.router = Router::new(
        ForwardSettings::default(),
        Arc::new(StubBackend),
        Arc::new(slow_engines),
        1,
    );
    let row = leader_row(leader);
    let tree = row.tree.expect("a tree");
    follower.shared.set_tree(tree, follower.row.relay_address);
    let targets = engines();
    follower.shared.set_targets(clock::now(), targets.clone());
    follower.router.set_targets(&targets);
    let mut fleet = follower.router.fleet();
    let keys = targets.iter().map(|one| fleet.key_of(&one.id, 0));
    for key in keys.collect::<Vec<_>>().into_iter().flatten() {
        fleet.record_state(clock::now(), key, None, 100.0);
    }
    drop(fleet);
    let reports: Vec<CrashReport> = (0..SUSPECT_COUNT)
        .map(|fingerprint| CrashReport {
            crashes: (0..50).map(|crash| format!("t{crash}#1").into()).collect(),
            fingerprint,
            remaining_ms: 60_000,
        })
        .collect();
    let peer = "p".into();
    let mut suspects = follower.router.suspects();
    suspects.merge_reports(clock::now(), &peer, &reports);
    drop(suspects);
    follower
}

/// Runs `work` for `RUN_TIME` in a thread of its own, and reports its end.
fn run_in_thread(work: impl Future<Output = ()> + Send + 'static, ended: mpsc::Sender<bool>) {
    thread::spawn(move || {
        let run = std::panic::AssertUnwindSafe(|| {
            let runtime = Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async {
                let _ = timeout(RUN_TIME, work).await;
            });
        });
        let is_sound = std::panic::catch_unwind(run).is_ok();
        let _ = ended.send(is_sound);
    });
}

/// The control thread reports suspects to the leader and to its own followers while the traffic thread probes
/// engines: the one held the suspects and waited for the fleet, the other held the fleet and waited for the
/// suspects.
#[test]
fn probes_and_queries_do_not_block_each_other() {
    let leader = node("x", ([127, 0, 0, 1], 1).into());
    publish(&leader, 1);
    make_leader(&leader);
    let probe_count = Arc::new(AtomicUsize::new(0));
    let engines = SlowEngines {
        probe_count: probe_count.clone(),
    };
    let follower = follower(&leader, engines);
    let router = follower.router.clone();
    let answer_count = Arc::new(AtomicUsize::new(0));
    let relay = DirectRelay {
        answer_count: answer_count.clone(),
        follower: handler(&follower),
        leader_handler: handler(&leader),
        leader,
    };
    let control = follow_leader(
        follower.router.clone(),
        Arc::new(relay),
        follower.row.clone(),
        follower.shared.clone(),
        follower.leadership,
    );
    let traffic = async move {
        let loops = (0..PROBE_LOOP_COUNT).map(|_| probe_engines(router.clone()));
        join_all(loops).await;
    };
    let (ended, ends) = mpsc::channel();
    run_in_thread(control, ended.clone());
    run_in_thread(traffic, ended);
    for _ in 0..2 {
        let is_sound = ends.recv_timeout(BLOCKED_AFTER);
        assert_eq!(
            is_sound,
            Ok(true),
            "a thread has panicked or waits for a lock"
        );
    }
    for (work, count) in [("queries", answer_count), ("probes", probe_count)] {
        assert!(count.load(Ordering::Relaxed) > 0, "no {work}");
    }
}
