//! Guards against broken connections that are mistaken for crashes, and against undetected crashes.

use {
    quarantine::{CrashDetector, TargetRun, TargetSign},
    std::time::Duration,
    yare::parameterized,
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn target(id: &str, incarnation: u64) -> TargetRun {
    TargetRun {
        address: ([127, 0, 0, 1], 1).into(),
        id: id.into(),
        incarnation,
    }
}

/// Runs that are found to have crashed by signs of one target, after an interruption at 1 s.
fn crashes(signs: &[(u64, TargetSign)]) -> usize {
    let mut detector = CrashDetector::default();
    detector.record_interruption(at(1_000), target("t", 1), true, ());
    let mut count = 0;
    for (ms, sign) in signs {
        count += detector.record_sign(at(*ms), &target("t", 1), *sign).len();
    }
    count
}

#[parameterized(
    at_once = { 1_000, 1 },
    when_its_entry_lapses = { 4_500, 1 },
    much_later = { 7_000, 0 },
)]
fn end_of_a_target_explains_recent_interruptions(ended_ms: u64, crash_count: usize) {
    for sign in [
        TargetSign::Gone,
        TargetSign::Replaced,
        TargetSign::Restarted,
        TargetSign::Unlisted,
    ] {
        let signs = [(ended_ms, sign), (ended_ms, sign)];
        assert_eq!(crashes(&signs), crash_count, "an interruption counts once");
    }
}

/// A target that answers what was sent after the interruption runs on, so that its later end is no explanation.
#[test]
fn target_that_answers_has_not_ended() {
    let answered = (1_100, TargetSign::Answered(at(1_050)));
    for sign in [TargetSign::Gone, TargetSign::Replaced, TargetSign::Unlisted] {
        assert_eq!(crashes(&[answered, (2_000, sign)]), 0, "{sign:?}");
    }
}

/// The entry of a target that is leaving is removed while it still runs.
#[test]
fn removed_entry_of_a_leaving_target_is_no_crash() {
    let mut detector = CrashDetector::default();
    detector.record_interruption(at(1_000), target("t", 1), false, ());
    let mut record = |ms, sign| detector.record_sign(at(ms), &target("t", 1), sign).len();
    assert_eq!(record(2_000, TargetSign::Unlisted), 0);
    assert_eq!(record(2_100, TargetSign::Gone), 1);
}

/// An answer to an earlier request may arrive late.
#[test]
fn answer_to_an_earlier_request_proves_nothing() {
    let answered = (1_100, TargetSign::Answered(at(900)));
    assert_eq!(crashes(&[answered, (2_000, TargetSign::Gone)]), 1);
}

/// A target that has restarted under its id answers as the one before did.
#[test]
fn restarted_target_answers_but_has_ended() {
    let answered = (1_100, TargetSign::Answered(at(1_050)));
    assert_eq!(crashes(&[answered, (2_000, TargetSign::Restarted)]), 1);
}

/// A target may name its incarnation while it crashes.
#[parameterized(
    at_once = { 1_050, 1 },
    settled = { 1_300, 0 },
)]
fn confirmed_incarnation_has_not_ended(asked_ms: u64, crash_count: usize) {
    let confirmed = (1_400, TargetSign::Confirmed(at(asked_ms)));
    let signs = [confirmed, (2_000, TargetSign::Restarted)];
    assert_eq!(crashes(&signs), crash_count);
}

#[test]
fn signs_concern_one_incarnation() {
    let mut detector = CrashDetector::default();
    detector.record_interruption(at(1_000), target("t", 1), true, "first");
    detector.record_interruption(at(1_000), target("t", 2), true, "second");
    detector.record_interruption(at(1_000), target("u", 1), true, "other");
    let crashed = detector.record_sign(at(1_100), &target("t", 2), TargetSign::Gone);
    let runs: Vec<&str> = crashed.iter().map(|one| one.run).collect();
    assert_eq!(runs, ["second"]);
    assert!(detector.is_pending(&target("t", 1)));
    assert!(!detector.is_pending(&target("t", 2)));
}

/// A lost network connects no target for a while, so that interruptions pile up.
#[test]
fn number_of_interruptions_is_bounded() {
    let mut detector = CrashDetector::default();
    for number in 0..5_000_u64 {
        detector.record_interruption(at(1_000), target("t", 1), true, number);
    }
    let crashed = detector.record_sign(at(1_000), &target("t", 1), TargetSign::Gone);
    assert!(crashed.len() <= 1_024);
    assert_eq!(crashed.last().map(|one| one.run), Some(4_999));
}
