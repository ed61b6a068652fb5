//! Guards against instances that together send more than a target's limit while they join, end, are cut off or
//! know different limits, and against limits that are not used although callers wait.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    ratelimit::{InstanceId, Permit, PermitQuery, PermitTable},
    std::{collections::VecDeque, time::Duration},
    yare::parameterized,
};

const STEP: Duration = Duration::from_millis(10);
/// Time after which other instances notice that one has ended or is cut off.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Longest time until a changed list of instances has reached all of them.
const MAX_LIST_DELAY_MS: u64 = 1_300;
/// Window over which a target counts its requests.
const WINDOW: Duration = Duration::from_secs(4);
const TARGET: &str = "engine";

struct SimulatedInstance {
    id: InstanceId,
    is_cut_off: bool,
    is_running: bool,
    known_limit: f64,
    table: PermitTable,
}

/// Instances that send requests to one target for which they have more callers than it allows.
struct Simulation {
    instances: Vec<SimulatedInstance>,
    /// Lists on their way: when, to which instance, and the members.
    lists: VecDeque<(Duration, usize, Vec<InstanceId>)>,
    now: Duration,
    rng: ChaCha8Rng,
    /// Times of the requests that the target received.
    sent: Vec<Duration>,
}

impl Simulation {
    /// Creates instances of which `running` run and know each other.
    fn new(total: usize, running: usize, seed: u64) -> Self {
        let mut instances = Vec::new();
        for number in 0..total {
            let id: InstanceId = format!("instance-{number}").into();
            instances.push(SimulatedInstance {
                table: PermitTable::new(id.clone()),
                id,
                is_cut_off: false,
                is_running: number < running,
                known_limit: 0.0,
            });
        }
        let mut simulation = Self {
            instances,
            lists: VecDeque::new(),
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sent: Vec::new(),
        };
        simulation.announce_members(Duration::ZERO);
        simulation.now = Duration::from_secs(60);
        simulation
    }

    /// Sends each running instance the list of those that it can reach, after `notice` and a random delay.
    fn announce_members(&mut self, notice: Duration) {
        let reachable = |is_cut_off: bool| -> Vec<InstanceId> {
            let members = self.instances.iter();
            let members = members.filter(|one| one.is_running && one.is_cut_off == is_cut_off);
            members.map(|one| one.id.clone()).collect()
        };
        let (connected, _) = (reachable(false), reachable(true));
        for index in 0..self.instances.len() {
            let instance = &self.instances[index];
            if !instance.is_running {
                continue;
            }
            let members = match instance.is_cut_off {
                false => connected.clone(),
                true => vec![instance.id.clone()],
            };
            let delay_ms = self.rng.random_range(0..MAX_LIST_DELAY_MS);
            let at = self.now + notice + Duration::from_millis(delay_ms);
            self.lists.push_back((at, index, members));
        }
    }

    fn set_limit(&mut self, limit: f64, known_to: impl Fn(usize) -> bool) {
        for (index, instance) in self.instances.iter_mut().enumerate() {
            if known_to(index) {
                instance.known_limit = limit;
            }
        }
    }

