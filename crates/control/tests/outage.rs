//! Tests of whole nodes during an outage of the store.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod node_simulation;

use {
    control::{Command, Event},
    node_simulation::{
        Simulation,
        builder::{call, generate},
    },
    std::time::Duration,
    types::{Change, OperationKind, Plan, StoreRequest},
    yare::parameterized,
};

/// Maximum rate at which one instance sends requests to a store that is down, per second: 1 read of
/// the change log and 2 for edits, 4 for call records, 1 for orders, 1 for snapshots, and a margin
/// of 1.
const MAX_PER_S: usize = 10;

fn store_request_count(simulation: &Simulation, node: usize, from: Duration) -> usize {
    let is_store = |(by, at, command): &&(usize, Duration, Command)| {
        *by == node && *at > from && matches!(command, Command::Store { .. })
    };
    simulation.log.iter().filter(is_store).count()
}

/// Guards against requests in a tight loop, or one per caller, to a store that rejects them. Edits,
/// call records, reads, sweeps and orders run together.
#[parameterized(
    all_requests = { false, false, 5 },
    lost_writes = { true, true, 0 },
    only_writes = { true, false, 5 },
)]
fn outage_causes_few_store_requests(answers_reads: bool, drops_writes: bool, call_count: usize) {
    let mut simulation = Simulation::new(2, 2, 1);
    let from = simulation.now;
    // The model stays in one failure domain only, so that an order is due all the time.
    simulation.models.remove("e1-0");
    simulation.is_store_down = true;
    simulation.answers_reads = answers_reads;
    simulation.drops_writes = drops_writes;
    for round in 0..600 {
        let name = format!("p{round}");
        let edit = Event::EditSubmitted {
            base_version: None,
            change: Change::PutPlan {
                id: name.as_str().into(),
                plan: Plan::default(),
            },
            operation: name.as_str().into(),
        };
        if round % 10 == 0 {
            simulation.send(round % 2, edit);
        }
        for number in 0..call_count {
            let request = format!("c{round}-{number}");
            let submission = call("a", &request, OperationKind::NonRepeatable);
            simulation.send(round % 2, Event::CallSubmitted(submission));
        }
        simulation.submit(round % 2, generate("b", &format!("g{round}")));
        simulation.run(100);
    }
    for prefix in ["call", "config/", "order/"] {
        let text = format!("\"{prefix}");
        let has_prefix = |command: &Command| {
            matches!(command, Command::Store { .. }) && format!("{command:?}").contains(&text)
        };
        let is_expected = call_count > 0 || prefix != "call";
        let mut sent = simulation.log.iter().filter(|(_, at, _)| *at > from);
        assert!(
            !is_expected || sent.any(|entry| has_prefix(&entry.2)),
            "{prefix}"
        );
    }
    let duration_s = (simulation.now - from).as_secs() as usize;
    for node in 0..2 {
        let count = store_request_count(&simulation, node, from);
        println!("node {node}: {count} requests in {duration_s} s");
        assert!(count <= MAX_PER_S * duration_s, "{count} requests");
        assert!(
            count >= duration_s / 3,
            "requests to the store have stopped"
        );
        assert_eq!(simulation.nodes[node].unexpected_count(), 0);
    }
}

/// Guards against calls that are still refused after the store has recovered, and against outcomes
/// that are never written.
#[test]
fn calls_and_outcomes_resume_after_an_outage() {
    let mut simulation = Simulation::new(2, 2, 1);
    for name in ["c1", "c2", "c3"] {
        let submission = call("a", name, OperationKind::NonRepeatable);
        simulation.send(0, Event::CallSubmitted(submission));
    }
    simulation.is_store_down = true;
    simulation.run(5_000);
    simulation.is_store_down = false;
    simulation.run(3_000);
    let from = simulation.now;
    let submission = call("a", "c4", OperationKind::NonRepeatable);
    simulation.send(0, Event::CallSubmitted(submission));
    simulation.run(1_000);
    let written = simulation
        .log
        .iter()
        .filter_map(|(_, _, command)| match command {
            Command::Store {
                request: StoreRequest::Transact { writes, .. },
                ..
            } => Some(writes),
            _ => None,
        });
    let rows = written.flatten().filter(|write| {
        let value = write.value.as_deref().unwrap_or_default();
        value.contains("\"ran\"")
    });
    let keys: std::collections::BTreeSet<_> = rows.map(|write| write.key.clone()).collect();
    assert_eq!(keys.len(), 4, "{keys:?}");
    assert!(simulation.completed_at("c4").unwrap() > from);
}

/// Guards against the answer `not run` for a key that ran at a live instance whose reply was lost.
#[test]
fn key_that_ran_elsewhere_is_answered_during_an_outage() {
    let mut simulation = Simulation::new(2, 2, 1);
    let submission = call("a", "c", OperationKind::NonRepeatable);
    simulation.send(0, Event::CallSubmitted(submission.clone()));
    simulation.run(1_000);
    assert!(simulation.completed_at("c").is_some());
    simulation.is_store_down = true;
    let mut again = submission;
    again.request = "again".into();
    simulation.send(1, Event::CallSubmitted(again));
    simulation.run(1_000);
    assert_eq!(simulation.refusals("again"), []);
    assert!(simulation.has_result("again"));
}

/// Guards against an outcome that waits for the regular tick, and against ticks in a tight loop
/// while no part of the node can act.
#[test]
fn next_tick_is_due_when_outcomes_are() {
    let mut simulation = Simulation::new(1, 1, 1);
    let submission = call("a", "c", OperationKind::NonRepeatable);
    simulation.send(0, Event::CallSubmitted(submission));
    while simulation.completed_at("c").is_none() {
        simulation.run(10);
    }
    let due_at = simulation.nodes[0].wake_at().unwrap();
    assert!(due_at <= simulation.completed_at("c").unwrap() + Duration::from_millis(10));
    simulation.is_store_down = true;
    simulation.now = due_at;
    let commands = simulation.send(0, Event::Ticked);
    assert!(commands.iter().any(|command| matches!(
        command,
        Command::Store {
            request: StoreRequest::Transact { .. },
            ..
        }
    )));
    let mut tick_count = 0;
    let end = simulation.now + Duration::from_secs(10);
    while let Some(at) = simulation.nodes[0].wake_at().filter(|at| *at < end) {
        assert!(at > simulation.now);
        simulation.now = at;
        simulation.send(0, Event::Ticked);
        tick_count += 1;
    }
    assert!(tick_count < 60, "{tick_count}");
}
