//! Guards against taking the own silence of an instance for that of the store or of other instances.

use {reconcile::ObservationClock, std::time::Duration};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Ticks every 250 ms from `from` to `to`, exclusive, with a message of another instance at each tick if
/// `has_contact`. Returns the observed time at the end.
fn run(clock: &mut ObservationClock, from: u64, to: u64, has_contact: bool) -> Duration {
    let mut observed = Duration::ZERO;
    for ms in (from..to).step_by(250) {
        if has_contact {
            clock.record_contact(at(ms));
        }
        observed = clock.tick(at(ms), true);
    }
    observed
}

#[test]
fn time_in_contact_with_others_counts() {
    let mut clock = ObservationClock::default();
    assert_eq!(run(&mut clock, 0, 10_250, true), at(10_000));
}

#[test]
fn time_in_which_the_instance_stands_still_does_not_count() {
    let mut clock = ObservationClock::default();
    run(&mut clock, 0, 5_250, true);
    assert_eq!(clock.tick(at(7_900), true), at(5_000));
    assert_eq!(run(&mut clock, 7_900, 9_150, true), at(6_000));
}

/// Guards against an isolated leader that is back before its lease is over, and takes its isolation for an
/// outage of the store.
#[test]
fn isolation_counts_only_until_it_is_noticed() {
    let mut clock = ObservationClock::default();
    run(&mut clock, 0, 5_250, true);
    let observed = run(&mut clock, 5_250, 8_500, false);
    assert!(observed <= at(7_000), "{observed:?}");
}

/// Guards against an outage of the store that an instance without others does not notice.
#[test]
fn time_of_the_only_instance_counts() {
    let mut clock = ObservationClock::default();
    for ms in (0..10_250).step_by(250) {
        clock.tick(at(ms), false);
    }
    assert_eq!(clock.tick(at(10_000), false), at(10_000));
}

/// Guards against messages that count from the time at which they are read, although they were sent before the
/// instance stood still.
#[test]
fn messages_read_just_after_waking_may_have_been_sent_before() {
    let mut clock = ObservationClock::default();
    run(&mut clock, 0, 5_250, true);
    assert_eq!(clock.earliest_sending(at(5_100)), at(5_100));
    clock.tick(at(7_900), true);
    assert_eq!(clock.earliest_sending(at(8_100)), at(5_000));
    clock.tick(at(8_300), true);
    assert_eq!(clock.earliest_sending(at(8_300)), at(8_300));
}
