//! Guards against instances that rely on what a leader knew too long ago.

use {reconcile::SharedState, std::time::Duration};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Found by a hunt on lcv-head: a leader that the store turned away went on answering, and the others
/// sent requests to targets that had been leaving for more than two seconds.
#[test]
fn old_knowledge_of_the_leader_does_not_keep_an_instance_from_reading() {
    let shared = SharedState::default();
    shared.relayed(at(10_000));
    assert!(shared.is_relayed(at(10_500)));
    // A read of its own takes up to half a second.
    assert!(!shared.is_relayed(at(11_500)));
}

#[test]
fn older_answer_does_not_shorten_what_a_newer_one_proved() {
    let shared = SharedState::default();
    shared.relayed(at(10_000));
    shared.relayed(at(9_000));
    assert!(shared.is_relayed(at(10_500)));
    shared.relay_lost();
    assert!(!shared.is_relayed(at(10_500)));
}

#[test]
fn revision_changes_only_with_the_targets() {
    let shared = SharedState::default();
    let before = shared.revision();
    shared.set_targets(at(1), Vec::new());
    assert_eq!(shared.revision(), before);
    assert_eq!(shared.targets_age(at(5)), Some(at(4)));
}
