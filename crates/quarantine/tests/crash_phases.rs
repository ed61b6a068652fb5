//! Guards against parts of prompts that crash targets outside of the moment between the head of an answer and its first
//! event, and against sound parts that are refused because their requests were interrupted too.

use {
    quarantine::{CrashPhase, PartQuarantine, PartSettings, PromptRun},
    std::time::Duration,
    yare::parameterized,
};

const START: Duration = Duration::from_secs(100);
const SHARED: u64 = 1;
const CRASHING: u64 = 2;
const ONE: u64 = 71;
const OTHER: u64 = 72;

fn new() -> PartQuarantine {
    PartQuarantine::new(PartSettings::default(), 5)
}

fn run(account: u64, request: u64, parts: &[u64]) -> PromptRun {
    PromptRun::new(account, request, parts.iter().copied())
}

fn after(ms: u64) -> Duration {
    START + Duration::from_millis(ms)
}

fn is_refused(quarantine: &PartQuarantine, now: Duration, run: &PromptRun) -> bool {
    quarantine.check(now, run, &"id".into()).is_err()
}

/// Records a crash of target `index` between the head of an answer and its first event.
fn crash(quarantine: &mut PartQuarantine, now: Duration, index: u64, run: &PromptRun) {
    assert!(quarantine.record_crash(now, format!("t{index}#1").into(), run));
}

/// Records a crash of target `index`, `ms` after the first event of an answer.
fn crash_after(
    quarantine: &mut PartQuarantine,
    now: Duration,
    index: u64,
    run: &PromptRun,
    ms: u64,
) {
    let phase = CrashPhase::AfterFirstEvent(Duration::from_millis(ms));
    quarantine.record_crash_in(phase, now, format!("t{index}#1").into(), run);
}

/// Guards against a part that crashes targets behind the first event and is cleared by that event.
#[test]
fn answer_that_has_begun_does_not_clear_a_part_that_crashes_later() {
    let mut quarantine = new();
    for index in 0..3 {
        let (at, crashing) = (
            after(index * 1_000),
            run(ONE + index, index, &[SHARED, CRASHING]),
        );
        assert!(!is_refused(&quarantine, at, &crashing), "{index}");
        quarantine.record_first_event(at, &crashing);
        crash_after(&mut quarantine, at, index, &crashing, 20);
        quarantine.record_completion(at, &run(ONE, 90 + index, &[SHARED]));
    }
    let now = after(2_100);
    assert!(is_refused(
        &quarantine,
        now,
        &run(ONE, 9, &[SHARED, CRASHING])
    ));
    assert!(!is_refused(&quarantine, now, &run(ONE, 9, &[SHARED])));
    assert!(!is_refused(&quarantine, now, &run(ONE, 9, &[SHARED, 9])));
}

/// Guards against a part that stays a suspect although answers go on for longer than those that were interrupted,
/// and against one that is cleared for good by an answer that went on for less.
#[parameterized(less = { 1_000, true }, more = { 3_000, false })]
fn part_is_cleared_by_an_answer_that_goes_on_for_longer(answered_ms: u64, is_refused_then: bool) {
    let mut quarantine = new();
    for index in 0..3 {
        let crashing = run(ONE, index, &[CRASHING]);
        crash_after(&mut quarantine, after(index * 1_000), index, &crashing, 500);
    }
    let now = after(2_500);
    let answered = Duration::from_millis(answered_ms);
    quarantine.record_progress(now, &run(ONE, 8, &[CRASHING]), answered);
    let is_refused = is_refused(&quarantine, now, &run(ONE, 9, &[CRASHING]));
    assert_eq!(is_refused, is_refused_then);
}

