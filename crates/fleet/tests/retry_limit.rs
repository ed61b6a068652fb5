//! Guards against instances that together send more retries than allowed because some of them restart or see
//! different lists of instances.

use {
    fleet::{RetryBudget, RetryShare},
    std::time::Duration,
    yare::parameterized,
};

const WINDOW: Duration = Duration::from_secs(10);
/// Time after a start without a share in the extra retries.
const HOLD: Duration = Duration::from_secs(15);
const RATIO: f64 = 0.2;
const EXTRA: f64 = 200.0;
/// Share of the extra retries that instances use, as on the users' platform.
const USED_SHARE: f64 = 0.8;
const STEP: Duration = Duration::from_millis(10);

/// Something that happens to an instance.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// It ends, and starts again at once without any memory.
    Restart,
    /// It receives a list with this number of instances from the leader.
    List(usize),
    /// It finds no leader, and lists the instances that it knows.
    OwnList(usize),
    /// It sends no more retries, although it could.
    Pause,
    /// It sends a retry whenever it may, as at the start.
    Resume,
}

struct Instance {
    budget: RetryBudget,
    is_paused: bool,
    share: RetryShare,
}

impl Instance {
    fn start(now: Duration) -> Self {
        Self {
            budget: RetryBudget::new(RATIO, WINDOW),
            is_paused: false,
            share: RetryShare::new(EXTRA * USED_SHARE, now + HOLD),
        }
    }

    fn apply(&mut self, now: Duration, event: Event) {
        match event {
            Event::Restart => *self = Self::start(now),
            Event::List(count) => {
                self.share.set_instance_count(now, count);
                self.share.confirm(now);
            }
            Event::OwnList(count) => self.share.set_instance_count(now, count),
            Event::Pause => self.is_paused = true,
            Event::Resume => self.is_paused = false,
        }
    }

    fn try_retry(&mut self, now: Duration) -> bool {
        !self.is_paused && self.budget.try_retry(now, self.share.extra_retries(now))
    }
}

/// Plays 60 s in which each instance receives `requests_per_s` and sends a retry whenever it may. Returns the
/// largest number of retries in any window beyond those that the targets allow in it.
fn worst_excess(
    instance_count: usize,
    requests_per_s: u64,
    events: impl Fn(usize) -> Vec<(u64, Event)>,
) -> f64 {
    let mut instances: Vec<Instance> = (0..instance_count)
        .map(|_| Instance::start(Duration::ZERO))
        .collect();
    let mut events: Vec<_> = (0..instance_count).map(events).collect();
    for list in &mut events {
        list.insert(0, (0, Event::List(instance_count)));
        list.reverse();
    }
    let (mut requested_at, mut retried_at) = (Vec::new(), Vec::new());
    for step in 0..6_000_u64 {
        let now = STEP * step as u32;
        for (instance, events) in instances.iter_mut().zip(&mut events) {
            while events
                .last()
                .is_some_and(|(at_ms, _)| u128::from(*at_ms) <= now.as_millis())
            {
                let (_, event) = events.pop().expect("an event is left");
                instance.apply(now, event);
            }
            if step * requests_per_s / 100 != (step + 1) * requests_per_s / 100 {
                requested_at.push(now);
                instance.budget.record_request(now);
            }
            while instance.try_retry(now) {
                retried_at.push(now);
            }
        }
    }
    let count = |times: &[Duration], start: Duration| {
        let first = times.partition_point(|at| *at < start);
        times.partition_point(|at| *at < start + WINDOW) - first
    };
    let mut worst = f64::MIN;
    for start in &retried_at {
        let requests = [
            *start,
            start.saturating_sub(WINDOW),
            start.saturating_sub(WINDOW / 2),
        ];
        let requests = requests.map(|start| count(&requested_at, start));
        let most = requests.into_iter().max().unwrap_or_default();
        let allowed = RATIO * most as f64 + EXTRA;
        worst = worst.max(count(&retried_at, *start) as f64 - allowed);
    }
    worst
}

