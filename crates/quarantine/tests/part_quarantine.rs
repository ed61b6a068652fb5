//! Guards against parts of prompts that crash one target after another, and against sound requests that are
//! refused because they share an account or other parts with the crashing ones.

use {
    quarantine::{PartQuarantine, PartSettings, PromptRun, VictimReport},
    std::{collections::BTreeSet, time::Duration},
    yare::parameterized,
};

const START: Duration = Duration::from_secs(100);
const SHARED: u64 = 1;
const CRASHING: u64 = 2;
const ONE: u64 = 71;
const OTHER: u64 = 72;
const THIRD: u64 = 73;

fn new() -> PartQuarantine {
    PartQuarantine::new(PartSettings::default(), 5)
}

fn run(account: u64, request: u64, parts: &[u64]) -> PromptRun {
    PromptRun::new(account, request, parts.iter().copied())
}

fn after(ms: u64) -> Duration {
    START + Duration::from_millis(ms)
}

/// Records a crash of target `index`.
fn crash(quarantine: &mut PartQuarantine, now: Duration, index: u64, run: &PromptRun) {
    assert!(quarantine.record_crash(now, format!("t{index}#1").into(), run));
}

fn is_refused(quarantine: &PartQuarantine, now: Duration, run: &PromptRun) -> bool {
    quarantine.check(now, run, &"id".into()).is_err()
}

/// Guards against a crashing part that is sent on until several targets have crashed, and against the refusal
/// of sound requests with the same account and first part.
#[test]
fn only_requests_with_the_crashing_part_are_refused() {
    let mut quarantine = new();
    crash(&mut quarantine, START, 0, &run(ONE, 1, &[SHARED, CRASHING]));
    let now = after(1_000);
    assert!(is_refused(
        &quarantine,
        now,
        &run(ONE, 2, &[SHARED, CRASHING])
    ));
    assert!(!is_refused(&quarantine, now, &run(ONE, 3, &[SHARED])));
    assert!(!is_refused(&quarantine, now, &run(ONE, 4, &[SHARED, 9])));
    crash(&mut quarantine, now, 1, &run(OTHER, 5, &[8, CRASHING]));
    let now = after(2_000);
    for account in [ONE, OTHER, THIRD] {
        assert!(is_refused(
            &quarantine,
            now,
            &run(account, 6, &[7, CRASHING])
        ));
        assert!(!is_refused(&quarantine, now, &run(account, 7, &[SHARED])));
        assert!(!is_refused(&quarantine, now, &run(account, 8, &[8])));
    }
}

/// Guards against a caller that crashes targets by other means and gets a part that others use refused.
#[parameterized(one_request = { false }, different_requests = { true })]
fn one_account_cannot_get_a_harmless_part_refused_for_others(differ: bool) {
    let mut quarantine = new();
    for index in 0..20 {
        let request = if differ { index } else { 0 };
        let at = after(index * 1_000);
        crash(&mut quarantine, at, index, &run(ONE, request, &[SHARED]));
        assert!(!is_refused(&quarantine, at, &run(OTHER, 99, &[SHARED])));
    }
    let now = after(20_000);
    assert!(is_refused(&quarantine, now, &run(ONE, 98, &[SHARED])));
    let cleared = quarantine.record_first_event(now, &run(OTHER, 99, &[SHARED]));
    assert_eq!(cleared, BTreeSet::from([SHARED]));
    assert!(!is_refused(&quarantine, now, &run(ONE, 98, &[SHARED])));
}

/// Guards against the refusal of a frequent part because a lost failure domain ended many targets at once.
#[test]
fn targets_lost_together_count_as_one_crash() {
    let mut quarantine = new();
    quarantine.record_first_event(START, &run(ONE, 1, &[SHARED]));
    for index in 0..30 {
        let victim = run(100 + index, index, &[SHARED]);
        crash(&mut quarantine, after(index * 9), index, &victim);
    }
    assert!(!is_refused(
        &quarantine,
        after(300),
        &run(100, 99, &[SHARED])
    ));
    let mut fresh = new();
    fresh.merge(after(300), &quarantine.reports(after(300)));
    assert!(!is_refused(&fresh, after(300), &run(ONE, 99, &[SHARED])));
}

