//! Guards against broken connections that are mistaken for crashes, and against undetected crashes.

use {
    quarantine::{CrashDetector, InterruptedRun},
    std::time::Duration,
    yare::parameterized,
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn run(target: &str) -> InterruptedRun {
    InterruptedRun {
        fingerprint: 7,
        incarnation: 1,
        request: "r".into(),
        target: target.into(),
        was_suspect: false,
    }
}

#[parameterized(
    at_once = { 1_000, 1 },
    when_its_entry_lapses = { 4_500, 1 },
    much_later = { 7_000, 0 },
)]
fn end_of_a_target_explains_recent_interruptions(ended_ms: u64, crash_count: usize) {
    let mut watch = CrashDetector::default();
    watch.record_interruption(at(1_000), run("t"));
    let crashed = watch.take_crashed(at(ended_ms), |run| &*run.target == "t");
    assert_eq!(crashed.len(), crash_count);
    let again = watch.take_crashed(at(ended_ms), |_| true);
    assert_eq!(again, [], "an interrupted run counts once");
}

#[test]
fn target_that_answers_has_not_ended() {
    let mut watch = CrashDetector::default();
    watch.record_interruption(at(1_000), run("t"));
    watch.record_interruption(at(1_000), run("u"));
    watch.record_answer(&"t".into(), 1);
    watch.record_answer(&"u".into(), 2);
    assert_eq!(watch.take_crashed(at(2_000), |_| true), [run("u")]);
}
