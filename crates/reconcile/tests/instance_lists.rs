//! Guards against lists of instances that name lost instances or leave out live ones. Plays the exchange of lists in
//! virtual time, with relays, delays, lost messages, and leaders that are lost in series.

mod support;

use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    reconcile::{
        InstanceRow, InstanceSigns, Membership, ReceivedInstances, RelayTree, SignAge, TreeRole,
        TreeVersion,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    support::row,
    yare::parameterized,
};

/// Time after the loss of an instance from which no list may name it.
const FORGET_TIME: Duration = Duration::from_secs(6);
/// Time after the start from which lists are checked.
const START_TIME: Duration = Duration::from_secs(6);
/// Time between checks of all lists.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(50);
/// Time without a renewal after which another instance may lead.
const LEASE: Duration = Duration::from_secs(3);
/// Time between reads of the leader's row by an instance that follows no other one.
const SEARCH_INTERVAL: Duration = Duration::from_millis(300);
const FOLLOWER_INTERVAL: Duration = Duration::from_millis(400);
const RELAY_INTERVAL: Duration = Duration::from_millis(200);
const REPORT_INTERVAL: Duration = Duration::from_millis(800);
/// Time until an instance that does not answer is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which an instance that did not answer is queried last.
const AVOID_TIME: Duration = Duration::from_secs(3);
const ASK_INTERVAL: Duration = Duration::from_millis(250);
const ASKED_COUNT: usize = 4;

struct Node {
    asked_at: Duration,
    avoided: Vec<(SocketAddr, Duration)>,
    lost_at: Option<Duration>,
    members: Membership,
    next_query_at: Duration,
    reported_at: Duration,
    row: InstanceRow,
    tree: Option<RelayTree>,
}

struct World {
    leader: usize,
    /// Longest delay of a message, in milliseconds.
    max_delay_ms: u64,
    nodes: Vec<Node>,
    now: Duration,
    random: SmallRng,
    /// Row of the leader in the store.
    stored: RelayTree,
}

impl World {
    fn new(count: usize, seed: u64, max_delay_ms: u64) -> Self {
        let mut nodes = Vec::new();
        for number in 0..count {
            let domain = ["a", "b", "c"][number % 3];
            nodes.push(Node {
                asked_at: Duration::ZERO,
                avoided: Vec::new(),
                lost_at: None,
                members: Membership::default(),
                next_query_at: Duration::from_millis(number as u64 % 300),
                reported_at: Duration::ZERO,
                row: row(&format!("i{number:03}"), domain, 150),
                tree: None,
            });
        }
        let version = TreeVersion {
            fence: 1,
            number: 0,
        };
        let stored = RelayTree::build(&nodes[0].row, &[], version);
        Self {
            leader: 0,
            max_delay_ms,
            nodes,
            now: Duration::from_secs(60),
            random: SmallRng::seed_from_u64(seed),
            stored,
        }
    }

    fn position(&self, address: SocketAddr) -> Option<usize> {
        let is_there = |node: &Node| node.row.relay_address == address;
        self.nodes.iter().position(is_there)
    }

    fn is_live(&self, number: usize) -> bool {
        self.nodes[number].lost_at.is_none()
    }

    fn delay(&mut self) -> Duration {
        Duration::from_millis(self.random.random_range(0..=self.max_delay_ms))
    }

