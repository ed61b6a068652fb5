//! Whole instances, targets and a table in virtual time, under faults that a seed draws.
#![allow(dead_code, reason = "each test file uses a part of the fleet")]

mod backend;
pub mod check;
mod deliver;
pub mod fault;
pub mod naive;

use {
    crate::{
        support::table::Table,
        world::builder::{address, service, targets},
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

pub use {backend::Work, check::Facts, fault::Act};

pub const ENTRY_COUNT: usize = 4;

/// What drives an instance: the shipped decisions or the naive ones.
pub trait Decide: Send {
    fn handle(&mut self, now: Duration, event: Event) -> Vec<Command>;
    fn lists(&self) -> &OperatorLists;
    /// The shipped decisions; none for the naive ones, which answer no peers and check no tokens.
    fn node(&self) -> Option<&Node>;
}

impl Decide for Node {
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

pub type Make = fn(Identity, u64, SystemTime) -> Box<dyn Decide>;

pub fn shipped(identity: Identity, seed: u64, wall: SystemTime) -> Box<dyn Decide> {
    let settings = NodeSettings {
        seed,
        ..NodeSettings::default()
    };
    Box::new(Node::new(settings, identity, wall))
}

pub struct Entry {
    pub decide: Option<Box<dyn Decide>>,
    /// Items that came while it was paused.
    held: Vec<Item>,
    pub incarnation: u64,
    pub is_paused: bool,
    /// When it last started or resumed.
    pub since: Duration,
    started: Duration,
}

#[derive(Clone, Debug)]
pub enum Item {
    Act(Act),
    Arrive(Work),
    Ask(usize, CallQuery, RequestId),
    End(Work),
    Event(Event),
    Fetch(usize, u64),
    Land(StoreRequest),
    Reply(u64, StoreRequest),
    Tick,
    Token(Work, u32),
}

/// Item with the instance and the incarnation that it belongs to.
type Queued = (usize, u64, Item);

pub struct Fleet {
    pub assemblies: BTreeMap<RequestId, (usize, u64, Assembly)>,
    pub backends: BTreeMap<TargetId, backend::Backend>,
    pub cuts: BTreeSet<(usize, usize)>,
    pub entries: Vec<Entry>,
    pub facts: Facts,
    /// Chance in percent that a message between instances is lost, doubled or delayed.
    pub is_lossy: bool,
    pub lag: Duration,
    listings: Vec<(Duration, Vec<Listing>)>,
    pub lost_replies: bool,
    make: Make,
    pub now: Duration,
    number: u64,
    queue: BTreeMap<(Duration, u64), Queued>,
    pub random: ChaCha8Rng,
    pub table: Table,
    pub table_cuts: BTreeSet<usize>,
    pub table_down: bool,
    pub work: Vec<Work>,
}

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

impl Fleet {
    pub fn new(seed: u64, make: Make) -> Self {
        let mut fleet = Self {
            assemblies: BTreeMap::new(),
            backends: backend::backends(),
            cuts: BTreeSet::new(),
            entries: Vec::new(),
            facts: Facts::default(),
            is_lossy: false,
            lag: Duration::ZERO,
            listings: Vec::new(),
            lost_replies: false,
            make,
            now: Duration::ZERO,
            number: 0,
            queue: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            table: Table::default(),
            table_cuts: BTreeSet::new(),
            table_down: false,
            work: Vec::new(),
        };
        for index in 0..ENTRY_COUNT {
            fleet.entries.push(Entry {
                decide: None,
                held: Vec::new(),
                incarnation: 0,
                is_paused: false,
                since: Duration::ZERO,
                started: Duration::ZERO,
            });
            fleet.start(index);
        }
        fleet
    }

    fn event(&mut self, index: usize, delay: u64, event: Event) {
        self.push(index, ms(delay), Item::Event(event));
    }

    pub fn pick(&mut self, count: usize) -> usize {
        self.random.random_range(0..count)
    }

    /// Starts a process, with an empty memory and a new incarnation.
    pub fn start(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        entry.incarnation += 1;
        entry.is_paused = false;
        entry.held.clear();
        (entry.since, entry.started) = (now, now);
        let identity = Identity {
            address: address(index),
            failure_domain: format!("d{}", index % 3).into(),
            incarnation: entry.incarnation,
            instance: format!("n{index}").into(),
            peer_address: address(200 + index),
            region: "r".into(),
        };
        let seed = index as u64 * 100 + entry.incarnation;
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000) + now;
        entry.decide = Some((self.make)(identity, seed, wall));
        self.list();
        self.push(index, ms(index as u64), Item::Tick);
    }

    /// Ends a process; its callers lose their connections.
    pub fn stop(&mut self, index: usize) {
        self.entries[index].decide = None;
        self.assemblies.retain(|_, held| held.0 != index);
        self.work
            .retain(|work| work.node != index || work.key.is_some());
        self.facts.instance_lost(index);
        self.list();
    }

    pub fn resume(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.is_paused = false;
        entry.since = self.now;
        for item in std::mem::take(&mut entry.held) {
            self.push(index, ms(1), item);
        }
    }

    /// Adds the present list of instances to the history, from which a lagging list is read.
    pub fn list(&mut self) {
        let mut rows: Vec<Listing> = self
            .backends
            .values()
            .map(|one| one.listing.clone())
            .collect();
        for (index, entry) in self.entries.iter().enumerate() {
            if entry.decide.is_none() {
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
                entry.incarnation,
                role,
            ));
        }
        self.listings.push((self.now, rows));
    }

    pub fn push(&mut self, index: usize, delay: Duration, item: Item) {
        self.number += 1;
        let incarnation = self.entries[index].incarnation;
        self.queue
            .insert((self.now + delay, self.number), (index, incarnation, item));
    }

    pub fn run(&mut self, until: Duration) {
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 > until {
                break;
            }
            let ((at, _), (index, incarnation, item)) = first.remove_entry();
            self.now = at;
            self.take(index, incarnation, item);
        }
        self.now = until;
    }

    fn take(&mut self, index: usize, incarnation: u64, item: Item) {
        match item {
            Item::Act(act) => return self.act(act),
            Item::Arrive(work) => return self.arrive(work),
            Item::Land(request) => {
                self.table.run(&request);
                return;
            }
            _ => {}
        }
        let entry = &mut self.entries[index];
        if entry.decide.is_none() || entry.incarnation != incarnation {
            return;
        }
        if entry.is_paused {
            entry.held.push(item);
            return;
        }
        match item {
            Item::Ask(owner, query, request) => self.ask(index, owner, &query, request),
            Item::End(work) => self.end(work),
            Item::Event(event) => self.send(index, event),
            Item::Fetch(peer, after) => self.fetch(index, peer, after),
            Item::Reply(ticket, request) => self.table_request(index, ticket, &request),
            Item::Tick => {
                self.push(index, ms(50), Item::Tick);
                self.send(index, Event::Ticked);
            }
            Item::Token(work, token) => self.token(&work, token),
            Item::Act(_) | Item::Arrive(_) | Item::Land(_) => {}
        }
    }

    /// Hands an event to an instance and carries out its commands.
    pub fn send(&mut self, index: usize, event: Event) {
        let (now, entry) = (self.now, &mut self.entries[index]);
        let local = now - entry.started;
        if let Event::ListingRead { listings } = &event {
            self.facts.listing_read(now, listings);
        }
        let Some(decide) = &mut entry.decide else {
            return;
        };
        let commands = decide.handle(local, event);
        for command in commands {
            self.obey(index, command);
        }
        self.facts
            .configuration(now, index, local, &self.entries[index]);
    }
}
