//! Guards against targets that are dropped because of an outage of the listing service, and against
//! removed targets that are still used.

mod support;

use {fleet::TargetList, std::time::Duration, support::target};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn target_list() -> TargetList {
    let mut target_list = TargetList::default();
    target_list.record_answer(at(1_000));
    target_list.replace(
        at(1_000),
        vec![target("x", "booking"), target("y", "booking")],
    );
    target_list
}

fn ids(target_list: &mut TargetList, ms: u64) -> Vec<String> {
    target_list
        .listing(at(ms))
        .iter()
        .map(|one| one.id.to_string())
        .collect()
}

#[test]
fn removed_target_is_dropped_at_once() {
    let mut target_list = target_list();
    target_list.record_answer(at(1_500));
    target_list.remove(at(1_500), "x");
    assert_eq!(ids(&mut target_list, 1_500), ["y"]);
}

#[test]
fn lapsed_target_is_kept_until_it_lists_itself_again() {
    let mut target_list = target_list();
    target_list.record_answer(at(9_000));
    target_list.replace(at(9_000), Vec::new());
    assert_eq!(ids(&mut target_list, 10_999), ["x", "y"]);
    target_list.upsert(target("x", "booking"));
    assert_eq!(ids(&mut target_list, 11_000), ["x"]);
}

#[test]
fn target_known_to_be_leaving_does_not_come_back_as_lapsed() {
    let mut target_list = target_list();
    let mut leaving = target("x", "booking");
    leaving.is_leaving = true;
    target_list.upsert(leaving);
    target_list.record_answer(at(9_000));
    target_list.remove(at(9_000), "x");
    assert_eq!(ids(&mut target_list, 9_000), ["y"]);
}

#[test]
fn targets_are_kept_while_the_service_is_away() {
    assert_eq!(ids(&mut target_list(), 60_000), ["x", "y"]);
}

/// Guards against requests to removed targets, as found by a fault search (`fartuch-druk`): an instance
/// that read the list itself again after some seconds mistook targets that the leader had removed for
/// lapsed ones.
#[test]
fn target_absent_from_a_received_list_does_not_come_back_as_lapsed() {
    let mut target_list = target_list();
    target_list.reset(at(9_000), vec![target("y", "booking")]);
    assert_eq!(ids(&mut target_list, 9_000), ["y"]);
    target_list.record_answer(at(9_100));
    assert_eq!(ids(&mut target_list, 9_100), ["y"]);
}