/// After a restart the list is known 300 ms later, as it comes from another instance.
fn restart_at(at_ms: u64, instance_count: usize) -> [(u64, Event); 2] {
    [
        (at_ms, Event::Restart),
        (at_ms + 300, Event::List(instance_count)),
    ]
}

#[parameterized(
    small = { 8, 6 },
    busy = { 8, 20 },
    large = { 295, 1 },
)]
fn rolling_restarts_stay_within_the_limit(instance_count: usize, requests_per_s: u64) {
    let excess = worst_excess(instance_count, requests_per_s, |index| {
        let at_ms = 25_000 + 4_000 * index as u64 / instance_count as u64;
        [
            restart_at(at_ms, instance_count),
            restart_at(at_ms + 7_000, instance_count),
        ]
        .concat()
    });
    assert!(excess <= 0.0, "{excess} retries too many");
}

#[parameterized(
    small = { 8, 6 },
    busy = { 8, 20 },
    large = { 295, 1 },
)]
fn repeated_kills_of_all_instances_stay_within_the_limit(
    instance_count: usize,
    requests_per_s: u64,
) {
    let excess = worst_excess(instance_count, requests_per_s, |_| {
        [
            restart_at(25_000, instance_count),
            restart_at(29_000, instance_count),
            restart_at(33_000, instance_count),
        ]
        .concat()
    });
    assert!(excess <= 0.0, "{excess} retries too many");
}

/// Those that are left see a shorter list, and the others come back later.
#[parameterized(
    half = { 4 },
    all_but_one = { 1 },
)]
fn instances_that_lose_sight_of_others_stay_within_the_limit(seen_count: usize) {
    let excess = worst_excess(8, 6, |_| {
        vec![
            (24_000, Event::Pause),
            (25_000, Event::OwnList(seen_count)),
            (25_100, Event::Resume),
            (33_000, Event::List(8)),
        ]
    });
    assert!(excess <= 0.0, "{excess} retries too many");
}

/// Before a leader is found, each instance knows only itself.
#[test]
fn instances_that_start_alone_stay_within_the_limit() {
    let excess = worst_excess(8, 6, |_| {
        vec![(25_000, Event::Restart), (25_100, Event::OwnList(1))]
    });
    assert!(excess <= 0.0, "{excess} retries too many");
}

/// The instances on the side of the leader no longer count the others after some time.
#[test]
fn lists_that_differ_for_long_stay_within_the_limit() {
    let mut share = RetryShare::new(EXTRA, Duration::ZERO);
    let mut cut_off = share.clone();
    share.set_instance_count(Duration::ZERO, 8);
    cut_off.set_instance_count(Duration::ZERO, 8);
    cut_off.confirm(Duration::ZERO);
    for second in 0..3_600 {
        let now = Duration::from_secs(second);
        share.set_instance_count(now, 4);
        share.confirm(now);
        cut_off.set_instance_count(now, 4);
        // What the others have used within the last window still counts.
        let before = cut_off.extra_retries(now.saturating_sub(WINDOW));
        let sum = 4.0 * share.extra_retries(now) + 4.0 * before;
        assert!(sum <= EXTRA, "{sum} after {second} s");
    }
    assert!(share.extra_retries(Duration::from_secs(3_599)) > EXTRA / 8.0);
}

/// The shares of instances that end were used just before.
#[test]
fn remaining_instances_stay_within_the_limit() {
    let excess = worst_excess(8, 0, |index| match index {
        0..5 => vec![
            (0, Event::Pause),
            (24_500, Event::Resume),
            (25_000, Event::Pause),
        ],
        _ => vec![(28_500, Event::List(3))],
    });
    assert!(excess <= 0.0, "{excess} retries too many");
}

/// Buckets of a window may be cleared while their first retries are still counted by the targets.
#[test]
fn two_bursts_within_one_window_stay_within_the_limit() {
    let excess = worst_excess(8, 0, |_| {
        vec![
            (0, Event::Pause),
            (20_950, Event::Resume),
            (20_990, Event::Pause),
            (30_010, Event::Resume),
            (30_050, Event::Pause),
        ]
    });
    assert!(excess <= 0.0, "{excess} retries too many");
}