    /// Runs for a time in which `demand_per_s` requests arrive at the instances.
    fn run(&mut self, time: Duration, demand_per_s: f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver_lists();
            let mut expected = demand_per_s * STEP.as_secs_f64();
            while expected > 0.0 {
                if self.rng.random_range(0.0..1.0) < expected {
                    self.send_request();
                }
                expected -= 1.0;
            }
        }
    }

    fn deliver_lists(&mut self) {
        let now = self.now;
        let lists = std::mem::take(&mut self.lists);
        for (at, index, members) in lists {
            if at > now {
                self.lists.push_back((at, index, members));
                continue;
            }
            self.instances[index].table.members.set(at, members);
        }
    }

    /// One request at a random instance.
    fn send_request(&mut self) {
        let index = self.rng.random_range(0..self.instances.len());
        if !self.instances[index].is_running {
            return;
        }
        let limit = self.instances[index].known_limit;
        let query = PermitQuery {
            announcement_age: Duration::ZERO,
            incarnation: 1,
            max_wait: Duration::from_millis(50),
            rate_per_s: Some(limit),
            target: TARGET.into(),
            wants_permit: true,
        };
        let owner = self.instances[index].table.members.owner(TARGET).clone();
        let now = self.now;
        let permit = match self.owner_index(index, &owner) {
            None => None,
            Some(owner) => {
                let owner = &mut self.instances[owner];
                // The lower of both limits stands for the later one.
                let limit = owner.known_limit.min(limit);
                owner.table.take_owned(now, &query, limit)
            }
        };
        let permit = permit.unwrap_or_else(|| {
            let table = &mut self.instances[index].table;
            table.take_fallback(now, &query, limit)
        });
        if let Permit::Granted(wait) = permit {
            self.sent.push(now + wait);
        }
    }

    /// Index of the owner, if the requester reaches it.
    fn owner_index(&self, requester: usize, owner: &InstanceId) -> Option<usize> {
        let index = self.instances.iter().position(|one| one.id == *owner)?;
        if index == requester {
            return Some(index);
        }
        let is_cut_off = self.instances[requester].is_cut_off || self.instances[index].is_cut_off;
        (self.instances[index].is_running && !is_cut_off).then_some(index)
    }

    fn current_owner(&self) -> usize {
        let running = self
            .instances
            .iter()
            .find(|one| one.is_running && !one.is_cut_off);
        let owner = running.map(|one| one.table.members.owner(TARGET).clone());
        let position = self
            .instances
            .iter()
            .position(|one| Some(&one.id) == owner.as_ref());
        position.unwrap_or_default()
    }

    /// Largest number of requests in any window.
    fn busiest_window(&self) -> usize {
        let mut sent = self.sent.clone();
        sent.sort_unstable();
        let (mut most, mut first) = (0, 0);
        for (index, at) in sent.iter().enumerate() {
            while sent[first] + WINDOW <= *at {
                first += 1;
            }
            most = most.max(index - first + 1);
        }
        most
    }

    fn assert_within(&self, limit: f64) {
        let most = self.busiest_window();
        let tolerated = limit * 1.5 * WINDOW.as_secs_f64() + 5.0;
        assert!(
            most as f64 <= tolerated,
            "{most} requests, {tolerated} are tolerated"
        );
    }
}

#[parameterized(
    few_instances = { 7, 13.0 },
    one_per_second = { 7, 1.0 },
    many_instances = { 295, 13.0 },
    many_instances_and_a_low_limit = { 295, 1.0 },
    high_limit = { 295, 200.0 },
)]
fn stable_instances_use_the_limit_and_no_more(count: usize, limit: f64) {
    let mut simulation = Simulation::new(count, count, 1);
    simulation.set_limit(limit, |_| true);
    simulation.run(Duration::from_secs(20), limit * 2.0);
    simulation.assert_within(limit);
    let used = simulation.sent.len() as f64 / 20.0;
    assert!(used >= 0.8 * limit, "{used} per second of {limit} are used");
}

/// All requests arrive at one instance, as after callers have moved.
#[test]
fn one_instance_with_all_callers_uses_the_whole_limit() {
    let mut simulation = Simulation::new(8, 8, 1);
    simulation.set_limit(10.0, |_| true);
    for instance in &mut simulation.instances[1..] {
        instance.known_limit = 10.0;
    }
    let only = PermitQuery {
        announcement_age: Duration::ZERO,
        incarnation: 1,
        max_wait: Duration::ZERO,
        rate_per_s: Some(10.0),
        target: TARGET.into(),
        wants_permit: true,
    };
    simulation.run(Duration::from_secs(1), 0.0);
    let owner = simulation.current_owner();
    let mut granted = 0;
    for step in 0..1_000 {
        let now = simulation.now + STEP * step;
        let permit = simulation.instances[owner]
            .table
            .take_owned(now, &only, 10.0);
        granted += usize::from(matches!(permit, Some(Permit::Granted(_))));
    }
    assert!((95..=110).contains(&granted), "{granted}");
}

