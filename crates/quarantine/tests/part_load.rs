//! Load with parts of prompts that crash targets, over many instances in virtual time. Guards against more
//! crashes than the users' limits allow, and against sound requests that are refused meanwhile.

mod support;

use {
    quarantine::CrashPhase,
    std::time::Duration,
    support::{Load, Simulation},
    yare::parameterized,
};

/// Time that all instances have to learn of the fifth crash; the shortest one of the users.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Requests with a crashing part that may reach targets after that.
const MAX_LATE_REQUESTS: usize = 3;
/// Share of the sound requests that may be refused.
const MAX_REFUSED_SHARE: f64 = 0.01;
/// The same where targets crash at any point of long answers, so that many sound requests are interrupted with the
/// crashing ones; the limit of the users.
const MAX_REFUSED_SHARE_OF_LONG: f64 = 0.05;

#[parameterized(
    few_instances = { Load::default() },
    one_account = { Load { crashing_accounts: 1, ..Load::default() } },
    several_parts = { Load { crashing_parts: 3, ..Load::default() } },
    hundreds_of_instances = { Load { instances: 300, sound_per_s: 290.0, crashing_per_s: 7.0, ..Load::default() } },
    frequent_crashes = { Load { crashing_per_s: 20.0, ..Load::default() } },
    slow_exchange = { Load { exchange_delay: Duration::from_millis(900), ..Load::default() } },
    other_crashes = { Load { other_crash_every: Some(Duration::from_secs(2)), ..Load::default() } },
    domains_lost = { Load { lost_together: 4, other_crash_every: Some(Duration::from_secs(6)), ..Load::default() } },
    instances_killed = { Load { kill_every: Some(Duration::from_secs(1)), ..Load::default() } },
    everything_at_once = { Load {
        crashing_parts: 2,
        instances: 300,
        kill_every: Some(Duration::from_millis(200)),
        lost_together: 3,
        other_crash_every: Some(Duration::from_secs(3)),
        sound_per_s: 290.0,
        ..Load::default()
    } },
)]
fn crashing_parts_stop_reaching_targets_and_sound_requests_do_not(load: Load) {
    check(&load, MAX_REFUSED_SHARE);
}

/// Load with answers that go on for a while, are resumed when they are interrupted, and have a rare part each.
fn long_answers() -> Load {
    Load {
        answer_time: Duration::from_millis(1_200),
        attempts: 3,
        crashing_from: Duration::from_secs(8),
        rare_parts: 200,
        ..Load::default()
    }
}

fn after(ms: u64) -> CrashPhase {
    CrashPhase::AfterFirstEvent(Duration::from_millis(ms))
}

/// Guards against parts that crash their targets before the head of the answer or after some events, and are
/// cleared by the answers that have begun with them.
#[parameterized(
    before_head = { &[CrashPhase::BeforeHead], long_answers() },
    before_first_event = { &[CrashPhase::BeforeFirstEvent], long_answers() },
    behind_first_event = { &[after(20)], long_answers() },
    after_five_events = { &[after(150)], long_answers() },
    after_twenty_events = { &[after(600)], long_answers() },
    drawn = { &[CrashPhase::BeforeHead, CrashPhase::BeforeFirstEvent, after(20), after(90), after(300)], long_answers() },
    few_targets = { &[after(20)], Load { targets: 8, sound_per_s: 19.0, crashing_per_s: 1.0, instances: 3, ..long_answers() } },
    long_streams = { &[after(1_300)], Load { answer_time: Duration::from_secs(4), sound_per_s: 30.0, ..long_answers() } },
    one_account = { &[after(20)], Load { crashing_accounts: 1, ..long_answers() } },
    hundreds_of_instances = { &[after(20)], Load { instances: 300, sound_per_s: 290.0, crashing_per_s: 7.0, targets: 100, ..long_answers() } },
    other_crashes = { &[after(150)], Load { other_crash_every: Some(Duration::from_secs(2)), ..long_answers() } },
    domains_lost = { &[after(150)], Load { lost_together: 4, other_crash_every: Some(Duration::from_secs(6)), ..long_answers() } },
    instances_killed = { &[after(20)], Load { kill_every: Some(Duration::from_secs(1)), ..long_answers() } },
)]
fn parts_that_crash_targets_at_any_point_of_an_answer_stop_reaching_them(
    phases: &[CrashPhase],
    load: Load,
) {
    let load = Load {
        crash_phases: phases.to_vec(),
        ..load
    };
    check(&load, MAX_REFUSED_SHARE_OF_LONG);
}

/// Guards against sound parts that are refused because targets crash for other reasons.
#[parameterized(
    one_by_one = { 1, 2_000 },
    every_five_seconds = { 1, 5_000 },
    domains = { 4, 3_000 },
)]
fn sound_requests_are_served_while_targets_crash_by_themselves(together: usize, every_ms: u64) {
    let load = Load {
        crashing_per_s: 0.0,
        lost_together: together,
        other_crash_every: Some(Duration::from_millis(every_ms)),
        ..long_answers()
    };
    check(&load, MAX_REFUSED_SHARE);
}

fn check(load: &Load, max_refused_share: f64) {
    for seed in 0..5 {
        let result = Simulation::new(load.clone(), seed).run(Duration::from_secs(40));
        for (part, crashes) in &result.crashes {
            let Some(fifth) = crashes.get(4) else {
                continue;
            };
            let reached = &result.reached[part];
            let late = reached.iter().filter(|at| **at > *fifth + STABLE_WINDOW);
            assert!(
                late.count() <= MAX_LATE_REQUESTS,
                "seed {seed}: {crashes:?}"
            );
        }
        let refused_share = result.refused_count as f64 / result.sound_count as f64;
        assert!(
            refused_share <= max_refused_share,
            "seed {seed}: {refused_share}"
        );
        println!(
            "seed {seed}: crashes {:?}, refused {refused_share:.4}",
            result.crashes.values().map(Vec::len).collect::<Vec<_>>()
        );
    }
}