    /// Rebuilds the tree of the leader, or lets a live instance lead once the lease has expired.
    fn lead(&mut self) {
        let lost_at = self.nodes[self.leader].lost_at;
        let is_free = lost_at.is_some_and(|at| self.now > at + LEASE);
        if is_free {
            let stand_ins = self.stored.stand_ins.iter();
            let stand_ins: Vec<SocketAddr> = stand_ins.copied().collect();
            let mut candidates = stand_ins.into_iter().filter_map(|one| self.position(one));
            let next = candidates.find(|number| self.is_live(*number));
            let first_live = (0..self.nodes.len()).find(|number| self.is_live(*number));
            self.leader = next.or(first_live).expect("a live instance");
        }
        if !self.is_live(self.leader) {
            return;
        }
        let leader = &mut self.nodes[self.leader];
        let version = match is_free {
            true => TreeVersion {
                fence: self.stored.version.fence + 1,
                number: 0,
            },
            false => TreeVersion {
                number: self.stored.version.number + 1,
                ..self.stored.version
            },
        };
        let tree = RelayTree::build(&leader.row, &leader.members.live_rows(self.now), version);
        if is_free || !tree.has_same_members(&self.stored) {
            self.stored = tree;
        }
        leader.tree = Some(self.stored.clone());
    }

    /// Sends the query of an instance to the first source that answers.
    fn follow(&mut self, number: usize) {
        if self.now < self.nodes[number].next_query_at || number == self.leader {
            return;
        }
        let node = &mut self.nodes[number];
        node.avoided.retain(|(_, until)| self.now < *until);
        let tree = node.tree.clone().unwrap_or_else(|| self.stored.clone());
        let interval = match tree.role_of(node.row.relay_address) {
            TreeRole::Follower => FOLLOWER_INTERVAL,
            _ => RELAY_INTERVAL,
        };
        let mut sources = tree.sources(&node.row);
        let avoided: Vec<SocketAddr> = node.avoided.iter().map(|(one, _)| *one).collect();
        sources.sort_by_key(|one| avoided.contains(one));
        let Some(source) = sources.first().and_then(|one| self.position(*one)) else {
            self.search(number);
            return;
        };
        let is_lost_message = self.random.random_bool(0.02);
        if !self.is_live(source) || is_lost_message || avoided.len() == sources.len() {
            let address = self.nodes[source].row.relay_address;
            let node = &mut self.nodes[number];
            node.avoided.push((address, self.now + AVOID_TIME));
            node.next_query_at = self.now + ANSWER_TIMEOUT;
            self.search(number);
            return;
        }
        let now = self.now;
        let node = &mut self.nodes[number];
        node.next_query_at = now + interval;
        let is_report_due = now >= node.reported_at + REPORT_INTERVAL;
        let reports = is_report_due.then(|| node.members.reports(now));
        if is_report_due {
            node.reported_at = now;
        }
        self.exchange(number, source, reports.unwrap_or_default());
    }

    /// Reads the leader's row, as an instance that no other one answers does.
    fn search(&mut self, number: usize) {
        let stored = self.stored.clone();
        let node = &mut self.nodes[number];
        node.next_query_at = node.next_query_at.max(self.now + SEARCH_INTERVAL);
        let known = node.tree.as_ref().map(|tree| tree.version);
        if known.is_none_or(|known| known < stored.version) {
            node.avoided.clear();
            node.tree = Some(stored);
        }
    }

    /// Asks `source` for its list, and reports to it.
    fn exchange(&mut self, number: usize, source: usize, reports: Vec<reconcile::MemberReport>) {
        let (now, received_at) = (self.now, self.now + self.delay());
        let row = self.nodes[number].row.clone();
        let responder = &mut self.nodes[source];
        responder.members.record_contact(received_at, row.clone());
        responder.members.apply_reports(received_at, reports);
        let mut instances = responder.members.live(received_at);
        instances.retain(|instance| instance.id != responder.row.id);
        instances.push(responder.row.instance());
        let ages = instances.iter().map(|instance| {
            let silence = responder.members.silence(received_at, &instance.id);
            match instance.id == responder.row.id {
                true => SignAge::ZERO,
                false => silence.map_or(SignAge::MAX, SignAge::from),
            }
        });
        let signs = InstanceSigns {
            ages: ages.collect(),
            departures: responder.members.recent_departures(received_at),
        };
        let tree = responder.tree.clone();
        let list = ReceivedInstances {
            age: Duration::ZERO,
            answered_at: now,
            instances,
            signs: Some(signs),
        };
        let node = &mut self.nodes[number];
        node.members.merge_received(&row.id, list);
        let known = node.tree.as_ref().map(|tree| tree.version);
        if let Some(tree) = tree.filter(|tree| known.is_none_or(|known| known < tree.version)) {
            node.tree = Some(tree);
        }
    }

