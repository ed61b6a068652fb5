//! Schedules of two instances, one key and a faulty table. Guards against a second run of a
//! non-repeatable operation, and against a caller that is told `not run` although the call ran.

#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod record_simulation;
mod support;

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    record_simulation::{Budget, ROW, Simulation, Step},
    support::search::{Model, follow, search},
    yare::parameterized,
};

/// Delivers all messages and ticks both instances, for more rounds than the record needs to settle.
fn settle_all(simulation: &mut Simulation) -> Result<(), String> {
    for _ in 0..15 {
        while !simulation.store.late.is_empty() {
            simulation.take(&Step::ApplyLate(0))?;
        }
        while !simulation.store.waiting.is_empty() {
            simulation.take(&Step::Deliver(0))?;
        }
        while !simulation.questions.is_empty() {
            simulation.take(&Step::Ask(0))?;
        }
        for index in 0..2 {
            if simulation.processes[index]
                .dispatched
                .as_ref()
                .is_some_and(|(_, ran)| !ran)
            {
                simulation.take(&Step::Run(index))?;
            }
            simulation.take(&Step::Complete(index))?;
            simulation.take(&Step::Advance)?;
            simulation.take(&Step::Tick(index, false))?;
        }
    }
    Ok(())
}

/// Searches all short schedules from a critical state. Guards against a second run, a false answer
/// and a claim that its owner no longer knows.
#[parameterized(
    asked_in_an_outage = {
        &[Step::Advance, Step::Tick(1, false), Step::Submit(0), Step::Deliver(1), Step::Submit(1), Step::Refuse(1)]
    },
    claim_is_delayed = { &[Step::Submit(0), Step::Delay(0), Step::Deliver(0)] },
    claim_is_delayed_and_window_closed = {
        &[Step::Submit(0), Step::Delay(0), Step::Advance, Step::Tick(0, false)]
    },
    owner_is_paused_before_dispatch = {
        &[Step::Submit(0), Step::Deliver(0), Step::Submit(1), Step::Deliver(0)]
    },
    refused_and_reply_lost = {
        &[Step::Submit(0), Step::Deliver(0), Step::Reject(0), Step::Tick(0, false), Step::LoseReply(0)]
    },
)]
fn no_short_schedule_breaks_an_invariant(start: &[Step]) {
    let mut simulation = Simulation::new(Budget {
        advances: 2,
        faults: 2,
        submits: 3,
    });
    for step in start {
        simulation.take(step).unwrap();
    }
    let (count, depth) = search(simulation, 6_000);
    println!("{count} states, all schedules of {depth} further steps");
}

proptest! {
    #![proptest_config(Config {
        cases: 600,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    })]

    /// Guards against rows that stay `started` after their claim was abandoned, and against callers
    /// without an answer, once the table works again.
    #[test]
    fn long_schedules_keep_the_invariants_and_converge(choices in prop::collection::vec(any::<u16>(), 0..100)) {
        let mut simulation = Simulation::new(Budget { advances: 6, faults: 5, submits: 4 });
        follow(&mut simulation, &choices).map_err(TestCaseError::fail)?;
        settle_all(&mut simulation).map_err(TestCaseError::fail)?;
        let restarted = simulation.restart_count > 0;
        let state = simulation.store.table.field(ROW, "state");
        prop_assert!(restarted || state != "\"started\"", "{state}");
        prop_assert!(simulation.runs.is_empty() || state != "\"not_run\"", "{state}");
        prop_assert!(restarted || simulation.answers.len() == simulation.submit_count);
    }
}
