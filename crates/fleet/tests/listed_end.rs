//! Guards against ended targets that count as running because another one has their address or id, and against running
//! ones that count as ended.

use {
    fleet::{Demand, Fleet, FleetSettings, ListedEnd, Target},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
    yare::parameterized,
};

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn target(id: &str, incarnation: u64, port: u16) -> Target {
    Target {
        address: address(port),
        domain: "a".into(),
        hardware: None,
        held: None,
        id: id.into(),
        incarnation,
        is_leaving: false,
        service: "s".into(),
        slot_count: 8,
    }
}

/// What the list says about the target `t`, which started at time 5 and listened on port 1.
#[parameterized(
    address_taken_by_a_later_target = { &[target("t", 5, 1), target("u", 6, 1)], Some(ListedEnd::Replaced) },
    address_taken_by_another_service = { &[target("u", 6, 1)], Some(ListedEnd::Replaced) },
    at_another_address = { &[target("t", 5, 2)], None },
    beside_an_earlier_target = { &[target("t", 5, 1), target("u", 4, 1)], None },
    beside_others = { &[target("t", 5, 1), target("u", 6, 2)], None },
    later_incarnation = { &[target("t", 6, 1)], Some(ListedEnd::Restarted) },
    list_reverts = { &[target("t", 4, 1)], None },
    not_listed = { &[target("u", 4, 1)], Some(ListedEnd::Unlisted) },
)]
fn end_of_a_target_shows_in_the_list(listing: &[Target], expected: Option<ListedEnd>) {
    let mut fleet = Fleet::new(FleetSettings::default());
    fleet.set_targets(Duration::ZERO, listing);
    assert_eq!(fleet.listed_end(("t", 5), address(1)), expected);
}

#[test]
fn leaving_and_unlisted_targets_do_not_stay() {
    let mut fleet = Fleet::new(FleetSettings::default());
    let mut leaving = target("u", 5, 2);
    leaving.is_leaving = true;
    fleet.set_targets(Duration::ZERO, &[target("t", 5, 1), leaving]);
    assert!(fleet.is_staying("t", 5));
    assert!(!fleet.is_staying("t", 4));
    assert!(!fleet.is_staying("u", 5));
    assert!(!fleet.is_staying("v", 5));
}

/// Ids of the targets that requests are sent to.
fn chosen(fleet: &Fleet) -> BTreeSet<String> {
    chosen_at(fleet, Duration::ZERO)
}

fn chosen_at(fleet: &Fleet, now: Duration) -> BTreeSet<String> {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut ids = BTreeSet::new();
    for _ in 0..100 {
        let path = fleet.choose_target(now, "s", &Demand::default(), &mut random);
        ids.extend(path.ok().map(|path| path.first().id.to_string()));
    }
    ids
}

/// Load: requests come while the entry of an ended target is listed beside that of the next one at its address.
#[parameterized(
    by_another_id = { &[target("t", 5, 1), target("u", 6, 1)], &["u"] },
    by_another_service = { &[target("t", 5, 1), Target { service: "v".into(), ..target("u", 6, 1) }], &[] },
    without_times_of_birth = { &[target("t", 0, 1), target("u", 0, 1)], &["t", "u"] },
)]
fn replaced_target_gets_no_requests(listing: &[Target], expected: &[&str]) {
    let mut fleet = Fleet::new(FleetSettings::default());
    fleet.set_targets(Duration::ZERO, &[target("t", 5, 1)]);
    fleet.set_targets(Duration::ZERO, listing);
    assert_eq!(
        chosen(&fleet),
        expected.iter().map(|id| (*id).to_owned()).collect()
    );
}

/// The entry of the later target may be that of another clock, and lapses as well.
#[test]
fn target_gets_requests_again_when_no_other_one_is_listed_at_its_address() {
    let mut fleet = Fleet::new(FleetSettings::default());
    fleet.set_targets(Duration::ZERO, &[target("t", 5, 1), target("u", 6, 1)]);
    fleet.set_targets(Duration::ZERO, &[target("t", 5, 1)]);
    assert_eq!(chosen(&fleet), ["t".to_owned()].into());
}

/// The end of an incarnation says nothing about the next one. The sign of an end may be wrong, so that a target which
/// stays listed must not be unused for good.
#[test]
fn ended_incarnation_gets_no_requests() {
    let mut fleet = Fleet::new(FleetSettings::default());
    fleet.set_targets(Duration::ZERO, &[target("t", 5, 1), target("u", 5, 2)]);
    assert!(!fleet.record_ended(Duration::ZERO, "t", 4));
    assert!(fleet.record_ended(Duration::ZERO, "t", 5));
    assert!(!fleet.record_ended(Duration::ZERO, "t", 5), "known before");
    fleet.set_targets(Duration::ZERO, &[target("t", 5, 1), target("u", 5, 2)]);
    assert_eq!(chosen(&fleet), ["u".to_owned()].into());
    let until_lapsed = Duration::from_secs(5);
    assert_eq!(chosen_at(&fleet, until_lapsed), ["u".to_owned()].into());
    let both = ["t".to_owned(), "u".to_owned()].into();
    assert_eq!(chosen_at(&fleet, Duration::from_secs(60)), both);
    fleet.set_targets(Duration::ZERO, &[target("t", 6, 1)]);
    assert_eq!(chosen(&fleet), ["t".to_owned()].into());
}
