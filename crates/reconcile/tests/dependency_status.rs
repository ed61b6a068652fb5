//! Guards against calling an unavailable dependency too often, and against detecting its recovery
//! too late.

use {forward::Error, reconcile::DependencyStatus, std::time::Duration, yare::parameterized};

fn status_after_failures(count: u32) -> DependencyStatus {
    let mut status = DependencyStatus::new("store");
    for _ in 0..count {
        status.record_failure(Duration::ZERO, &Error::Unknown("silent".into()));
    }
    status
}

#[parameterized(
    first = { 1, 100 },
    second = { 2, 200 },
    later = { 30, 400 },
)]
fn retry_delay_grows_to_its_maximum(failure_count: u32, pause_ms: u64) {
    let pause = status_after_failures(failure_count).retry_delay(false);
    assert_eq!(pause, Duration::from_millis(pause_ms));
}

#[test]
fn retry_delay_is_long_while_peers_answer_and_resets_after_success() {
    let mut status = status_after_failures(30);
    assert!(status.is_failing() && status.retry_delay(true) > Duration::from_secs(1));
    status.record_success(Duration::from_secs(1));
    assert!(!status.is_failing());
    status.record_failure(Duration::from_secs(2), &Error::Unknown("silent".into()));
    assert_eq!(status.retry_delay(false), Duration::from_millis(100));
}
