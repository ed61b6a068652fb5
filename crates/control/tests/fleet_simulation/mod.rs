//! Simulation of instances, targets and the store's table in virtual time, under faults that depend
//! on a seed.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

mod backend;
mod deliver;
pub mod fault_schedule;
pub mod invariant_checker;
pub mod naive_router;

use {
    crate::{
        node_simulation::builder::{address, service, targets},
        support::table::Table,
    },
    control::{Assembly, CallQuery, Command, Event, Identity, Node, NodeSettings, OwnerStatus},
    rand::Rng,
    rand_chacha::{ChaCha8Rng, rand_core::SeedableRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, SystemTime},
    },
    types::{
        AttemptFailure, CallOutcome, CallReply, EditAnswer, FailureKind, LayerRange, Listing,
        ListingRole, LoadReport, LoadedModel, OperatorLists, Refusal, RequestId, StoreFailure,
        StoreRequest, StreamRecord, TargetId, TokenRecord,
    },
};

pub use {backend::Work, fault_schedule::Action, invariant_checker::InvariantChecker};

pub const INSTANCE_COUNT: usize = 4;

/// Router of an instance: the production one or the naive one.
pub trait RequestRouter: Send {
    fn handle(&mut self, now: Duration, event: Event) -> Vec<Command>;
    fn lists(&self) -> &OperatorLists;
    /// The production router; `None` for the naive one, which answers no peers and checks no
    /// tokens.
    fn node(&self) -> Option<&Node>;
}

impl RequestRouter for Node {
    fn handle(&mut self, now: Duration, event: Event) -> Vec<Command> {
        Node::handle(self, now, event)
    }

    fn lists(&self) -> &OperatorLists {
        Node::lists(self)
    }

    fn node(&self) -> Option<&Node> {
        Some(self)
    }
}

pub type RouterFactory = fn(Identity, u64, SystemTime) -> Box<dyn RequestRouter>;

pub fn production_router(
    identity: Identity,
    seed: u64,
    wall: SystemTime,
) -> Box<dyn RequestRouter> {
    let settings = NodeSettings {
        seed,
        ..NodeSettings::default()
    };
    Box::new(Node::new(settings, identity, wall))
}

pub struct Instance {
    pub router: Option<Box<dyn RequestRouter>>,
    /// Tasks that came due while the instance was paused.
    deferred: Vec<Task>,
    pub incarnation: u64,
    pub is_paused: bool,
    /// Time at which it last started or resumed.
    pub running_since: Duration,
    started_at: Duration,
}

#[derive(Clone, Debug)]
pub enum Task {
    Action(Action),
    StartWork(Work),
    AskOwner(usize, CallQuery, RequestId),
    CompleteCall(Work),
    Event(Event),
    FetchChanges(usize, u64),
    ApplyWrite(StoreRequest),
    RunStoreRequest(u64, StoreRequest),
    Tick,
    Token(Work, u32),
}

/// Task with the instance and the incarnation that it belongs to.
type QueuedTask = (usize, u64, Task);

pub struct Simulation {
    pub assemblies: BTreeMap<RequestId, (usize, u64, Assembly)>,
    pub backends: BTreeMap<TargetId, backend::Backend>,
    pub cut_links: BTreeSet<(usize, usize)>,
    pub instances: Vec<Instance>,
    pub checker: InvariantChecker,
    /// Whether messages between instances may be lost, duplicated or delayed.
    pub is_lossy: bool,
    pub listing_lag: Duration,
    listings: Vec<(Duration, Vec<Listing>)>,
    pub loses_replies: bool,
    router_factory: RouterFactory,
    pub now: Duration,
    last_number: u64,
    queue: BTreeMap<(Duration, u64), QueuedTask>,
    pub random: ChaCha8Rng,
    pub table: Table,
    pub cut_off_from_table: BTreeSet<usize>,
    pub table_down: bool,
    pub work: Vec<Work>,
}

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

impl Simulation {
    pub fn new(seed: u64, router_factory: RouterFactory) -> Self {
        let mut simulation = Self {
            assemblies: BTreeMap::new(),
            backends: backend::backends(),
            cut_links: BTreeSet::new(),
            instances: Vec::new(),
            checker: InvariantChecker::default(),
            is_lossy: false,
            listing_lag: Duration::ZERO,
            listings: Vec::new(),
            loses_replies: false,
            router_factory,
            now: Duration::ZERO,
            last_number: 0,
            queue: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            table: Table::default(),
            cut_off_from_table: BTreeSet::new(),
            table_down: false,
            work: Vec::new(),
        };
        for index in 0..INSTANCE_COUNT {
            simulation.instances.push(Instance {
                router: None,
                deferred: Vec::new(),
                incarnation: 0,
                is_paused: false,
                running_since: Duration::ZERO,
                started_at: Duration::ZERO,
            });
            simulation.start(index);
        }
        simulation
    }

