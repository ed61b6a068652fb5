//! Guards against followers whose list of targets diverges from the leader's.

mod support;

use {
    fleet::Target,
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    reconcile::{TargetChange, TargetHistory},
    std::collections::BTreeMap,
    support::target,
};

fn numbered(number: u8, is_leaving: bool) -> Target {
    Target {
        is_leaving,
        ..target(&format!("t{number}"))
    }
}

/// Lists of fewer than 6 out of 8 targets, and whether the follower queries the leader after each.
fn rounds() -> impl Strategy<Value = Vec<(BTreeMap<u8, bool>, bool)>> {
    let listing = prop::collection::btree_map(0..8_u8, any::<bool>(), 0..6);
    prop::collection::vec((listing, any::<bool>()), 1..30)
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    })]

    #[test]
    fn follower_that_applies_changes_has_the_same_list(rounds in rounds()) {
        let mut leader = TargetHistory::new(100);
        let mut follower = TargetHistory::new(1);
        let mut known = 0;
        for (listing, queries_leader) in rounds {
            let listing = listing.iter().map(|(id, is_leaving)| numbered(*id, *is_leaving));
            leader.replace(listing.collect());
            if !queries_leader {
                continue;
            }
            follower.apply(leader.since(known));
            known = leader.revision();
            prop_assert_eq!(follower.targets(), leader.targets());
        }
    }
}

#[test]
fn unchanged_list_has_the_same_revision() {
    let mut history = TargetHistory::new(5);
    assert!(history.replace(vec![target("t1")]).is_some());
    let revision = history.revision();
    assert_eq!(history.replace(vec![target("t1")]), None);
    assert_eq!(history.revision(), revision);
    let nothing = TargetChange::Some(Vec::new(), Vec::new());
    assert_eq!(history.since(revision), nothing);
}

/// A restarted leader starts with new revisions, and must not mistake a revision of its previous
/// process for its own.
#[test]
fn unknown_revision_gets_the_whole_list() {
    let mut history = TargetHistory::new(5);
    history.replace(vec![target("t1")]);
    for revision in [0, 4, 7] {
        let all = TargetChange::All(vec![target("t1")]);
        assert_eq!(history.since(revision), all, "revision {revision}");
    }
}

#[test]
fn history_of_removed_targets_is_bounded() {
    let mut history = TargetHistory::new(1);
    let first = history.revision();
    for round in 0..1_200_u16 {
        let [high, low] = round.to_be_bytes();
        let id = format!("t{high}.{low}").into();
        history.replace(vec![Target { id, ..target("t1") }]);
    }
    assert!(matches!(history.since(first), TargetChange::All(_)));
    let recent = history.revision() - 1;
    assert!(matches!(history.since(recent), TargetChange::Some(..)));
}
