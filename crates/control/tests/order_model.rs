//! Schedules over two owners of two engines, their order rows and the network between them. Guards
//! against an engine that stays in a state older than its row, and loads beyond the weight store.
#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

mod owners;
mod support;

use {
    owners::{NEEDS, Step, World},
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    support::search::{Model, follow, search},
    yare::parameterized,
};

/// An owner writes its row and its order is on the way, while the other owner sees another need.
const ORDERED: &[Step] = &[
    Step::TickAlone(0, NEEDS[0]),
    Step::Deliver(0),
    Step::Deliver(0),
    Step::Deliver(0),
];

/// Searches all short schedules from a dangerous start, with engines that check the fence and
/// engines that do not.
#[parameterized(
    fresh = { &[], true },
    fresh_without_fence = { &[], false },
    two_owners = { &[Step::TickAlone(0, NEEDS[0]), Step::TickAlone(1, NEEDS[1])], false },
    ordered = { ORDERED, true },
    ordered_without_fence = { ORDERED, false },
    two_engines = { &[Step::TickAlone(0, NEEDS[0]), Step::TickAlone(1, NEEDS[2]), Step::Deliver(0), Step::Deliver(0)], true },
    paused_before_its_reply = {
        &[
            Step::TickAlone(0, NEEDS[0]), Step::Deliver(0), Step::Deliver(0), Step::TakeUp(0),
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
fn no_short_schedule_leaves_an_old_state(start: &[Step], checks_fence: bool) {
    let mut world = World::new(checks_fence);
    for step in start {
        world.take(step).unwrap();
    }
    let (count, depth) = search(world, 2_500);
    println!("{count} states, all schedules of {depth} further steps");
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    })]

    /// Guards against an engine left in an old state by a long schedule.
    #[test]
    fn long_schedules_heal(choices in prop::collection::vec(any::<u16>(), 0..60), checks in any::<bool>()) {
        let mut world = World::new(checks);
        (world.advance_count, world.fault_count) = (12, 6);
        follow(&mut world, &choices).map_err(TestCaseError::fail)?;
        if !world.is_healed {
            world.heal().map_err(TestCaseError::fail)?;
        }
    }
}
