//! Tests of shares, limits and refusals, with several nodes and simulated targets.

mod node_simulation;

use {
    control::{AdmissionSettings, Event},
    node_simulation::{
        Simulation,
        builder::{generate, lists, lists_with_wait},
    },
    std::{collections::BTreeMap, time::Duration},
    types::{GenerateSubmission, RefusalKind},
};

/// Guards against instances that have the same reports and therefore all send their next request to
/// the same target.
#[test]
fn instances_with_equal_reports_choose_different_targets() {
    let mut simulation = Simulation::new(8, 6, 1);
    for round in 0..2 {
        for node in 0..8 {
            simulation.submit(node, generate("b", &format!("r{node}-{round}")));
        }
    }
    let mut counts: BTreeMap<_, usize> = BTreeMap::new();
    for work in &simulation.work {
        *counts.entry(work.route[0].clone()).or_default() += 1;
    }
    assert_eq!(simulation.work.len(), 16);
    assert!(counts.len() >= 5, "{counts:?}");
    assert!(counts.values().all(|count| *count <= 6), "{counts:?}");
}

/// Guards against instances that all fill the same free slots, and against slots that stay free
/// while requests wait.
#[test]
fn instances_share_free_slots() {
    let mut simulation = Simulation::new(8, 6, 1);
    for node in 0..8 {
        simulation.send(node, Event::ListsReceived(lists(1_000)));
        for index in 0..100 {
            let id = format!("r{node}-{index}");
            simulation
                .durations
                .insert(id.as_str().into(), Duration::from_millis(300));
            simulation.submit(node, generate("a", &id));
        }
    }
    simulation.run(1_500);
    let (mut most, mut sum) = (0, 0);
    for _ in 0..100 {
        simulation.run(10);
        most = most.max(simulation.work.len());
        sum += simulation.work.len().min(48);
    }
    assert!(most <= 56, "{most} at targets with 48 slots");
    assert!(sum / 100 >= 40, "{} of 48 slots are used", sum / 100);
}

/// Guards against short work that waits for work which runs 100 times longer.
#[test]
fn short_work_passes_long_work() {
    let mut simulation = Simulation::new(1, 1, 1);
    for index in 0..4 {
        let id = format!("long{index}");
        simulation
            .durations
            .insert(id.as_str().into(), Duration::from_secs(20));
        simulation.submit(
            0,
            GenerateSubmission {
                deadline: Duration::from_secs(600),
                prompt_tokens: 900,
                ..generate("a", &id)
            },
        );
    }
    simulation.run(22_000);
    for index in 4..20 {
        let id = format!("long{index}");
        simulation
            .durations
            .insert(id.as_str().into(), Duration::from_secs(20));
        simulation.submit(
            0,
            GenerateSubmission {
                deadline: Duration::from_secs(600),
                prompt_tokens: 900,
                ..generate("a", &id)
            },
        );
    }
    assert!(
        simulation.work.len() < 8,
        "no slot is reserved for short work"
    );
    let submitted = simulation.now;
    simulation.submit(0, generate("a", "short"));
    simulation.run(1_000);
    let ended = simulation
        .completed_at("short")
        .expect("short work waits for long work");
    assert!(ended - submitted <= Duration::from_millis(200));
    simulation.run(80_000);
    assert!(
        simulation.completed_at("long19").is_some(),
        "long work starves"
    );
}

/// Guards against an account that takes the capacity of another one: completed work must follow the
/// weights of the plans.
#[test]
fn shares_follow_plan_weights() {
    let mut simulation = Simulation::new(1, 1, 1);
    for index in 0..160 {
        simulation.submit(0, generate("a", &format!("a{index}")));
        simulation.submit(0, generate("b", &format!("b{index}")));
    }
    simulation.run(1_500);
    let completed_a = simulation
        .completed
        .iter()
        .filter(|(id, _)| id.starts_with('a'))
        .count();
    let completed_b = simulation.completed.len() - completed_a;
    let ratio = completed_b as f64 / completed_a as f64;
    assert!(
        (2.0..4.0).contains(&ratio),
        "a {completed_a}, b {completed_b}"
    );
}

/// Guards against more running requests over all instances than the plan allows, and against an
/// instance that gets no share of a small limit.
#[test]
fn concurrency_limit_is_divided_by_demand() {
    let mut simulation = Simulation::new(4, 3, 1);
    for node in 0..4 {
        simulation.send(node, Event::ListsReceived(lists(6)));
        simulation.submit(node, generate("a", &format!("first{node}")));
    }
    simulation.run(2_000);
    for node in 0..4 {
        for index in 0..20 {
            let id = format!("r{node}-{index}");
            simulation
                .durations
                .insert(id.as_str().into(), Duration::from_secs(2));
            simulation.submit(node, generate("a", &id));
        }
    }
    let (mut most, mut least) = (0, usize::MAX);
    for _ in 0..800 {
        simulation.run(10);
        most = most.max(simulation.work.len());
        least = least.min(simulation.work.len());
    }
    assert!(most <= 6, "{most} run under a limit of 6");
    assert!(least >= 4, "only {least} run under a limit of 6");
    simulation.run(30_000);
    assert_eq!(simulation.completed.len(), 84);
}

