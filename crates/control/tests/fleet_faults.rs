//! Runs whole instances under random faults and checks the invariants of the router, such as at
//! most one run of a non-repeatable call. The seeds are fixed, unless the environment variable
//! `FLEET_SEED` sets one.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod fleet_simulation;
mod node_simulation;
mod support;

use {
    fleet_simulation::{
        Action, RouterFactory, Simulation, fault_schedule::schedule, naive_router::naive_router,
        production_router,
    },
    std::{
        collections::BTreeMap,
        sync::atomic::{AtomicU64, Ordering},
    },
    tracing_mutex::stdsync::Mutex,
};

/// Number of schedules that run with the naive router. They include the rarest violation, at seed
/// 14.
const NAIVE_SCHEDULE_COUNT: u64 = 60;

/// Number of schedules that run with the production router without `FLEET_SEED`.
const SCHEDULE_COUNT: u64 = 200;

const INVARIANTS: [&str; 10] = [
    "at most one run",
    "bounded loss of targets",
    "bounded store requests",
    "complete routes",
    "accepted edits take effect",
    "accepted edits are kept",
    "no work for leaving targets",
    "one final answer",
    "output of the current attempt",
    "correct `not run` answers",
];

type Violations = BTreeMap<u64, BTreeMap<&'static str, String>>;

/// Runs the schedules of these seeds on several threads and returns the violations by seed. A
/// schedule depends on nothing but its seed.
fn run_schedules(seeds: std::ops::Range<u64>, router_factory: RouterFactory) -> Violations {
    let next = AtomicU64::new(seeds.start);
    let violations = Mutex::new(Violations::new());
    std::thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let simulation =
                        Simulation::run_schedule(seed, router_factory, &schedule(seed));
                    if !simulation.checker.violations.is_empty() {
                        violations
                            .lock()
                            .unwrap()
                            .insert(seed, simulation.checker.violations);
                    }
                }
            });
        }
    });
    violations.into_inner().unwrap()
}

/// Guards against violations of the invariants under the faults of the schedules.
#[test]
fn shipped_decisions_keep_the_invariants() {
    let seed = std::env::var("FLEET_SEED")
        .ok()
        .map(|text| text.parse::<u64>().unwrap());
    let seeds = seed.map_or(0..SCHEDULE_COUNT, |seed| seed..seed + 1);
    let violations = run_schedules(seeds, production_router);
    let Some((seed, broken)) = violations.first_key_value() else {
        return;
    };
    let all: Vec<(&u64, Vec<&&str>)> = violations
        .iter()
        .map(|(seed, violated)| (seed, violated.keys().collect()))
        .collect();
    let actions: Vec<(u64, Action)> = schedule(*seed);
    panic!("FLEET_SEED={seed} violated {broken:#?}\nafter {actions:?}\nall: {all:?}");
}

/// Guards against an invariant check that cannot fail: the naive router must violate each of them.
#[test]
fn naive_decisions_break_each_invariant() {
    let violations = run_schedules(0..NAIVE_SCHEDULE_COUNT, naive_router);
    for name in INVARIANTS {
        let seed = violations
            .iter()
            .find(|(_, broken)| broken.contains_key(name));
        let (seed, broken) = seed.unwrap_or_else(|| panic!("no schedule violated: {name}"));
        println!("{name}: seed {seed}, {}", broken[name]);
    }
}
