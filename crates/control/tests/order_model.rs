//! Schedules of two owners of two engines, their order rows and the network between them. Guards
//! against an engine that stays in an older state than its row states, and against more loads than
//! the weight store permits.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod order_simulation;
mod support;

use {
    order_simulation::{NEEDS, Simulation, Step},
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    support::search::{Model, follow, search},
    yare::parameterized,
};

/// An owner has written its row, and its order is in flight.
const ORDER_IN_FLIGHT: &[Step] = &[
    Step::TickAlone(0, NEEDS[0]),
    Step::Deliver(0),
    Step::Deliver(0),
    Step::Deliver(0),
];

/// Searches all short schedules from a critical state, with engines that check fences and engines
/// that do not.
#[parameterized(
    fresh = { &[], true },
    fresh_without_fence = { &[], false },
    two_owners = { &[Step::TickAlone(0, NEEDS[0]), Step::TickAlone(1, NEEDS[1])], false },
    ordered = { ORDER_IN_FLIGHT, true },
    ordered_without_fence = { ORDER_IN_FLIGHT, false },
    two_engines = { &[Step::TickAlone(0, NEEDS[0]), Step::TickAlone(1, NEEDS[2]), Step::Deliver(0), Step::Deliver(0)], true },
    paused_before_its_reply = {
        &[
            Step::TickAlone(0, NEEDS[0]), Step::Deliver(0), Step::Deliver(0), Step::Execute(0),
            Step::TickAlone(1, NEEDS[1]), Step::Deliver(1), Step::Deliver(1),
            Step::Advance, Step::Advance, Step::Advance, Step::Advance, Step::Advance,
            Step::TickAlone(1, NEEDS[1]), Step::Deliver(1), Step::Deliver(1),
        ],
        false
    },
    replaced_while_on_the_way = {
        &[
            Step::TickAlone(0, NEEDS[0]), Step::Deliver(0), Step::Deliver(0), Step::Deliver(0),
            Step::Advance, Step::Advance, Step::TickAlone(1, NEEDS[1]), Step::Deliver(0),
        ],
        false
    },
)]
fn no_short_schedule_leaves_a_stale_engine_state(start: &[Step], checks_fence: bool) {
    let mut simulation = Simulation::new(checks_fence);
    for step in start {
        simulation.take(step).unwrap();
    }
    let (count, depth) = search(simulation, 2_500);
    println!("{count} states, all schedules of {depth} further steps");
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    })]

    /// Guards against an engine that a long schedule leaves in a stale state.
    #[test]
    fn long_schedules_converge(choices in prop::collection::vec(any::<u16>(), 0..60), checks_fence in any::<bool>()) {
        let mut simulation = Simulation::new(checks_fence);
        (simulation.advance_count, simulation.fault_count) = (12, 6);
        follow(&mut simulation, &choices).map_err(TestCaseError::fail)?;
        if !simulation.is_settled {
            simulation.settle_all().map_err(TestCaseError::fail)?;
        }
    }
}
