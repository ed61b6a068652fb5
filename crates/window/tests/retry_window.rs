//! Guards against counts that expire too early or never.

use {
    std::time::Duration,
    window::{Counts, RetryWindow},
    yare::parameterized,
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[parameterized(
    same_bucket = { 1_050, 1 },
    last_bucket_of_the_window = { 1_999, 1 },
    one_bucket_later = { 2_000, 0 },
    much_later = { 1_000_000_000, 0 },
)]
fn counts_expire_after_the_window(now_ms: u64, count: u32) {
    let mut window = RetryWindow::new(at(100));
    window.record_request(at(1_000));
    window.record_retry(at(1_099));
    let expected = Counts {
        retries: count,
        requests: count,
    };
    assert_eq!(window.counts(at(now_ms)), expected);
}

#[test]
fn earlier_time_counts_in_the_current_bucket() {
    let mut window = RetryWindow::new(at(100));
    window.record_request(at(5_000));
    window.record_request(at(3_000));
    assert_eq!(window.counts(at(5_900)).requests, 2);
    assert_eq!(window.counts(at(6_000)).requests, 0);
}
