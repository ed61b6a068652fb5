//! Instances that exchange queries in one process, and can be lost.

use {
    super::{Node, node, publish},
    forward::Error,
    futures::{FutureExt, future::BoxFuture},
    reconcile::{
        LeaderRow, LeaderTable, LeaderView, PhasedVictimAnswer, PhasedVictimQuery, Query, Relay,
        RelayHandler, RelayReply, VictimAnswer, VictimQuery, ask_silent_instances,
        follow_instances, follow_leader, observe_time, run_leadership,
    },
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{sleep, timeout},
    },
    tracing_mutex::stdsync::{Mutex, MutexGuard},
};

/// Time between an instance's reads of the stores while it follows no other instance.
const READ_INTERVAL: Duration = Duration::from_millis(200);
/// Time for an answer, in addition to the wait that the query requests.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Instance that answers queries.
struct Responder {
    handler: Arc<RelayHandler>,
    version: Version,
}

/// Version of the program that an instance runs.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Version {
    Current,
    /// Sends lists of instances without times of last activity.
    Earlier,
}

type Responders = HashMap<SocketAddr, Responder>;

/// Passes queries to the instances that run. One that is lost does not answer.
#[derive(Clone, Default)]
struct Network(Arc<Mutex<Responders>>);

impl Network {
    fn responders(&self) -> MutexGuard<'_, Responders> {
        self.0.lock().expect("the responders")
    }
}

impl Relay for Network {
    fn ask(
        &self,
        address: SocketAddr,
        mut query: Query,
    ) -> BoxFuture<'_, Result<RelayReply, Error>> {
        async move {
            let limit = query.wait + ANSWER_TIMEOUT;
            let silent = || Error::Unknown("no answer".into());
            let responder = {
                let responders = self.responders();
                let responder = responders.get(&address);
                responder.map(|one| (one.handler.clone(), one.version))
            };
            let Some((handler, version)) = responder else {
                sleep(limit).await;
                return Err(silent());
            };
            if version == Version::Earlier {
                // It does not know the entry by which the requester accepts dated answers.
                query.avoided.clear();
            }
            let reply = timeout(limit, handler.answer(query)).await.ok().flatten();
            // The instance may have been lost while the query waited for a change.
            let reply = reply.filter(|_| self.responders().contains_key(&address));
            reply.ok_or_else(silent)
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
        async { Err(Error::Unknown("not served".into())) }.boxed()
    }
}

/// The leader's row with its version, and the time at which it was written.
type WrittenRow = Option<(LeaderRow, u64, Duration)>;

/// Table that all instances share.
#[derive(Clone, Default)]
struct SharedTable(Arc<Mutex<WrittenRow>>);

impl LeaderTable for SharedTable {
    fn read(&mut self) -> BoxFuture<'_, Result<LeaderView, Error>> {
        let written = self.0.lock().expect("the row").clone();
        let view = match written {
            None => LeaderView::default(),
            Some((row, version, at)) => LeaderView {
                age: clock::now().saturating_sub(at),
                era: 0,
                row: Some((row, version)),
            },
        };
        async move { Ok(view) }.boxed()
    }

    fn write(
        &mut self,
        row: LeaderRow,
        expected_version: u64,
    ) -> BoxFuture<'_, Result<Option<u64>, Error>> {
        let mut written = self.0.lock().expect("the row");
        let version = written.as_ref().map_or(0, |(_, version, _)| *version);
        let is_expected = version == expected_version;
        if is_expected {
            *written = Some((row, version + 1, clock::now()));
        }
        async move { Ok(is_expected.then_some(version + 1)) }.boxed()
    }
}

/// Instances with the parts that find a leader and exchange lists of instances.
#[derive(Default)]
pub struct InstanceGroup {
    network: Network,
    nodes: Vec<(Arc<Node>, JoinSet<()>)>,
    table: SharedTable,
}

impl InstanceGroup {
    /// Starts an instance.
    pub fn start(&mut self, id: &str, domain: &str, version: Version) {
        let number = u8::try_from(self.nodes.len() + 1).expect("few instances");
        let relay_address = ([127, 0, 0, number], 1).into();
        let mut node = node(id, relay_address);
        node.row.address = ([127, 0, 0, number], 80).into();
        node.row.domain = domain.into();
        let handler = RelayHandler::new(
            node.router.clone(),
            node.row.clone(),
            node.shared.clone(),
            node.leadership.clone(),
        );
        let handler = Arc::new(handler);
        let responder = Responder { handler, version };
        self.network.responders().insert(relay_address, responder);
        let node = Arc::new(node);
        let mut tasks = JoinSet::new();
        tasks.spawn(observe_time(node.shared.clone()));
        tasks.spawn(read_stores(node.clone()));
        tasks.spawn(follow_instances(
            node.router.clone(),
            node.row.clone(),
            node.shared.clone(),
            node.leadership.clone(),
        ));
        tasks.spawn(ask_silent_instances(
            node.router.clone(),
            Arc::new(self.network.clone()),
            node.row.clone(),
            node.shared.clone(),
        ));
        tasks.spawn(run_leadership(
            node.router.clone(),
            Box::new(self.table.clone()),
            node.row.clone(),
            node.shared.clone(),
            node.leadership.clone(),
        ));
        tasks.spawn(follow_leader(
            node.router.clone(),
            Arc::new(self.network.clone()),
            node.row.clone(),
            node.shared.clone(),
            node.leadership.clone(),
        ));
        self.nodes.push((node, tasks));
    }

    /// Instances that run.
    pub fn nodes(&self) -> Vec<Arc<Node>> {
        self.nodes.iter().map(|(node, _)| node.clone()).collect()
    }

    /// Instance that holds the leadership, or else one that reads the stores itself.
    pub fn source(&self) -> Arc<str> {
        let now = clock::now();
        let is_leading = |node: &&Arc<Node>| {
            let leadership = node.leadership.lock().expect("the leadership");
            leadership.fence(now).is_some()
        };
        let nodes = self.nodes();
        let leader = nodes.iter().find(is_leading);
        let reads = |node: &&Arc<Node>| !node.shared.uses_relayed_state(now);
        let source = leader.or_else(|| nodes.iter().find(reads));
        source
            .expect("an instance that reads the stores")
            .row
            .id
            .clone()
    }

    /// Ends an instance without a word.
    pub fn lose(&mut self, id: &str) {
        let position = self.nodes.iter().position(|(node, _)| &*node.row.id == id);
        let (node, mut tasks) = self.nodes.remove(position.expect("a running instance"));
        self.network.responders().remove(&node.row.relay_address);
        tasks.abort_all();
    }
}

/// Confirms configuration and targets while the instance follows no other one.
async fn read_stores(node: Arc<Node>) {
    loop {
        if !node.shared.uses_relayed_state(clock::now()) {
            publish(&node, 1);
        }
        sleep(READ_INTERVAL).await;
    }
}