/// Guards against the refusal of a sound part whose only request was resumed at one crashing target after another.
#[test]
fn one_request_that_is_interrupted_again_and_again_does_not_get_its_parts_refused() {
    let mut quarantine = new();
    let interrupted = run(ONE, 1, &[CRASHING]);
    for index in 0..6 {
        let at = after(index * 1_000);
        crash_after(&mut quarantine, at, index, &interrupted, 100);
    }
    assert!(!is_refused(
        &quarantine,
        after(6_000),
        &run(ONE, 9, &[CRASHING])
    ));
}

/// Guards against reports of each crash about the sound requests of its target: answers that go on elsewhere clear
/// their parts before other instances need to know.
#[test]
fn crash_is_reported_late_if_all_parts_were_answered_before() {
    let mut quarantine = new();
    let sound = run(ONE, 1, &[SHARED]);
    quarantine.record_completion(START, &sound);
    crash_after(&mut quarantine, START, 0, &sound, 20);
    assert_eq!(quarantine.phased_reports(START), []);
    assert_eq!(quarantine.phased_reports(after(1_000)).len(), 1);
    quarantine.record_completion(after(500), &run(ONE, 2, &[SHARED]));
    assert_eq!(quarantine.phased_reports(after(1_000)), []);
}

/// Guards against an instance of an earlier version that refuses sound requests because of crashes that it takes for
/// others, and against one that clears what a newer one suspects.
#[test]
fn earlier_versions_are_told_only_of_crashes_that_they_know() {
    let mut newer = new();
    for index in 0..3 {
        let crashing = run(ONE + index, index, &[CRASHING]);
        crash_after(&mut newer, after(index * 1_000), index, &crashing, 20);
    }
    crash(&mut newer, after(2_000), 7, &run(ONE, 7, &[8]));
    let now = after(2_100);
    let told = newer.reports(now);
    let crashes: Vec<&str> = told.iter().map(|report| &*report.crash).collect();
    assert_eq!(crashes, ["t7#1"]);
    let mut earlier = new();
    earlier.merge(now, &told);
    assert_eq!(earlier.digest(), newer.digest());
    earlier.record_first_event(now, &run(ONE, 10, &[8, CRASHING]));
    assert!(newer.merge(now, &earlier.reports(now)));
    assert!(!is_refused(&newer, now, &run(ONE, 11, &[8])));
    assert!(is_refused(&newer, now, &run(OTHER, 11, &[CRASHING])));
}

/// Guards against crashes in other phases that only the instance that saw them knows.
#[test]
fn crashes_in_all_phases_are_shared() {
    let (mut first, mut second) = (new(), new());
    for index in 0..3 {
        let at = after(index * 1_000);
        let quarantine = if index == 1 { &mut second } else { &mut first };
        crash_after(quarantine, at, index, &run(ONE, index, &[CRASHING]), 20);
    }
    let now = after(2_100);
    second.merge_phased(now, &first.phased_reports(now));
    first.merge_phased(now, &second.phased_reports(now));
    assert_eq!(first.phased_digest(now), second.phased_digest(now));
    for quarantine in [&first, &second] {
        assert!(is_refused(quarantine, now, &run(ONE, 9, &[CRASHING])));
    }
}

/// Guards against sound long answers of a target that count against their parts when it crashes.
#[test]
fn crash_long_after_the_first_event_counts_against_no_part() {
    let mut quarantine = new();
    crash_after(&mut quarantine, START, 0, &run(ONE, 1, &[CRASHING]), 60_000);
    assert_eq!(quarantine.phased_reports(START), []);
}

/// Guards against a malformed report that ends the process.
#[test]
fn report_of_an_impossible_phase_is_ignored() {
    let mut quarantine = new();
    crash(&mut quarantine, START, 0, &run(ONE, 1, &[CRASHING]));
    let mut reports = quarantine.phased_reports(START);
    reports[0].phase = CrashPhase::AfterFirstEvent(Duration::MAX);
    let mut other = new();
    assert!(!other.merge_phased(START, &reports));
    other.record_completion(START, &run(ONE, 2, &[CRASHING]));
    assert_eq!(other.phased_reports(START), []);
}
