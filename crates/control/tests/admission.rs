//! Shares, limits and refusals of several nodes with simulated targets.

mod world;

use {
    control::{AdmissionSettings, Event},
    std::{collections::BTreeMap, time::Duration},
    types::{GenerateSubmission, RefusalKind},
    world::{
        World,
        builder::{generate, lists, lists_with_wait},
    },
};

/// Guards against instances that see the same reports sending their next work to the same target.
#[test]
fn instances_with_equal_reports_choose_different_targets() {
    let mut world = World::new(8, 6, 1);
    for round in 0..2 {
        for node in 0..8 {
            world.submit(node, generate("b", &format!("r{node}-{round}")));
        }
    }
    let mut counts: BTreeMap<_, usize> = BTreeMap::new();
    for work in &world.work {
        *counts.entry(work.route[0].clone()).or_default() += 1;
    }
    assert_eq!(world.work.len(), 16);
    assert!(counts.len() >= 5, "{counts:?}");
    assert!(counts.values().all(|count| *count <= 6), "{counts:?}");
}

/// Guards against instances that all fill the same free places, and against places left unused
/// while work waits.
#[test]
fn instances_share_free_slots() {
    let mut world = World::new(8, 6, 1);
    for node in 0..8 {
        world.send(node, Event::ListsReceived(lists(1_000)));
        for index in 0..100 {
            let id = format!("r{node}-{index}");
            world
                .durations
                .insert(id.as_str().into(), Duration::from_millis(300));
            world.submit(node, generate("a", &id));
        }
    }
    world.run(1_500);
    let (mut most, mut sum) = (0, 0);
    for _ in 0..100 {
        world.run(10);
        most = most.max(world.work.len());
        sum += world.work.len().min(48);
    }
    assert!(most <= 56, "{most} at targets with 48 places");
    assert!(sum / 100 >= 40, "{} of 48 places are used", sum / 100);
}

/// Guards against short work that waits behind work running 100 times longer.
#[test]
fn short_work_passes_long_work() {
    let mut world = World::new(1, 1, 1);
    for index in 0..4 {
        let id = format!("long{index}");
        world
            .durations
            .insert(id.as_str().into(), Duration::from_secs(20));
        world.submit(
            0,
            GenerateSubmission {
                deadline: Duration::from_secs(600),
                prompt_tokens: 900,
                ..generate("a", &id)
            },
        );
    }
    world.run(22_000);
    for index in 4..20 {
        let id = format!("long{index}");
        world
            .durations
            .insert(id.as_str().into(), Duration::from_secs(20));
        world.submit(
            0,
            GenerateSubmission {
                deadline: Duration::from_secs(600),
                prompt_tokens: 900,
                ..generate("a", &id)
            },
        );
    }
    assert!(world.work.len() < 8, "no place is kept for short work");
    let submitted = world.now;
    world.submit(0, generate("a", "short"));
    world.run(1_000);
    let ended = world
        .completed_at("short")
        .expect("short work waits behind long work");
    assert!(ended - submitted <= Duration::from_millis(200));
    world.run(80_000);
    assert!(world.completed_at("long19").is_some(), "long work starves");
}

/// Guards against one account taking the capacity of another: completed work follows the weights.
#[test]
fn shares_follow_plan_weights() {
    let mut world = World::new(1, 1, 1);
    for index in 0..160 {
        world.submit(0, generate("a", &format!("a{index}")));
        world.submit(0, generate("b", &format!("b{index}")));
    }
    world.run(1_500);
    let completed_a = world
        .completed
        .iter()
        .filter(|(id, _)| id.starts_with('a'))
        .count();
    let completed_b = world.completed.len() - completed_a;
    let ratio = completed_b as f64 / completed_a as f64;
    assert!(
        (2.0..4.0).contains(&ratio),
        "a {completed_a}, b {completed_b}"
    );
}

/// Guards against more running requests than the plan allows over all instances, and against an
/// instance that gets none of a small limit.
#[test]
fn concurrency_limit_is_divided_by_demand() {
    let mut world = World::new(4, 3, 1);
    for node in 0..4 {
        world.send(node, Event::ListsReceived(lists(6)));
        world.submit(node, generate("a", &format!("first{node}")));
    }
    world.run(2_000);
    for node in 0..4 {
        for index in 0..20 {
            let id = format!("r{node}-{index}");
            world
                .durations
                .insert(id.as_str().into(), Duration::from_secs(2));
            world.submit(node, generate("a", &id));
        }
    }
    let (mut most, mut least) = (0, usize::MAX);
    for _ in 0..800 {
        world.run(10);
        most = most.max(world.work.len());
        least = least.min(world.work.len());
    }
    assert!(most <= 6, "{most} run under a limit of 6");
    assert!(least >= 4, "only {least} run under a limit of 6");
    world.run(30_000);
    assert_eq!(world.completed.len(), 84);
}

