//! Guards against calls that press a dependency that does not answer, and against one that is back and
//! not found.

use {forward::Error, reconcile::Link, std::time::Duration, yare::parameterized};

fn failed(count: u32) -> Link {
    let mut link = Link::new("store");
    for _ in 0..count {
        link.failed(Duration::ZERO, &Error::Unknown("silent".into()));
    }
    link
}

#[parameterized(
    first = { 1, 100 },
    second = { 2, 200 },
    later = { 30, 400 },
)]
fn pause_grows_to_its_longest(failure_count: u32, pause_ms: u64) {
    let pause = failed(failure_count).pause(false);
    assert_eq!(pause, Duration::from_millis(pause_ms));
}

#[test]
fn pause_is_long_while_others_answer_and_short_after_an_answer() {
    let mut link = failed(30);
    assert!(link.is_lost() && link.pause(true) > Duration::from_secs(1));
    link.answered(Duration::from_secs(1));
    assert!(!link.is_lost());
    link.failed(Duration::from_secs(2), &Error::Unknown("silent".into()));
    assert_eq!(link.pause(false), Duration::from_millis(100));
}
