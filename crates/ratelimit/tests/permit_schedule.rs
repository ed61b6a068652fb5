//! Guards against permits that exceed a limit, and against waits that are not true.

use {
    proptest::prelude::*,
    ratelimit::{Permit, PermitSchedule},
    std::time::Duration,
    yare::parameterized,
};

const SECOND: Duration = Duration::from_secs(1);
/// Window over which a target counts its requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests that a target tolerates within `WINDOW`.
fn tolerated(rate_per_s: f64) -> f64 {
    rate_per_s * 1.5 * WINDOW.as_secs_f64() + 5.0
}

/// Largest number of times in any window.
fn busiest_window(times: &mut [Duration]) -> usize {
    times.sort_unstable();
    let in_window = |start: &Duration| {
        let inside = times
            .iter()
            .filter(|at| **at >= *start && **at < *start + WINDOW);
        inside.count()
    };
    times.iter().map(in_window).max().unwrap_or_default()
}

#[test]
fn permits_are_spaced_at_the_rate() {
    let mut schedule = PermitSchedule::new(Duration::ZERO, 2.0);
    let half = Duration::from_millis(500);
    for _ in 0..2 {
        assert_eq!(
            schedule.take(SECOND, Duration::ZERO),
            Permit::Granted(Duration::ZERO)
        );
    }
    assert_eq!(schedule.take(SECOND, Duration::ZERO), Permit::Denied(half));
    assert_eq!(schedule.take(SECOND, half), Permit::Granted(half));
    assert_eq!(schedule.take(SECOND, half), Permit::Denied(SECOND));
    assert_eq!(
        schedule.take(SECOND * 2, half),
        Permit::Granted(Duration::ZERO)
    );
}

#[test]
fn share_starts_without_permits() {
    let mut schedule = PermitSchedule::empty(SECOND, 0.25);
    let four = Duration::from_secs(4);
    assert_eq!(schedule.take(SECOND, Duration::ZERO), Permit::Denied(four));
    assert_eq!(
        schedule.take(SECOND + four, Duration::ZERO),
        Permit::Granted(Duration::ZERO)
    );
}

#[parameterized(
    rises = { 1.0, 10.0, Duration::from_millis(300) },
    falls = { 10.0, 1.0, Duration::from_secs(3) },
)]
fn reserved_permits_keep_their_number_when_the_rate_changes(
    before: f64,
    after: f64,
    expected: Duration,
) {
    let mut schedule = PermitSchedule::empty(Duration::ZERO, before);
    let interval = Duration::from_secs_f64(1.0 / before);
    for number in 0..2 {
        let wait = schedule.take(Duration::ZERO, interval * 3);
        assert!(matches!(wait, Permit::Granted(_)), "{number}");
    }
    schedule.set_rate(Duration::ZERO, after);
    let Permit::Denied(wait) = schedule.take(Duration::ZERO, Duration::ZERO) else {
        panic!("a permit before its time");
    };
    assert!(
        wait.abs_diff(expected) < Duration::from_millis(1),
        "{wait:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// Any pattern of requests, with any waits.
    #[test]
    fn no_window_exceeds_the_limit(
        rate_per_s in 0.05_f64..60.0,
        requests in prop::collection::vec((0_u64..200, 0_u64..2_000), 1..400),
    ) {
        let mut schedule = PermitSchedule::new(Duration::ZERO, rate_per_s);
        let mut now = Duration::ZERO;
        let mut sent = Vec::new();
        for (pause_ms, max_wait_ms) in requests {
            now += Duration::from_millis(pause_ms);
            let max_wait = Duration::from_millis(max_wait_ms);
            if let Permit::Granted(wait) = schedule.take(now, max_wait) {
                prop_assert!(wait <= max_wait);
                sent.push(now + wait);
            }
        }
        let most = busiest_window(&mut sent);
        prop_assert!(most as f64 <= tolerated(rate_per_s), "{most} at {rate_per_s} per second");
    }

    /// The wait that a denied request is told.
    #[test]
    fn permit_is_available_after_the_announced_wait(
        rate_per_s in 0.05_f64..60.0,
        reserved in 1_usize..30,
    ) {
        let mut schedule = PermitSchedule::new(Duration::ZERO, rate_per_s);
        for _ in 0..reserved {
            schedule.take(SECOND, Duration::from_secs(1_000));
        }
        let announced = schedule.take(SECOND, Duration::ZERO);
        let wait = match announced {
            Permit::Denied(wait) => wait,
            Permit::Granted(_) => return Ok(()),
        };
        prop_assert_eq!(schedule.take(SECOND + wait, Duration::ZERO), Permit::Granted(Duration::ZERO));
    }
}
