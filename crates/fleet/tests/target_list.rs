//! Guards against targets that are dropped because of an outage of the listing service, and against
//! removed targets that are still used.

mod support;

use {fleet::TargetList, std::time::Duration, support::target};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn target_list() -> TargetList {
    let mut target_list = TargetList::default();
    target_list.record_answer(at(1_000), at(1_000));
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
    target_list.record_answer(at(1_500), at(1_500));
    target_list.remove(at(1_500), "x");
    assert_eq!(ids(&mut target_list, 1_500), ["y"]);
}

#[test]
fn lapsed_target_is_kept_until_it_lists_itself_again() {
    let mut target_list = target_list();
    target_list.record_answer(at(9_000), at(9_000));
    target_list.replace(at(9_000), Vec::new());
    assert_eq!(ids(&mut target_list, 10_999), ["x", "y"]);
    target_list.upsert(target("x", "booking"));
    assert_eq!(ids(&mut target_list, 11_000), ["x"]);
}

/// Guards against requests to targets that have left: an instance that had stood still took its own gap
/// between two answers for an outage of the service, and kept targets that were removed meanwhile.
#[test]
fn own_silence_is_no_outage() {
    let mut target_list = target_list();
    target_list.record_answer(at(9_000), at(1_300));
    target_list.remove(at(9_000), "x");
    assert_eq!(ids(&mut target_list, 9_000), ["y"]);
}

#[test]
fn target_known_to_be_leaving_does_not_come_back_as_lapsed() {
    let mut target_list = target_list();
    let mut leaving = target("x", "booking");
    leaving.is_leaving = true;
    target_list.upsert(leaving);
    target_list.record_answer(at(9_000), at(9_000));
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
    target_list.record_answer(at(9_100), at(9_100));
    assert_eq!(ids(&mut target_list, 9_100), ["y"]);
}

fn incarnation(number: u64, is_leaving: bool) -> fleet::Target {
    fleet::Target {
        incarnation: number,
        is_leaving,
        ..target("x", "booking")
    }
}

fn is_leaving(target_list: &mut TargetList) -> bool {
    target_list
        .listing(at(2_000))
        .iter()
        .any(|one| one.is_leaving)
}

/// Guards against new requests to a leaving target whose entry comes from an older copy of the list.
#[test]
fn leaving_target_stays_leaving_after_the_list_was_restored() {
    let mut target_list = target_list();
    target_list.upsert(incarnation(7, true));
    target_list.replace(at(1_500), vec![incarnation(7, false)]);
    assert!(is_leaving(&mut target_list));
    target_list.upsert(incarnation(8, false));
    assert!(!is_leaving(&mut target_list), "a restarted target");
}

/// Guards against the loss of targets that registered after the copy from which the list was restored.
#[test]
fn target_missing_in_a_restored_list_is_kept_until_it_registers_again() {
    let mut target_list = target_list();
    target_list.record_answer(at(1_500), at(1_500));
    target_list.record_restored(at(1_500));
    target_list.replace(at(1_500), vec![target("y", "booking")]);
    assert_eq!(ids(&mut target_list, 3_499), ["x", "y"]);
    assert_eq!(ids(&mut target_list, 3_500), ["y"]);
}
