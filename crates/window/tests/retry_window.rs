//! Guards against counts that leave the window too early, or never.

use {
    std::time::Duration,
    window::{Counts, RepeatWindow},
    yare::parameterized,
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[parameterized(
    same_span = { 1_050, 1 },
    last_span_of_the_window = { 1_999, 1 },
    one_span_later = { 2_000, 0 },
    much_later = { 1_000_000_000, 0 },
)]
fn counts_leave_after_the_window(now_ms: u64, count: u32) {
    let mut window = RepeatWindow::new(at(100));
    window.requested(at(1_000));
    window.repeated(at(1_099));
    let expected = Counts {
        repeats: count,
        requests: count,
    };
    assert_eq!(window.counts(at(now_ms)), expected);
}

#[test]
fn earlier_time_counts_in_the_current_span() {
    let mut window = RepeatWindow::new(at(100));
    window.requested(at(5_000));
    window.requested(at(3_000));
    assert_eq!(window.counts(at(5_900)).requests, 2);
    assert_eq!(window.counts(at(6_000)).requests, 0);
}
