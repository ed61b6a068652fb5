//! Guards against an instance that uses the configuration of an older copy of the store, or that waits although the
//! store was not restored.

use {reconcile::StoreTrust, std::time::Duration};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Checks every 5 ms from `from_ms` on, as an instance that runs does. Returns the result at `to_ms`.
fn is_usable_after_waiting(trust: &mut StoreTrust, from_ms: u64, to_ms: u64) -> bool {
    for ms in (from_ms..to_ms).step_by(5) {
        assert!(!trust.is_usable(at(ms)), "usable at {ms} ms");
    }
    trust.is_usable(at(to_ms))
}

#[test]
fn store_is_used_at_once_when_the_leader_found_its_configuration_there() {
    let mut trust = StoreTrust::default();
    assert!(!trust.is_usable(at(1_000)), "the leader's row is not known");
    trust.record_leader_row(at(1_010), true);
    assert!(trust.is_usable(at(1_010)));
    trust.record_leader_row(at(1_020), false);
    assert!(!is_usable_after_waiting(&mut trust, 1_020, 3_009));
    assert!(trust.is_usable(at(3_010)));
}

#[test]
fn unreadable_leader_row_delays_the_start_only_briefly() {
    let mut trust = StoreTrust::default();
    assert!(!trust.is_usable(at(1_000)));
    assert!(!is_usable_after_waiting(&mut trust, 1_000, 1_299));
    assert!(trust.is_usable(at(1_300)));
}

/// Guards against keys that were withdrawn: an instance that stood still right after its start took that time
/// for one in which no other instance had a newer configuration.
#[test]
fn time_in_which_the_instance_stands_still_is_no_waiting() {
    let mut trust = StoreTrust::default();
    assert!(!trust.is_usable(at(1_000)));
    assert!(
        !trust.is_usable(at(5_000)),
        "the leader's row could not be read"
    );
    trust.record_leader_row(at(5_010), false);
    assert!(!is_usable_after_waiting(&mut trust, 5_010, 5_500));
    assert!(
        !trust.is_usable(at(9_000)),
        "no other instance could answer"
    );
    assert!(!is_usable_after_waiting(&mut trust, 9_000, 10_505));
    assert!(is_usable_after_waiting(&mut trust, 10_505, 10_510));
}

#[test]
fn settled_era_never_decreases() {
    let mut trust = StoreTrust::default();
    trust.record_settled_era(3);
    trust.record_settled_era(2);
    assert_eq!(trust.settled_era(), 3);
}