#[parameterized(
    few = { 7, 5, 1 },
    few_with_a_low_limit = { 7, 1, 2 },
    many = { 295, 13, 3 },
    many_with_a_low_limit = { 295, 1, 4 },
)]
fn limit_is_kept_while_instances_join_and_end(count: usize, limit: u32, seed: u64) {
    let limit = f64::from(limit);
    let demand_per_s = limit * 4.0 + 50.0;
    let mut simulation = Simulation::new(count, count * 2 / 3, seed);
    simulation.set_limit(limit, |_| true);
    for round in 0..6 {
        simulation.run(Duration::from_secs(5), demand_per_s);
        // The owner ends, and another instance joins.
        let owner = simulation.current_owner();
        simulation.instances[owner].is_running = false;
        simulation.announce_members(LIVENESS_TIMEOUT);
        let joining = simulation.instances.iter().position(|one| !one.is_running);
        let joining = joining.filter(|index| *index != owner || round % 2 == 0);
        if let Some(index) = joining {
            let id = simulation.instances[index].id.clone();
            simulation.instances[index].table = PermitTable::new(id);
            simulation.instances[index].is_running = true;
            simulation.announce_members(Duration::ZERO);
        }
    }
    simulation.run(Duration::from_secs(8), demand_per_s);
    simulation.assert_within(limit);
}

/// Guards against instances that each use the whole limit after they have lost sight of the others.
#[parameterized(
    owner_of_few = { 7, 6.0, true, 1 },
    others_of_few = { 7, 6.0, false, 2 },
    owner_of_many = { 295, 6.0, true, 3 },
    others_of_many = { 295, 1.0, false, 4 },
)]
fn limit_is_kept_while_instances_are_cut_off(count: usize, limit: f64, is_owner: bool, seed: u64) {
    let mut simulation = Simulation::new(count, count, seed);
    simulation.set_limit(limit, |_| true);
    simulation.run(Duration::from_secs(5), 60.0);
    let owner = simulation.current_owner();
    for index in 0..count {
        let is_chosen = if is_owner {
            index == owner
        } else {
            index % 3 == 0 && index != owner
        };
        simulation.instances[index].is_cut_off = is_chosen;
    }
    simulation.announce_members(LIVENESS_TIMEOUT);
    simulation.run(Duration::from_secs(10), 60.0);
    for instance in &mut simulation.instances {
        instance.is_cut_off = false;
    }
    simulation.announce_members(Duration::ZERO);
    simulation.run(Duration::from_secs(8), 60.0);
    simulation.assert_within(limit);
}

#[parameterized(
    few = { 7 },
    many = { 295 },
)]
fn lower_limit_holds_although_some_instances_know_the_higher_one(count: usize) {
    let mut simulation = Simulation::new(count, count, 5);
    simulation.set_limit(20.0, |_| true);
    simulation.run(Duration::from_secs(5), 80.0);
    simulation.set_limit(4.0, |index| index % 2 == 0);
    let owner = simulation.current_owner();
    // The first query or report of an instance that knows the change tells the owner.
    simulation.set_limit(4.0, |index| index == owner);
    simulation.run(WINDOW, 80.0);
    simulation.sent.clear();
    simulation.run(Duration::from_secs(10), 80.0);
    simulation.assert_within(4.0);
}

/// Guards against a limit of 0 whose end is never noticed because no request is sent.
#[test]
fn target_that_takes_no_requests_is_tried_now_and_then() {
    let mut simulation = Simulation::new(7, 7, 6);
    simulation.set_limit(0.0, |_| true);
    simulation.run(Duration::from_secs(40), 50.0);
    simulation.assert_within(0.0);
    assert!(
        (3..=6).contains(&simulation.sent.len()),
        "{}",
        simulation.sent.len()
    );
}

/// Guards against requests that are refused for ever because the owner of a limit stays unreachable.
#[parameterized(
    steady = { 10 },
    rare = { 2_000 },
)]
fn instance_without_an_owner_uses_its_share(pause_ms: u64) {
    let mut table = PermitTable::new("a".into());
    table
        .members
        .set(Duration::ZERO, vec!["a".into(), "b".into()]);
    let query = PermitQuery {
        announcement_age: Duration::ZERO,
        incarnation: 1,
        max_wait: Duration::ZERO,
        rate_per_s: Some(2.0),
        target: TARGET.into(),
        wants_permit: true,
    };
    let mut granted = 0;
    let mut now = Duration::from_secs(100);
    while now < Duration::from_secs(200) {
        now += Duration::from_millis(pause_ms);
        let permit = table.take_fallback(now, &query, 2.0);
        granted += usize::from(matches!(permit, Permit::Granted(_)));
    }
    // Half of the limit is divided between two instances.
    assert!((40..=52).contains(&granted), "{granted}");
}
