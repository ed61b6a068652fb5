//! Guards against records of crashes that are lost with the instances, or replaced by an instance that has not read them.

use {
    quarantine::{CrashPhase, PhasedVictimReport, VictimReport},
    reconcile::{CrashRecords, StoredCrashes},
    types::{CrashReport, Fingerprint},
    yare::parameterized,
};

/// Report of a request that crashed `count` targets.
fn report(fingerprint: Fingerprint, count: usize) -> CrashReport {
    CrashReport {
        crashes: (0..count)
            .map(|target| format!("t{target}#0").into())
            .collect(),
        fingerprint,
        remaining_ms: 600_000,
    }
}

/// Load: one request after the other crashes its targets.
#[parameterized(
    expired = { &[(1, 3), (2, 3)], &[(2, 3)], true },
    first = { &[], &[(1, 3)], true },
    more_crashes = { &[(1, 3)], &[(1, 4)], true },
    none = { &[], &[], false },
    other_request = { &[(1, 3)], &[(2, 3)], true },
    unchanged = { &[(1, 3), (2, 4)], &[(2, 4), (1, 3)], false },
)]
fn leader_writes_what_has_changed(
    stored: &[(Fingerprint, usize)],
    known: &[(Fingerprint, usize)],
    must_write: bool,
) {
    let reports = |counts: &[(Fingerprint, usize)]| -> Vec<CrashReport> {
        let counts = counts.iter();
        counts
            .map(|(fingerprint, count)| report(*fingerprint, *count))
            .collect()
    };
    let mut records = CrashRecords::default();
    assert!(
        !records.must_write_requests(&reports(known)),
        "written before the store was read"
    );
    records.record_read(&StoredCrashes {
        requests: reports(stored),
        ..StoredCrashes::default()
    });
    assert_eq!(records.must_write_requests(&reports(known)), must_write);
    records.record_requests(&reports(known));
    assert!(!records.must_write_requests(&reports(known)));
}

/// Victim of a crash with one part. Its age grows meanwhile.
fn victim((request, is_cleared, age_ms): (Fingerprint, bool, u64)) -> PhasedVictimReport {
    PhasedVictimReport {
        phase: CrashPhase::BeforeFirstEvent,
        victim: VictimReport {
            account: 1,
            age_ms,
            crash: "t#1".into(),
            is_request_cleared: true,
            parts: vec![(7, is_cleared)],
            request,
        },
    }
}

/// Load: parts become suspects and are cleared, while the victims of their crashes grow older.
#[parameterized(
    cleared = { &[(1, false, 0)], &[], true },
    first = { &[], &[(1, false, 0)], true },
    none = { &[], &[], false },
    older = { &[(1, false, 0), (2, true, 9)], &[(2, true, 709), (1, false, 700)], false },
    part_cleared = { &[(1, false, 0)], &[(1, true, 0)], true },
)]
fn leader_writes_changed_victims(
    stored: &[(Fingerprint, bool, u64)],
    known: &[(Fingerprint, bool, u64)],
    must_write: bool,
) {
    let victims = |victims: &[(Fingerprint, bool, u64)]| -> Vec<PhasedVictimReport> {
        victims.iter().copied().map(victim).collect()
    };
    let mut records = CrashRecords::default();
    assert!(!records.must_write_victims(&victims(known)));
    records.record_read(&StoredCrashes {
        victims: victims(stored),
        ..StoredCrashes::default()
    });
    assert_eq!(records.must_write_victims(&victims(known)), must_write);
    records.record_victims(&victims(known));
    assert!(!records.must_write_victims(&victims(known)));
}

/// Victims are examined once for each change, and again after another leader may have written.
#[test]
fn victims_are_examined_when_they_change() {
    let mut records = CrashRecords::default();
    assert!(records.must_examine(1));
    records.record_examined(1);
    assert!(!records.must_examine(1));
    assert!(records.must_examine(2));
    records.record_read(&StoredCrashes::default());
    assert!(records.must_examine(1));
}