/// Guards against a part that crashes targets only since a certain moment and is taken for harmless for ever.
#[test]
fn part_that_was_answered_before_is_refused_after_several_crashes() {
    let mut quarantine = new();
    quarantine.record_first_event(START, &run(ONE, 1, &[CRASHING]));
    for index in 0..3 {
        let at = after(index * 1_000);
        assert!(!is_refused(&quarantine, at, &run(THIRD, 9, &[CRASHING])));
        crash(
            &mut quarantine,
            at,
            index,
            &run(70 + index, index, &[CRASHING]),
        );
    }
    assert!(is_refused(
        &quarantine,
        after(2_100),
        &run(THIRD, 9, &[CRASHING])
    ));
}

/// Guards against a refusal that never ends, and against trials that crash targets again and again.
#[test]
fn refusal_ends_with_a_trial_and_grows_with_each_that_fails() {
    let mut quarantine = new();
    let mut now = START;
    let mut waits = Vec::new();
    for index in 0..6 {
        let crashing = run(ONE, 100 + index, &[CRASHING]);
        crash(&mut quarantine, now, index, &crashing);
        let hold = quarantine.check(now, &crashing, &"id".into()).unwrap_err();
        waits.push(hold.wait.as_secs());
        now += hold.wait;
        let trial = format!("trial{index}").into();
        assert_eq!(quarantine.admit(now, &crashing, &trial), Ok(vec![CRASHING]));
        assert!(
            is_refused(&quarantine, now, &crashing),
            "two trials at once"
        );
        assert_eq!(quarantine.hold(now, &crashing, &trial), None);
    }
    let PartSettings {
        min_hold, max_hold, ..
    } = PartSettings::default();
    assert!(
        waits.is_sorted() && waits[0] >= min_hold.as_secs(),
        "{waits:?}"
    );
    assert!(
        waits[1] >= 2 * waits[0] && waits[5] >= max_hold.as_secs(),
        "{waits:?}"
    );
    assert!(waits[5] < 2 * max_hold.as_secs(), "{waits:?}");
    let sound = run(OTHER, 9, &[CRASHING]);
    quarantine.record_first_event(now, &sound);
    assert!(!is_refused(&quarantine, now, &sound));
}

/// Guards against a request that crashes targets although its parts do not, and that is sent again and again,
/// and against the refusal of a request that was on a crashed target by coincidence.
#[parameterized(with_a_known_part = { &[SHARED] }, without_parts = { &[] })]
fn request_is_refused_as_a_whole_after_two_crashes(parts: &[u64]) {
    let mut quarantine = new();
    quarantine.record_first_event(START, &run(ONE, 9, parts));
    let crashing = run(ONE, 1, parts);
    crash(&mut quarantine, START, 0, &crashing);
    assert!(!is_refused(&quarantine, after(100), &crashing));
    crash(&mut quarantine, after(100), 1, &crashing);
    let mut other = new();
    other.record_first_event(START, &run(ONE, 9, parts));
    other.merge(after(200), &quarantine.reports(after(200)));
    for quarantine in [&mut quarantine, &mut other] {
        assert!(is_refused(quarantine, after(200), &crashing));
        assert!(!is_refused(quarantine, after(200), &run(ONE, 2, parts)));
        quarantine.record_first_event(after(300), &crashing);
        assert!(!is_refused(quarantine, after(300), &crashing));
    }
}

/// Guards against a request that is forgotten, and crashes further targets, before its hold is over.
#[test]
fn request_is_remembered_until_its_trial() {
    let mut quarantine = new();
    let crashing = run(ONE, 1, &[]);
    crash(&mut quarantine, START, 0, &crashing);
    crash(&mut quarantine, after(100), 1, &crashing);
    let hold = quarantine.check(after(200), &crashing, &"id".into());
    let trial_at = after(200) + hold.unwrap_err().wait;
    quarantine.tick(trial_at);
    let tried = quarantine.admit(trial_at, &crashing, &"id".into());
    assert_eq!(tried, Ok(vec![crashing.request]));
}