/// Guards against refusals that are held back, and that name no time to come back.
#[test]
fn work_that_cannot_start_in_time_is_refused_at_once() {
    let mut world = World::new(1, 1, 1);
    let long_deadline = |index: usize| GenerateSubmission {
        deadline: Duration::from_secs(600),
        ..generate("a", &format!("r{index}"))
    };
    for index in 0..100 {
        world.submit(0, long_deadline(index));
    }
    let late = GenerateSubmission {
        deadline: Duration::from_millis(300),
        ..generate("a", "late")
    };
    world.submit(0, late);
    for index in 100..300 {
        world.submit(0, long_deadline(index));
    }
    let (at, refusal) = &world.refusals("late")[0];
    assert_eq!((*at, refusal.kind), (world.now, RefusalKind::Deadline));
    assert!(
        refusal.retry_after > Duration::from_millis(200),
        "{refusal:?}"
    );
    let (at, refusal) = &world.refusals("r299")[0];
    assert_eq!((*at, refusal.kind), (world.now, RefusalKind::Limit));
    world.run(5_000);
    assert!(
        world.completed_at("r150").is_some(),
        "queued work is not dispatched"
    );
}

/// Guards against work that starts after its caller has gone: what cannot start within the longest
/// wait of its plan is refused at once, and what was let in by a wrong estimate leaves the queue in
/// time. Work that has started is not cut off.
#[test]
fn longest_wait_bounds_the_queue() {
    let mut world = World::new(1, 1, 1);
    world.send(0, Event::ListsReceived(lists_with_wait(1_000, 2_000)));
    for index in 0..12 {
        let id = format!("slow{index}");
        world
            .durations
            .insert(id.as_str().into(), Duration::from_secs(5));
        world.submit(0, generate("a", &id));
    }
    let submitted = world.now;
    world.run(9_000);
    let refused: Vec<_> = (0..12)
        .flat_map(|index| world.refusals(&format!("slow{index}")))
        .collect();
    assert_eq!(refused.len(), 4, "{refused:?}");
    for (at, refusal) in refused {
        let waited = at - submitted;
        assert!(waited >= Duration::from_secs(2) && waited <= Duration::from_millis(2_100));
        assert!(refusal.retry_after >= Duration::from_secs(1), "{refusal:?}");
    }
    assert_eq!(world.completed.len(), 8);
    for index in 0..200 {
        let id = format!("r{index}");
        world
            .durations
            .insert(id.as_str().into(), Duration::from_secs(5));
        world.submit(0, generate("a", &id));
    }
    let (at, refusal) = &world.refusals("r199")[0];
    assert_eq!((*at, refusal.kind), (world.now, RefusalKind::Deadline));
    assert!(refusal.retry_after >= Duration::from_secs(1), "{refusal:?}");
}

/// Guards against slots that stay empty between two reports, and against long work that takes the
/// kept places by way of an engine's queue.
#[test]
fn only_short_work_waits_at_targets() {
    let mut world = World::with_admission(1, 1, 1, &AdmissionSettings::default());
    for index in 0..20 {
        let id = format!("first{index}");
        world
            .durations
            .insert(id.as_str().into(), Duration::from_secs(20));
        world.submit(
            0,
            GenerateSubmission {
                prompt_tokens: 900,
                ..generate("a", &id)
            },
        );
    }
    assert_eq!(world.work.len(), 12, "8 places and 4 waiting");
    world.run(60_000);
    for index in 0..20 {
        let id = format!("long{index}");
        world
            .durations
            .insert(id.as_str().into(), Duration::from_secs(20));
        world.submit(
            0,
            GenerateSubmission {
                prompt_tokens: 900,
                ..generate("a", &id)
            },
        );
    }
    assert_eq!(world.work.len(), 6, "2 of 8 places are kept for short work");
}

/// Guards against an instance that admits work with lists that may be outdated, and one that stops
/// at a mere outage of the store.
#[test]
fn stale_instance_refuses_only_without_majority() {
    let mut world = World::new(3, 3, 1);
    world.is_store_down = true;
    world.run(6_000);
    world.submit(0, generate("a", "connected"));
    assert_eq!(world.routes("connected").len(), 1);
    world.isolated_node = Some(0);
    world.run(6_000);
    world.submit(0, generate("a", "alone"));
    let (_, refusal) = &world.refusals("alone")[0];
    assert_eq!(refusal.kind, RefusalKind::StaleConfig);
    assert!(refusal.retry_after > Duration::ZERO);
    assert!(!world.nodes[0].status(world.now).ready);
    assert!(world.nodes[1].status(world.now).ready);
    world.is_store_down = false;
    world.run(1_500);
    world.submit(0, generate("a", "confirmed"));
    assert_eq!(world.routes("confirmed").len(), 1);
}
