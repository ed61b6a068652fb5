//! Guards against instances that use outdated state of a leader.

mod support;

use {
    fleet::SharedLoad,
    reconcile::{
        InstanceRow, RelayTree, RelayedTargets, SharedSettings, SharedState, TargetChange,
        TreeRole, TreeVersion,
    },
    std::{net::SocketAddr, time::Duration},
    support::{row, target},
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn source() -> SocketAddr {
    ([10, 0, 0, 9], 9_000).into()
}

/// Answer without a change whose state was current at `ms`.
fn relayed(shared: &SharedState, ms: u64) -> RelayedTargets {
    let revision = shared.revision_of(source());
    let is_first = revision == 0;
    RelayedTargets {
        base_revision: revision,
        change: is_first.then(|| TargetChange::All(Vec::new())),
        confirmed_at: at(ms),
        distance: 0,
        read_at: at(ms),
        revision: revision.max(1),
        source: source(),
    }
}

fn apply_answer(shared: &SharedState, ms: u64) {
    shared.apply_relayed(relayed(shared, ms));
}

/// A leader that was refused by the store continued to answer, and the others sent requests to
/// targets that had been leaving for more than two seconds.
#[test]
fn outdated_state_of_the_leader_does_not_prevent_store_reads() {
    let shared = SharedState::default();
    apply_answer(&shared, 10_000);
    assert!(shared.uses_relayed_state(at(10_500)));
    // The instance needs up to half a second for its own read.
    assert!(!shared.uses_relayed_state(at(11_500)));
}

/// A read of the configuration waits for a change for longer than targets may be outdated.
#[test]
fn wait_for_a_configuration_change_does_not_outdate_targets() {
    let shared = SharedState::default();
    shared.apply_relayed(RelayedTargets {
        confirmed_at: at(9_300),
        ..relayed(&shared, 10_000)
    });
    assert!(shared.uses_relayed_state(at(11_200)));
    shared.discard_relayed_state();
    shared.apply_relayed(RelayedTargets {
        confirmed_at: at(8_000),
        ..relayed(&shared, 11_000)
    });
    assert!(
        !shared.uses_relayed_state(at(11_200)),
        "the configuration is outdated"
    );
}

#[test]
fn older_answer_does_not_override_a_newer_confirmation() {
    let shared = SharedState::default();
    apply_answer(&shared, 10_000);
    apply_answer(&shared, 9_000);
    assert!(shared.uses_relayed_state(at(10_500)));
    shared.discard_relayed_state();
    assert!(!shared.uses_relayed_state(at(10_500)));
}

/// A change computed for another list would omit targets or restore removed ones.
#[test]
fn change_relative_to_a_replaced_list_is_ignored() {
    let shared = SharedState::default();
    apply_answer(&shared, 10_000);
    let answer = RelayedTargets {
        change: Some(TargetChange::Some(vec![target("late")], Vec::new())),
        revision: 2,
        ..relayed(&shared, 10_800)
    };
    shared.set_targets(at(10_700), vec![target("own")]);
    assert_eq!(shared.apply_relayed(answer), None);
    assert_eq!(shared.targets(), [target("own")]);
    assert_eq!(
        shared.revision_of(source()),
        0,
        "the next query requests the whole list"
    );
}

/// Stand-ins of a lost leader queried each other, so that none took the leadership, and callers
/// received addresses of dead instances for six seconds.
#[test]
fn instances_that_query_each_other_are_not_current() {
    let shared = SharedState::default();
    shared.apply_relayed(RelayedTargets {
        distance: 1,
        ..relayed(&shared, 10_000)
    });
    assert!(shared.uses_relayed_state(at(10_500)));
    assert_eq!(shared.distance(at(10_500)), 2);
    shared.apply_relayed(RelayedTargets {
        distance: 2,
        ..relayed(&shared, 12_000)
    });
    assert!(!shared.uses_relayed_state(at(12_000)));
    assert_eq!(shared.distance(at(12_000)), 0);
}

/// In a tree with relays, there are two instances between the stores and an instance that queries a
/// relay.
#[test]
fn relayed_answers_are_accepted_only_if_the_tree_has_relays() {
    let shared = SharedState::default();
    let rows: Vec<_> = (0..60)
        .map(|number| row(&format!("{number}"), "a", 250))
        .collect();
    let tree = RelayTree::build(
        &rows[0],
        &rows.iter().collect::<Vec<_>>(),
        TreeVersion::default(),
    );
    let answer = |shared: &SharedState, distance| RelayedTargets {
        distance,
        ..relayed(shared, 10_000)
    };
    shared.apply_relayed(answer(&shared, 2));
    assert!(!shared.uses_relayed_state(at(10_500)));
    shared.set_tree(tree, rows[59].relay_address);
    shared.apply_relayed(answer(&shared, 2));
    assert!(shared.uses_relayed_state(at(10_500)));
    shared.discard_relayed_state();
    shared.apply_relayed(answer(&shared, 3));
    assert!(!shared.uses_relayed_state(at(10_500)));
}

/// Other instances query the stand-ins, so these must be the first to detect the loss of the
/// leader.
#[test]
fn stand_in_reads_the_store_earlier_than_followers() {
    let shared = SharedState::default();
    apply_answer(&shared, 10_000);
    assert!(shared.uses_relayed_state(at(11_100)));
    let (leader, own) = (row("l", "a", 250), row("s", "b", 250));
    let tree = RelayTree::build(&leader, &[&own], TreeVersion::default());
    shared.set_tree(tree, own.relay_address);
    assert!(!shared.uses_relayed_state(at(11_100)));
}

#[test]
fn revision_changes_only_with_the_targets() {
    let shared = SharedState::default();
    let before = shared.revision();
    shared.set_targets(at(1), Vec::new());
    assert_eq!(shared.revision(), before);
    assert_eq!(shared.targets_age(at(5)), Some(at(4)));
}

/// Other instances query the relays, so these must detect the loss of the leader first.
#[test]
fn relay_reads_after_a_stand_in_and_before_followers() {
    let rows: Vec<_> = (0..60)
        .map(|number| row(&format!("{number:02}"), ["a", "b", "c"][number % 3], 250))
        .collect();
    let rows: Vec<_> = rows.iter().collect();
    let tree = RelayTree::build(rows[0], &rows, TreeVersion::default());
    let ages = [TreeRole::StandIn, TreeRole::Relay, TreeRole::Follower].map(|place| {
        let own = rows
            .iter()
            .find(|row| tree.role_of(row.relay_address) == place);
        let shared = SharedState::new(SharedSettings {
            max_state_age: at(4_000),
            ..SharedSettings::default()
        });
        apply_answer(&shared, 10_000);
        shared.set_tree(
            tree.clone(),
            own.expect("an instance with this role").relay_address,
        );
        let age_ms = (0..4_000).find(|ms| !shared.uses_relayed_state(at(10_000 + ms)));
        age_ms.expect("an age limit")
    });
    assert!(ages[0] < ages[1] && ages[1] < ages[2], "{ages:?}");
    // With ages in proportion to the limit, no instance received new engines for two seconds after
    // the store had refused the leader.
    assert!(
        ages[1] <= 1_300,
        "the loss of the leader is detected late: {ages:?}"
    );
    assert!(ages[2] < 4_000 * 7 / 10, "no time left for a read");
}

/// A former leader that has not learned of its successor must not be followed again.
#[test]
fn older_tree_does_not_replace_a_newer_one() {
    let shared = SharedState::default();
    let (one, other) = (row("x", "a", 250), row("y", "a", 250));
    let version = |fence, number| TreeVersion { fence, number };
    shared.set_tree(
        RelayTree::build(&one, &[], version(2, 0)),
        other.relay_address,
    );
    shared.set_tree(
        RelayTree::build(&other, &[], version(1, 9)),
        other.relay_address,
    );
    assert_eq!(shared.tree_version(), version(2, 0));
    assert_eq!(shared.role(), TreeRole::Follower);
}

fn load(in_flight_count: u32) -> SharedLoad {
    SharedLoad {
        id: "engine".into(),
        in_flight_count,
        silent_count: 0,
        slow_count: 0,
        slowness_sum: 0.0,
        token_layers: 1.0,
    }
}

/// A leader that was cut off from the store queried its stand-in, which queried it in turn. Each
/// added the other's loads to its own, until all engines appeared to be full.
#[test]
fn loads_do_not_grow_between_a_former_leader_and_its_stand_in() {
    let (leader, stand_in) = (row("l", "a", 250), row("s", "b", 250));
    let tree = RelayTree::build(&leader, &[&stand_in], TreeVersion::default());
    let (one, other) = (SharedState::default(), SharedState::default());
    one.set_tree(tree.clone(), leader.relay_address);
    other.set_tree(tree, stand_in.relay_address);
    let own = [load(1)];
    for round in 0..50 {
        let now = at(10_000 + 200 * round);
        let exchange_loads =
            |requester: &SharedState, row: &InstanceRow, responder: &SharedState| {
                let id = &row.id;
                let loads = requester.loads_for_parent(now, row, &own);
                responder.set_loads(now, id, loads, Duration::ZERO);
                requester.set_parent_loads(now, responder.loads_excluding(now, id, &own))
            };
        for others in [
            exchange_loads(&one, &leader, &other),
            exchange_loads(&other, &stand_in, &one),
        ] {
            let count: u32 = others.iter().map(|load| load.in_flight_count).sum();
            assert!(count <= 2, "{count} requests in round {round}");
        }
    }
}

/// A leader that was cut off from the store queried its stand-in, which queried it in turn instead
/// of taking the leadership.
#[test]
fn former_leader_that_queries_its_stand_in_is_not_followed() {
    let (leader, stand_in) = (row("l", "a", 250), row("s", "b", 250));
    let tree = RelayTree::build(&leader, &[&stand_in], TreeVersion::default());
    let (one, other) = (SharedState::default(), SharedState::default());
    one.set_tree(tree.clone(), leader.relay_address);
    other.set_tree(tree, stand_in.relay_address);
    apply_answer(&one, 10_000);
    assert!(one.uses_relayed_state(at(10_100)));
    other.apply_relayed(RelayedTargets {
        distance: one.distance(at(10_100)),
        ..relayed(&other, 10_000)
    });
    assert!(!other.uses_relayed_state(at(10_100)));
}

/// A new leader reads the stores itself, so others must accept its answers immediately.
#[test]
fn answers_of_a_new_leader_are_accepted_immediately() {
    let own = row("l", "a", 250);
    let shared = SharedState::default();
    apply_answer(&shared, 10_000);
    let tree = RelayTree::build(&own, &[], TreeVersion::default());
    shared.set_tree(tree, own.relay_address);
    assert_eq!(shared.distance(at(10_100)), 0);
}

/// Instances continued to query a leader that was cut off from the store, and to send it their
/// loads, as long as the answers of its stand-in kept them current.
#[test]
fn outdated_source_is_not_current_although_another_one_is() {
    let shared = SharedState::default();
    apply_answer(&shared, 10_000);
    let old = relayed(&shared, 8_000);
    assert!(shared.uses_relayed_state(at(10_100)));
    assert!(!shared.is_current(at(10_100), &old));
    assert!(shared.is_current(at(10_100), &relayed(&shared, 10_000)));
}

/// A leader that was asked to stop reported the loads of all former requesters to its successor.
/// They also reported these loads themselves, and requests were refused because the targets
/// appeared to be full.
#[test]
fn former_leader_does_not_report_loads_of_previous_requesters() {
    let (former, successor) = (row("l", "a", 250), row("s", "b", 250));
    let shared = SharedState::default();
    shared.set_tree(
        RelayTree::build(&former, &[&successor], TreeVersion::default()),
        former.relay_address,
    );
    let now = at(10_000);
    shared.with_membership(|members| members.record_contact(now, successor.clone()));
    shared.set_loads(now, &successor.id, vec![load(5)], Duration::ZERO);
    let version = TreeVersion {
        fence: 2,
        number: 0,
    };
    let tree = RelayTree::build(&successor, &[&former], version);
    shared.set_tree(tree, former.relay_address);
    assert_eq!(shared.loads_for_parent(now, &former, &[load(1)]), [load(1)]);
}

/// The leader learns of the loads behind a relay only from the relay.
#[test]
fn relay_reports_loads_of_its_failure_domain_while_queried() {
    let rows: Vec<InstanceRow> = (0..60)
        .map(|number| row(&format!("{number:02}"), ["a", "b"][number % 2], 250))
        .collect();
    let all: Vec<&InstanceRow> = rows.iter().collect();
    let tree = RelayTree::build(&rows[0], &all, TreeVersion::default());
    let find = |place, domain: &str| {
        let mut found = rows
            .iter()
            .filter(|row| tree.role_of(row.relay_address) == place && &*row.domain == domain);
        found.next().expect("an instance with this role").clone()
    };
    let relay = find(TreeRole::Relay, "b");
    let (near, far) = (find(TreeRole::Follower, "b"), find(TreeRole::Follower, "a"));
    let shared = SharedState::default();
    shared.set_tree(tree.clone(), relay.relay_address);
    let now = at(10_000);
    for (row, count) in [(&near, 5), (&far, 100)] {
        shared.with_membership(|members| members.record_contact(now, row.clone()));
        shared.set_loads(now, &row.id, vec![load(count)], Duration::ZERO);
    }
    let count = |ms| {
        let loads = shared.loads_for_parent(at(ms), &relay, &[load(1)]);
        loads.iter().map(|load| load.in_flight_count).sum::<u32>()
    };
    assert_eq!(count(10_500), 6);
    assert_eq!(
        count(11_500),
        1,
        "the follower has switched to another relay"
    );
}
