//! Guards against an instance that uses the configuration of an older copy of the store, or that waits although the
//! store was not restored.

use {reconcile::StoreTrust, std::time::Duration};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn store_is_used_at_once_when_the_leader_found_its_configuration_there() {
    let mut trust = StoreTrust::default();
    assert!(!trust.is_usable(at(1_000)), "the leader's row is not known");
    trust.record_leader_row(at(1_010), true);
    assert!(trust.is_usable(at(1_010)));
    trust.record_leader_row(at(1_020), false);
    assert!(!trust.is_usable(at(3_009)));
    assert!(trust.is_usable(at(3_010)));
}

#[test]
fn unreadable_leader_row_delays_the_start_only_briefly() {
    let mut trust = StoreTrust::default();
    assert!(!trust.is_usable(at(1_000)));
    assert!(!trust.is_usable(at(1_299)));
    assert!(trust.is_usable(at(1_300)));
}

#[test]
fn settled_era_never_decreases() {
    let mut trust = StoreTrust::default();
    trust.record_settled_era(3);
    trust.record_settled_era(2);
    assert_eq!(trust.settled_era(), 3);
}
