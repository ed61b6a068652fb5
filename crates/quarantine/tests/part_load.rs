//! Load with parts of prompts that crash targets, over many instances in virtual time. Guards against more
//! crashes than the users' limits allow, and against sound requests that are refused meanwhile.

mod support;

use {
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
            refused_share <= MAX_REFUSED_SHARE,
            "seed {seed}: {refused_share}"
        );
        println!(
            "seed {seed}: crashes {:?}, refused {refused_share:.4}",
            result.crashes.values().map(Vec::len).collect::<Vec<_>>()
        );
    }
}