/// Guards against refusals that are delayed or do not say when to retry.
#[test]
fn work_that_cannot_start_in_time_is_refused_at_once() {
    let mut simulation = Simulation::new(1, 1, 1);
    let with_long_deadline = |index: usize| GenerateSubmission {
        deadline: Duration::from_secs(600),
        ..generate("a", &format!("r{index}"))
    };
    for index in 0..100 {
        simulation.submit(0, with_long_deadline(index));
    }
    let late = GenerateSubmission {
        deadline: Duration::from_millis(300),
        ..generate("a", "late")
    };
    simulation.submit(0, late);
    for index in 100..300 {
        simulation.submit(0, with_long_deadline(index));
    }
    let (at, refusal) = &simulation.refusals("late")[0];
    assert_eq!((*at, refusal.kind), (simulation.now, RefusalKind::Deadline));
    assert!(
        refusal.retry_after > Duration::from_millis(200),
        "{refusal:?}"
    );
    let (at, refusal) = &simulation.refusals("r299")[0];
    assert_eq!((*at, refusal.kind), (simulation.now, RefusalKind::Limit));
    simulation.run(5_000);
    assert!(
        simulation.completed_at("r150").is_some(),
        "queued work is not dispatched"
    );
}

/// Guards against work that starts after its caller has given up. Work that cannot start within the
/// maximum wait of its plan is refused at once; work that was accepted because of a wrong estimate
/// leaves the queue when that wait is over. Work that has started is not interrupted.
#[test]
fn longest_wait_bounds_the_queue() {
    let mut simulation = Simulation::new(1, 1, 1);
    simulation.send(0, Event::ListsReceived(lists_with_wait(1_000, 2_000)));
    for index in 0..12 {
        let id = format!("slow{index}");
        simulation
            .durations
            .insert(id.as_str().into(), Duration::from_secs(5));
        simulation.submit(0, generate("a", &id));
    }
    let submitted = simulation.now;
    simulation.run(9_000);
    let refused: Vec<_> = (0..12)
        .flat_map(|index| simulation.refusals(&format!("slow{index}")))
        .collect();
    assert_eq!(refused.len(), 4, "{refused:?}");
    for (at, refusal) in refused {
        let waited = at - submitted;
        assert!(waited >= Duration::from_secs(2) && waited <= Duration::from_millis(2_100));
        assert!(refusal.retry_after >= Duration::from_secs(1), "{refusal:?}");
    }
    assert_eq!(simulation.completed.len(), 8);
    for index in 0..200 {
        let id = format!("r{index}");
        simulation
            .durations
            .insert(id.as_str().into(), Duration::from_secs(5));
        simulation.submit(0, generate("a", &id));
    }
    let (at, refusal) = &simulation.refusals("r199")[0];
    assert_eq!((*at, refusal.kind), (simulation.now, RefusalKind::Deadline));
    assert!(refusal.retry_after >= Duration::from_secs(1), "{refusal:?}");
}

/// Guards against slots that stay empty between two reports, and against long work that gets
/// reserved slots through the queue of an engine.
#[test]
fn only_short_work_waits_at_targets() {
    let mut simulation = Simulation::with_admission(1, 1, 1, &AdmissionSettings::default());
    for index in 0..20 {
        let id = format!("first{index}");
        simulation
            .durations
            .insert(id.as_str().into(), Duration::from_secs(20));
        simulation.submit(
            0,
            GenerateSubmission {
                prompt_tokens: 900,
                ..generate("a", &id)
            },
        );
    }
    assert_eq!(simulation.work.len(), 12, "8 slots and 4 waiting");
    simulation.run(60_000);
    for index in 0..20 {
        let id = format!("long{index}");
        simulation
            .durations
            .insert(id.as_str().into(), Duration::from_secs(20));
        simulation.submit(
            0,
            GenerateSubmission {
                prompt_tokens: 900,
                ..generate("a", &id)
            },
        );
    }
    assert_eq!(
        simulation.work.len(),
        6,
        "2 of 8 slots are reserved for short work"
    );
}

/// Guards against an instance that accepts work with lists that may be outdated, and against one
/// that stops accepting work merely because the store is down.
#[test]
fn stale_instance_refuses_only_without_majority() {
    let mut simulation = Simulation::new(3, 3, 1);
    simulation.is_store_down = true;
    simulation.run(6_000);
    simulation.submit(0, generate("a", "connected"));
    assert_eq!(simulation.routes("connected").len(), 1);
    simulation.isolated_node = Some(0);
    simulation.run(6_000);
    simulation.submit(0, generate("a", "alone"));
    let (_, refusal) = &simulation.refusals("alone")[0];
    assert_eq!(refusal.kind, RefusalKind::StaleConfig);
    assert!(refusal.retry_after > Duration::ZERO);
    assert!(!simulation.nodes[0].status(simulation.now).ready);
    assert!(simulation.nodes[1].status(simulation.now).ready);
    simulation.is_store_down = false;
    simulation.run(1_500);
    simulation.submit(0, generate("a", "confirmed"));
    assert_eq!(simulation.routes("confirmed").len(), 1);
}