    fn push_event(&mut self, index: usize, delay: u64, event: Event) {
        self.push(index, ms(delay), Task::Event(event));
    }

    pub fn random_index(&mut self, count: usize) -> usize {
        self.random.random_range(0..count)
    }

    /// Starts the process of an instance, with a new incarnation and no state.
    pub fn start(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.instances[index];
        instance.incarnation += 1;
        instance.is_paused = false;
        instance.deferred.clear();
        (instance.running_since, instance.started_at) = (now, now);
        let identity = Identity {
            address: address(index),
            failure_domain: format!("d{}", index % 3).into(),
            incarnation: instance.incarnation,
            instance: format!("n{index}").into(),
            peer_address: address(200 + index),
            region: "r".into(),
        };
        let seed = index as u64 * 100 + instance.incarnation;
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000) + now;
        instance.router = Some((self.router_factory)(identity, seed, wall));
        self.record_listing();
        self.push(index, ms(index as u64), Task::Tick);
    }

    /// Stops the process of an instance; its callers lose their connections.
    pub fn stop(&mut self, index: usize) {
        self.instances[index].router = None;
        self.assemblies.retain(|_, assembly| assembly.0 != index);
        self.work
            .retain(|work| work.node != index || work.key.is_some());
        self.checker.record_lost_instance(index);
        self.record_listing();
    }

    pub fn resume(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.is_paused = false;
        instance.running_since = self.now;
        for task in std::mem::take(&mut instance.deferred) {
            self.push(index, ms(1), task);
        }
    }

    /// Adds the current list of targets and instances to the history. Instances that get an
    /// outdated list get it from there.
    pub fn record_listing(&mut self) {
        let mut rows: Vec<Listing> = self
            .backends
            .values()
            .map(|backend| backend.listing.clone())
            .collect();
        for (index, instance) in self.instances.iter().enumerate() {
            if instance.router.is_none() {
                continue;
            }
            let id = format!("n{index}");
            let role = ListingRole::Entry {
                peer_address: address(200 + index),
            };
            rows.push(backend::listing(
                &id,
                index,
                index % 3,
                instance.incarnation,
                role,
            ));
        }
        self.listings.push((self.now, rows));
    }

    pub fn push(&mut self, index: usize, delay: Duration, task: Task) {
        self.last_number += 1;
        let incarnation = self.instances[index].incarnation;
        self.queue.insert(
            (self.now + delay, self.last_number),
            (index, incarnation, task),
        );
    }

    pub fn run(&mut self, until: Duration) {
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 > until {
                break;
            }
            let ((at, _), (index, incarnation, task)) = first.remove_entry();
            self.now = at;
            self.run_task(index, incarnation, task);
        }
        self.now = until;
    }

    fn run_task(&mut self, index: usize, incarnation: u64, task: Task) {
        match task {
            Task::Action(action) => return self.apply_action(action),
            Task::StartWork(work) => return self.start_work(work),
            Task::ApplyWrite(request) => {
                self.table.run(&request);
                return;
            }
            _ => {}
        }
        let instance = &mut self.instances[index];
        if instance.router.is_none() || instance.incarnation != incarnation {
            return;
        }
        if instance.is_paused {
            instance.deferred.push(task);
            return;
        }
        match task {
            Task::AskOwner(owner, query, request) => self.ask_owner(index, owner, &query, request),
            Task::CompleteCall(work) => self.complete_call(work),
            Task::Event(event) => self.send(index, event),
            Task::FetchChanges(peer, after) => self.fetch_changes(index, peer, after),
            Task::RunStoreRequest(ticket, request) => self.table_request(index, ticket, &request),
            Task::Tick => {
                self.push(index, ms(50), Task::Tick);
                self.send(index, Event::Ticked);
            }
            Task::Token(work, token) => self.deliver_token(&work, token),
            Task::Action(_) | Task::StartWork(_) | Task::ApplyWrite(_) => {}
        }
    }

    /// Passes an event to an instance, executes the resulting commands, and checks the lists of the
    /// instance.
    pub fn send(&mut self, index: usize, event: Event) {
        let (now, instance) = (self.now, &mut self.instances[index]);
        let local = now - instance.started_at;
        if let Event::ListingRead { listings } = &event {
            self.checker.record_listing(now, listings);
        }
        let Some(router) = &mut instance.router else {
            return;
        };
        let commands = router.handle(local, event);
        for command in commands {
            self.execute(index, command);
        }
        self.checker
            .check_lists(now, index, local, &self.instances[index]);
    }
}
