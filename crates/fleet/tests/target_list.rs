//! Guards against targets that are dropped because the listing service was away, and against targets
//! that are used although they are gone.

mod support;

use {fleet::Roster, std::time::Duration, support::target};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn roster() -> Roster {
    let mut roster = Roster::default();
    roster.answered(at(1_000));
    roster.replace(
        at(1_000),
        vec![target("x", "booking"), target("y", "booking")],
    );
    roster
}

fn ids(roster: &mut Roster, ms: u64) -> Vec<String> {
    roster
        .listing(at(ms))
        .iter()
        .map(|one| one.id.to_string())
        .collect()
}

#[test]
fn target_that_leaves_is_gone_at_once() {
    let mut roster = roster();
    roster.answered(at(1_500));
    roster.remove(at(1_500), "x");
    assert_eq!(ids(&mut roster, 1_500), ["y"]);
}

#[test]
fn lapsed_target_is_kept_until_it_lists_itself_again() {
    let mut roster = roster();
    roster.answered(at(9_000));
    roster.replace(at(9_000), Vec::new());
    assert_eq!(ids(&mut roster, 10_999), ["x", "y"]);
    roster.put(target("x", "booking"));
    assert_eq!(ids(&mut roster, 11_000), ["x"]);
}

#[test]
fn target_known_to_be_leaving_does_not_come_back_as_lapsed() {
    let mut roster = roster();
    let mut leaving = target("x", "booking");
    leaving.is_leaving = true;
    roster.put(leaving);
    roster.answered(at(9_000));
    roster.remove(at(9_000), "x");
    assert_eq!(ids(&mut roster, 9_000), ["y"]);
}

#[test]
fn targets_are_kept_while_the_service_is_away() {
    assert_eq!(ids(&mut roster(), 60_000), ["x", "y"]);
}

/// Found by a hunt on fartuch-druk: an instance that read the list itself again after some seconds took
/// targets that the leader had listed as gone for lapsed ones, and sent requests to them.
#[test]
fn target_that_another_instance_saw_leave_does_not_come_back_as_lapsed() {
    let mut roster = roster();
    roster.adopt(at(9_000), vec![target("y", "booking")]);
    assert_eq!(ids(&mut roster, 9_000), ["y"]);
    roster.answered(at(9_100));
    assert_eq!(ids(&mut roster, 9_100), ["y"]);
}
