//! Guards against instances that query each other in a cycle, and against instances with low
//! capacity that serve many others.

mod support;

use {
    proptest::prelude::*,
    reconcile::{InstanceRow, RelayTree, TreeRole, TreeVersion},
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
    },
    support::row,
};

const VERSION: TreeVersion = TreeVersion {
    fence: 1,
    number: 0,
};

/// Instances of each failure domain, as groups of a count and a capacity.
fn rows(domains: &[(&str, &[(usize, u32)])]) -> Vec<InstanceRow> {
    let mut rows = Vec::new();
    for (domain, groups) in domains {
        for (count, capacity) in *groups {
            for _ in 0..*count {
                let id = format!("{domain}{:03}", rows.len());
                rows.push(row(&id, domain, *capacity));
            }
        }
    }
    rows
}

fn build(own: &InstanceRow, rows: &[InstanceRow]) -> RelayTree {
    let rows: Vec<&InstanceRow> = rows.iter().collect();
    RelayTree::build(own, &rows, VERSION)
}

/// Three instances with high capacity in each failure domain, among many slow ones with a narrow
/// link. The leader could not get its orders through to the engines while it served 294 others.
fn large() -> Vec<InstanceRow> {
    rows(&[
        ("a", &[(3, 500), (49, 100)]),
        ("b", &[(3, 500), (56, 100)]),
        ("c", &[(3, 500), (64, 100)]),
        ("d", &[(3, 500), (61, 100)]),
        ("e", &[(3, 500), (50, 100)]),
    ])
}

#[test]
fn hundreds_of_instances_query_only_those_with_high_capacity() {
    let rows = large();
    let tree = build(&rows[0], &rows);
    let by_address: HashMap<SocketAddr, &InstanceRow> =
        rows.iter().map(|row| (row.relay_address, row)).collect();
    let mut query_counts: HashMap<SocketAddr, usize> = HashMap::new();
    for row in &rows[1..] {
        let first = tree.sources(row)[0];
        *query_counts.entry(first).or_default() += 1;
        assert!(by_address[&first].capacity == 500, "{first}");
        let is_near = by_address[&first].domain == row.domain || first == tree.leader;
        assert!(is_near, "{} queries across failure domains", row.id);
    }
    assert!(
        query_counts[&tree.leader] <= 14,
        "the leader also serves instances with low capacity"
    );
    let most = query_counts.values().max().expect("instances");
    assert!(*most <= 55, "{most} instances query the same one");
}

#[test]
fn few_instances_query_the_leader_directly() {
    let rows = rows(&[("a", &[(3, 250)]), ("b", &[(3, 250)]), ("c", &[(2, 250)])]);
    let tree = build(&rows[0], &rows);
    assert!(tree.relays.is_empty());
    assert_eq!(tree.max_distance(), 1);
    for row in &rows[1..] {
        assert_eq!(tree.sources(row)[0], tree.leader);
    }
}

/// Stand-ins in the same failure domain would be lost together.
#[test]
fn stand_ins_have_high_capacity_and_different_domains() {
    let rows = rows(&[
        ("a", &[(2, 500)]),
        ("b", &[(1, 100), (1, 500)]),
        ("c", &[(1, 100)]),
    ]);
    let tree = build(&rows[0], &rows);
    let ids: Vec<&str> = tree
        .stand_ins
        .iter()
        .map(|address| {
            let row = rows.iter().find(|row| row.relay_address == *address);
            &*row.expect("a known address").id
        })
        .collect();
    assert_eq!(ids, ["b003", "c004", "a001"]);
}

/// If a failure domain had a single relay, all of its instances would query the leader after the
/// loss of that relay.
#[test]
fn domain_of_slow_instances_has_enough_relays_for_the_loss_of_one() {
    let rows = rows(&[("a", &[(1, 500)]), ("b", &[(60, 100)])]);
    let tree = build(&rows[0], &rows);
    let max_child_count = 100 / 9;
    assert!((tree.relays["b"].len() - 1) * max_child_count >= 60);
    assert!(
        tree.relays["b"].len() < 12,
        "too many relays query across failure domains"
    );
}

#[test]
fn loss_of_a_relay_moves_only_its_followers() {
    let rows = large();
    let before = build(&rows[0], &rows);
    let lost = before.relays["b"][0];
    let left: Vec<InstanceRow> = rows
        .iter()
        .filter(|row| row.relay_address != lost)
        .cloned()
        .collect();
    let after = build(&rows[0], &left);
    for row in &left[1..] {
        if before.role_of(row.relay_address) != TreeRole::Follower
            || after.role_of(row.relay_address) != TreeRole::Follower
        {
            continue;
        }
        let (one, other) = (before.sources(row)[0], after.sources(row)[0]);
        let is_new = after.relays["b"].contains(&other) && !before.relays["b"].contains(&other);
        assert!(one == other || one == lost || is_new, "{}", row.id);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// State that circulates in a cycle is never refreshed from the stores.
    #[test]
    fn every_path_leads_to_the_leader_through_at_most_two_others(
        sizes in prop::collection::vec((1_usize..40, 1_u32..600), 1..12),
        own in any::<prop::sample::Index>(),
        lost in prop::collection::vec(any::<prop::sample::Index>(), 0..20),
    ) {
        let mut rows = Vec::new();
        for (index, (count, capacity)) in sizes.iter().enumerate() {
            for number in 0..*count {
                let id = format!("{index}.{number}");
                rows.push(row(&id, &format!("d{}", index % 5), *capacity));
            }
        }
        let leader = rows[own.index(rows.len())].clone();
        let tree = build(&leader, &rows);
        let lost: HashSet<SocketAddr> =
            lost.iter().map(|at| rows[at.index(rows.len())].relay_address).collect();
        for row in &rows {
            let mut at = row.relay_address;
            let mut hops = 0;
            while at != tree.leader {
                let requester = rows.iter().find(|row| row.relay_address == at).expect("a row");
                let sources = tree.sources(requester);
                prop_assert!(!sources.contains(&at));
                // An instance without a live source reads the stores itself.
                let Some(next) = sources.into_iter().find(|next| !lost.contains(next)) else {
                    break;
                };
                at = next;
                hops += 1;
                prop_assert!(hops <= 3, "more hops than roles in the tree");
            }
        }
    }
}
