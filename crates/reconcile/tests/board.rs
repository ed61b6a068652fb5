//! Guards against instances that rely on what a leader knew too long ago.

use {reconcile::Board, std::time::Duration};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Found by a hunt on lcv-head: a leader that the store turned away went on answering, and the others
/// sent requests to targets that had been leaving for more than two seconds.
#[test]
fn old_knowledge_of_the_leader_does_not_keep_an_instance_from_reading() {
    let board = Board::default();
    board.relayed(at(10_000));
    assert!(board.is_relayed(at(10_500)));
    // A read of its own takes up to half a second.
    assert!(!board.is_relayed(at(11_500)));
}

#[test]
fn older_answer_does_not_shorten_what_a_newer_one_proved() {
    let board = Board::default();
    board.relayed(at(10_000));
    board.relayed(at(9_000));
    assert!(board.is_relayed(at(10_500)));
    board.relay_lost();
    assert!(!board.is_relayed(at(10_500)));
}

#[test]
fn revision_changes_only_with_the_targets() {
    let board = Board::default();
    let before = board.revision();
    board.set_targets(at(1), Vec::new());
    assert_eq!(board.revision(), before);
    assert_eq!(board.targets_age(at(5)), Some(at(4)));
}
