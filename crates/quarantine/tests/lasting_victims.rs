//! Guards against parts that crash targets and are unknown again when all instances have ended: what outlasts them must
//! refuse such a part, and no sound one.

use {
    quarantine::{CrashPhase, PartQuarantine, PartSettings, PromptRun, fingerprint},
    std::{collections::BTreeSet, time::Duration},
    yare::parameterized,
};

const CRASHING: u64 = 4;
const FIRST: u64 = 5;
/// Most victims and parts that a row of the store holds.
const MAX_VICTIMS: usize = 64;
const MAX_PARTS: usize = 512;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn quarantine() -> PartQuarantine {
    PartQuarantine::new(PartSettings::default(), 1)
}

fn run(request: u64, parts: &[u64]) -> PromptRun {
    PromptRun::new(1, request, parts.iter().copied())
}

/// Load: a part crashes targets, each of which runs sound requests too, whose streams then go on elsewhere.
fn known_after_crashes(phase: CrashPhase) -> PartQuarantine {
    let mut quarantine = quarantine();
    for crash in 0..4_u64 {
        let now = at(1_000 * crash);
        let id = format!("t#{crash}");
        let crashing = run(100 + crash, &[FIRST, CRASHING]);
        quarantine.record_crash_in(phase, now, id.as_str().into(), &crashing);
        for number in 0..20 {
            let sound = run(200 + 20 * crash + number, &[FIRST, 300 + number]);
            quarantine.record_crash_in(phase, now, id.as_str().into(), &sound);
            quarantine.record_completion(now + at(100), &sound);
        }
    }
    quarantine
}

#[parameterized(
    before_first_event = { CrashPhase::BeforeFirstEvent },
    before_head = { CrashPhase::BeforeHead },
    behind_first_event = { CrashPhase::AfterFirstEvent(Duration::from_millis(20)) },
)]
fn instance_that_starts_refuses_what_others_did(phase: CrashPhase) {
    let now = at(4_500);
    let reports = known_after_crashes(phase).refused_reports(now);
    let requests: BTreeSet<u64> = reports.iter().map(|report| report.victim.request).collect();
    assert_eq!(
        requests,
        [100, 101, 102, 103].into(),
        "only these are needed"
    );
    let mut started = quarantine();
    started.merge_phased(now, &reports);
    let crashing = run(900, &[FIRST, CRASHING]);
    assert!(started.check(now, &crashing, &"r".into()).is_err());
    for sound in [run(901, &[FIRST, 300]), run(902, &[FIRST])] {
        assert!(started.check(now, &sound, &"r".into()).is_ok());
    }
}

/// Requests with many parts, each of which is a suspect, must fit into a row.
#[test]
fn number_of_lasting_victims_and_parts_is_bounded() {
    let mut quarantine = quarantine();
    for crash in 0..120_u64 {
        let parts: Vec<u64> = (0..1 + crash)
            .map(|part| fingerprint(&[&crash.to_le_bytes(), &[part as u8]]))
            .collect();
        quarantine.record_crash(
            at(1_000 * crash),
            format!("t#{crash}").into(),
            &run(crash, &parts),
        );
    }
    let reports = quarantine.refused_reports(at(120_000));
    let parts: usize = reports.iter().map(|report| report.victim.parts.len()).sum();
    assert!(
        !reports.is_empty() && reports.len() <= MAX_VICTIMS,
        "{}",
        reports.len()
    );
    assert!(parts <= MAX_PARTS, "{parts}");
    let latest = reports.first().map(|report| report.victim.request);
    assert_eq!(latest, Some(119));
}
