//! Guards against records of crashes that are lost with the instances, or replaced by an instance that has not read them.

use {
    reconcile::CrashRecords,
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
        !records.must_write(&reports(known)),
        "written before the store was read"
    );
    records.record_stored(&reports(stored));
    assert_eq!(records.must_write(&reports(known)), must_write);
    records.record_stored(&reports(known));
    assert!(!records.must_write(&reports(known)));
}
