//! Guards against requests that are dated by when they are read, although they arrived while the instance did not run.

use {clock::RunMonitor, std::time::Duration, yare::parameterized};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Monitor that ticked in time until `stopped_at`.
fn running_until(stopped_at: Duration) -> RunMonitor {
    let monitor = RunMonitor::new(Duration::ZERO);
    let mut now = Duration::ZERO;
    while now < stopped_at {
        now += RunMonitor::TICK_INTERVAL;
        assert_eq!(monitor.tick(now), None);
    }
    monitor
}

/// Load: a request every 10 ms while the instance does not run from 1 s to 3 s.
#[parameterized(
    while_it_runs = { &[], 1_050, 0, 1_050 },
    first_read_after_a_gap = { &[], 3_000, 0, 1_000 },
    empty_in_the_gap = { &[], 3_000, 1_800, 1_800 },
    after_the_late_tick = { &[3_000], 3_010, 0, 1_000 },
    empty_since_the_late_tick = { &[3_000], 3_050, 3_000, 3_000 },
    second_gap_before_all_is_read = { &[3_000, 3_100, 3_900], 3_910, 0, 1_000 },
    after_one_tick_in_time = { &[3_000, 3_100], 3_110, 0, 1_000 },
    after_two_ticks_in_time = { &[3_000, 3_100, 3_200], 3_210, 0, 3_210 },
    gap_within_the_tolerance = { &[1_200], 1_210, 0, 1_210 },
)]
fn bytes_are_dated_no_later_than_they_arrived(
    ticks: &[u64],
    read_at: u64,
    empty_at: u64,
    expected: u64,
) {
    let monitor = running_until(ms(1_000));
    for tick in ticks {
        monitor.tick(ms(*tick));
    }
    let arrival = monitor.earliest_arrival(ms(read_at), ms(empty_at));
    assert_eq!(arrival, ms(expected));
}

/// A gap is reported once, with its length.
#[test]
fn gaps_are_reported() {
    let monitor = running_until(ms(1_000));
    assert_eq!(monitor.tick(ms(3_000)), Some(ms(2_000)));
    assert_eq!(monitor.tick(ms(3_100)), None);
}