    /// Asks silent instances for a sign of activity.
    fn ask_silent(&mut self, number: usize) {
        if self.now < self.nodes[number].asked_at + ASK_INTERVAL {
            return;
        }
        self.nodes[number].asked_at = self.now;
        let silent = self.nodes[number].members.silent(self.now);
        for _ in 0..ASKED_COUNT.min(silent.len()) {
            let asked = &silent[self.random.random_range(0..silent.len())];
            let mut others = self.nodes.iter();
            let position = others.position(|node| node.row.id == asked.id);
            let position = position.expect("an instance of this world");
            if self.is_live(position) {
                self.exchange(number, position, Vec::new());
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.lead();
        for number in 0..self.nodes.len() {
            if self.is_live(number) {
                self.follow(number);
                self.ask_silent(number);
            }
        }
    }

    fn check(&self, from: Duration) {
        let is_due = self
            .now
            .as_millis()
            .is_multiple_of(CHECK_INTERVAL.as_millis());
        if self.now < from || !is_due {
            return;
        }
        let is_forgotten = |node: &Node| node.lost_at.is_some_and(|at| self.now > at + FORGET_TIME);
        let lost: Vec<&Node> = self.nodes.iter().filter(|one| is_forgotten(one)).collect();
        let live: Vec<&Node> = self
            .nodes
            .iter()
            .filter(|one| one.lost_at.is_none())
            .collect();
        for node in &live {
            let listed = node.members.live(self.now);
            let has = |id: &Arc<str>| listed.binary_search_by(|one| one.id.cmp(id)).is_ok();
            for other in &lost {
                assert!(
                    !has(&other.row.id),
                    "{} names {}",
                    node.row.id,
                    other.row.id
                );
            }
            for other in &live {
                let is_own = other.row.id == node.row.id;
                let after = self.now.saturating_sub(from);
                assert!(
                    is_own || has(&other.row.id),
                    "{} leaves out {} {after:?} after the start of the checks",
                    node.row.id,
                    other.row.id
                );
            }
        }
    }
}

#[parameterized(
    few = { 8, 40, 60, 30 },
    few_on_slow_links = { 8, 40, 300, 30 },
    tens = { 30, 12, 150, 30 },
    hundreds = { 300, 1, 150, 20 },
)]
fn lists_name_live_instances_and_forget_lost_ones(
    count: usize,
    seed_count: u64,
    max_delay_ms: u64,
    length_s: u64,
) {
    for seed in 0..seed_count {
        println!("seed {seed}");
        let mut world = World::new(count, seed, max_delay_ms);
        let from = world.now + START_TIME;
        let end = world.now + Duration::from_secs(length_s);
        let mut next_loss_at = from + Duration::from_secs(1);
        let mut loss_count = 0;
        while world.now < end {
            world.step();
            world.check(from);
            if world.now < next_loss_at || loss_count > 4 {
                continue;
            }
            // The first one is any instance, the others are those that are followed.
            let number = match (loss_count, world.is_live(world.leader)) {
                (1.., true) => world.leader,
                (1.., false) => {
                    let stand_ins = world.stored.stand_ins.iter();
                    let mut stand_ins = stand_ins.filter_map(|one| world.position(*one));
                    let next = stand_ins.find(|one| world.is_live(*one));
                    next.unwrap_or(world.leader)
                }
                _ => world.random.random_range(0..count),
            };
            let now = world.now;
            world.nodes[number].lost_at.get_or_insert(now);
            loss_count += 1;
            let distance_ms = world.random.random_range(300..=3_500);
            next_loss_at = now + Duration::from_millis(distance_ms);
        }
    }
}