/// Guards against trials of several instances that each crash a target although the first one was enough.
#[test]
fn trial_is_stopped_when_another_instance_reports_a_crash() {
    let (mut first, mut second) = (new(), new());
    let crashing = run(ONE, 1, &[CRASHING]);
    crash(&mut first, START, 0, &crashing);
    second.merge(START, &first.reports(START));
    let now = START + PartSettings::default().min_hold * 2;
    let trial = "trial".into();
    assert!(second.admit(now, &crashing, &trial).is_ok());
    assert_eq!(second.hold(now, &crashing, &trial), None);
    crash(&mut first, now, 1, &run(ONE, 2, &[CRASHING]));
    second.merge(now, &first.reports(now));
    assert!(second.hold(now, &crashing, &trial).is_some());
}

/// Guards against a trial without a result that blocks a part for good.
#[test]
fn trial_without_a_result_is_followed_by_another_one() {
    let mut quarantine = new();
    let crashing = run(ONE, 1, &[CRASHING]);
    crash(&mut quarantine, START, 0, &crashing);
    let hold = quarantine
        .check(START, &crashing, &"id".into())
        .unwrap_err();
    let now = START + hold.wait;
    assert!(quarantine.admit(now, &crashing, &"lost".into()).is_ok());
    let hold = quarantine.check(now, &crashing, &"id".into()).unwrap_err();
    assert!(!is_refused(&quarantine, now + hold.wait, &crashing));
}

/// Guards against evidence that is lost with the instance that saw it, that is extended by being reported back
/// and forth, and against a cleared part that comes back with an old report.
#[test]
fn instances_that_exchanged_reports_decide_alike() {
    let (mut first, mut second) = (new(), new());
    crash(&mut first, START, 0, &run(ONE, 1, &[SHARED, CRASHING]));
    let mut now = after(1_000);
    crash(&mut second, now, 1, &run(OTHER, 2, &[CRASHING]));
    let old: Vec<VictimReport> = first.reports(now);
    for _ in 0..50 {
        let sent = now;
        now += Duration::from_millis(100);
        second.merge(now, &first.reports(sent));
        first.merge(now, &second.reports(sent));
    }
    assert_eq!(first.digest(), second.digest());
    assert!(!second.merge(now, &first.reports(now)), "nothing is new");
    for quarantine in [&first, &second] {
        let hold = quarantine.check(now, &run(THIRD, 3, &[CRASHING]), &"id".into());
        let hold = hold.unwrap_err();
        assert_eq!((hold.crash_count, hold.is_account_only), (2, false));
        // One report took 100 ms; none of the later ones may make the crash younger.
        assert!(hold.last_crash_age >= Duration::from_millis(4_900));
    }
    second.record_first_event(now, &run(THIRD, 4, &[SHARED]));
    first.merge(now, &second.reports(now));
    first.merge(now, &old);
    assert!(!is_refused(&first, now, &run(ONE, 5, &[SHARED])));
    let late = now + Duration::from_secs(1_200);
    for quarantine in [&mut first, &mut second] {
        quarantine.tick(late);
        assert_eq!(quarantine.reports(late), []);
    }
}

/// Guards against a caller that fills the memory of an instance and its messages to others.
#[test]
fn number_of_victims_and_parts_is_bounded() {
    let mut quarantine = new();
    for index in 0..2_000 {
        let parts: Vec<u64> = (0..500).map(|part| index * 1_000 + part).collect();
        crash(
            &mut quarantine,
            after(index),
            index,
            &run(ONE, index, &parts),
        );
    }
    let reports = quarantine.reports(after(2_000));
    assert_eq!(reports.len(), 128);
    assert!(reports.iter().all(|report| report.parts.len() == 64));
    assert_eq!(reports.iter().map(|report| report.age_ms).max(), Some(128));
}
