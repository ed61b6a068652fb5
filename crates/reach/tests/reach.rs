//! Guards against an instance that takes an ill target for a cut, or a cut for ill targets.

use {
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    reach::{DirectReach, Helpers, InstanceId},
    std::{collections::HashMap, time::Duration},
};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn one_lost_link_is_no_cut() {
    let mut reach = DirectReach::default();
    for _ in 0..10 {
        assert!(!reach.record_detour("t1".into()));
    }
    assert!(!reach.is_cut_off());
    assert!(reach.doubts_open_connections());
    reach.record_success(SECOND);
    assert!(!reach.doubts_open_connections());
}

#[test]
fn two_lost_links_are_a_cut_until_one_works() {
    let mut reach = DirectReach::default();
    assert!(!reach.record_detour("t1".into()));
    assert!(reach.record_detour("t2".into()));
    assert!(!reach.record_detour("t3".into()), "the cut begins once");
    assert!(reach.is_cut_off());
    assert!(reach.record_success(SECOND));
    assert!(!reach.is_cut_off());
    assert!(!reach.record_success(SECOND), "the cut ends once");
}

#[test]
fn lost_links_between_which_one_works_are_no_cut() {
    let mut reach = DirectReach::default();
    for (index, target) in ["t1", "t2", "t3", "t4"].into_iter().enumerate() {
        assert!(!reach.record_detour(target.into()));
        reach.record_success(SECOND * index as u32);
    }
    assert!(!reach.is_cut_off());
}

#[test]
fn target_is_blamed_only_while_others_are_reached() {
    let mut reach = DirectReach::default();
    assert!(!reach.blames_target(SECOND));
    reach.record_success(SECOND);
    assert!(reach.blames_target(SECOND * 2));
    assert!(!reach.blames_target(SECOND * 3));
    reach.record_success(SECOND * 3);
    reach.record_detour("t1".into());
    reach.record_detour("t2".into());
    assert!(!reach.blames_target(SECOND * 3), "it is cut off");
}

/// Most of the instances may be cut off together.
#[test]
fn instances_that_cannot_help_are_left_out_for_a_while() {
    let mut helpers = Helpers::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let instances: Vec<InstanceId> = ["a", "b", "c", "d"].map(InstanceId::from).to_vec();
    for id in &instances[..3] {
        helpers.record_failure(SECOND, id.clone());
    }
    for _ in 0..20 {
        let chosen = helpers.choose(SECOND * 2, &instances, &mut rng);
        assert_eq!(chosen, Some(&instances[3]));
    }
    helpers.record_failure(SECOND * 2, instances[3].clone());
    assert_eq!(helpers.choose(SECOND * 2, &instances, &mut rng), None);
    assert!(helpers.choose(SECOND * 3, &instances, &mut rng).is_some());
}

#[test]
fn load_is_spread_over_all_instances() {
    let mut helpers = Helpers::default();
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let instances: Vec<InstanceId> = ["a", "b", "c", "d"].map(InstanceId::from).to_vec();
    let mut counts: HashMap<&InstanceId, usize> = HashMap::new();
    for _ in 0..1_000 {
        let chosen = helpers.choose(SECOND, &instances, &mut rng);
        *counts.entry(chosen.expect("an instance")).or_default() += 1;
    }
    assert!(
        counts.values().all(|count| (200..300).contains(count)),
        "{counts:?}"
    );
}
