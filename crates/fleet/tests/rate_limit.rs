//! Guards against requests to targets whose limit is used up, and against limits that older announcements
//! replace.

mod support;

use {
    fleet::{Demand, Fleet, NoPath, Path, TargetKey},
    std::time::Duration,
    support::{demand, engine, fleet, profile, rng, target},
};

const SECOND: Duration = Duration::from_secs(1);
const WAIT: Duration = Duration::from_millis(300);

fn key(fleet: &Fleet, id: &str) -> TargetKey {
    fleet.key_of(id, 0).expect("a listed target")
}

fn path(fleet: &Fleet, demand: &Demand) -> Result<Path, NoPath> {
    fleet.choose_path(SECOND, "model", &profile(), demand, &"a".into(), &mut rng())
}

fn ids(path: Result<Path, NoPath>) -> Vec<String> {
    let stages = path.expect("a path").stages;
    stages.iter().map(|stage| stage.id.to_string()).collect()
}

#[test]
fn denied_target_is_not_chosen_while_another_one_is_usable() {
    let mut fleet = fleet(&[target("lim", "s"), target("oth", "s")]);
    let limited = key(&fleet, "lim");
    fleet.record_denial(SECOND, limited, WAIT);
    for _ in 0..10 {
        let path = fleet.choose_target(SECOND, "s", &Demand::default(), &mut rng());
        assert_eq!(ids(path), ["oth"]);
    }
}

#[test]
fn shortest_wait_is_reported_when_all_targets_are_denied() {
    let mut fleet = fleet(&[target("one", "s"), target("two", "s")]);
    for (id, wait) in [("one", WAIT), ("two", WAIT * 2)] {
        let key = key(&fleet, id);
        fleet.record_denial(SECOND, key, wait);
    }
    let choose = |max_permit_wait| {
        let demand = Demand {
            max_permit_wait,
            ..Demand::default()
        };
        fleet.choose_target(SECOND, "s", &demand, &mut rng())
    };
    assert_eq!(choose(Duration::ZERO), Err(NoPath::RateLimited(WAIT)));
    assert_eq!(ids(choose(WAIT)), ["one"]);
}

/// An engine receives requests of instances only as the first stage, so its limit does not concern the others.
#[test]
fn denied_engine_runs_later_layers() {
    let mut fleet = fleet(&[engine("lim", "a", 0, 8), engine("sm", "a", 0, 2)]);
    let limited = key(&fleet, "lim");
    assert_eq!(ids(path(&fleet, &demand())), ["lim"]);
    fleet.record_denial(SECOND, limited, WAIT);
    assert_eq!(ids(path(&fleet, &demand())), ["sm", "lim"]);
}

#[test]
fn wait_for_a_permit_is_reported_when_no_other_engine_can_be_first() {
    let mut fleet = fleet(&[engine("lim", "a", 0, 4), engine("last", "a", 4, 8)]);
    let limited = key(&fleet, "lim");
    fleet.record_denial(SECOND, limited, WAIT);
    assert_eq!(path(&fleet, &demand()), Err(NoPath::RateLimited(WAIT)));
    let patient = Demand {
        max_permit_wait: WAIT,
        ..demand()
    };
    assert_eq!(ids(path(&fleet, &patient)), ["lim", "last"]);
}

/// Guards against a rejection for want of a permit while an engine is only full, which ends sooner.
#[test]
fn full_engine_without_a_limit_is_waited_for() {
    let mut fleet = fleet(&[engine("lim", "a", 0, 8), engine("full", "a", 0, 8)]);
    let (limited, full) = (key(&fleet, "lim"), key(&fleet, "full"));
    fleet.record_outcome(SECOND, full, fleet::Outcome::Full);
    fleet.record_denial(SECOND, limited, WAIT);
    assert_eq!(path(&fleet, &demand()), Err(NoPath::Full));
}

/// Guards against a limit that has ended but is kept because of an expected permit.
#[test]
fn denial_ends_with_a_changed_limit() {
    let mut fleet = fleet(&[target("one", "s")]);
    let one = key(&fleet, "one");
    assert!(fleet.record_rate_limit(SECOND, one, Some(0.1)));
    fleet.record_denial(SECOND, one, SECOND * 10);
    assert!(fleet.record_rate_limit(SECOND, one, None));
    let path = fleet.choose_target(SECOND, "s", &Demand::default(), &mut rng());
    assert_eq!(ids(path), ["one"]);
}

/// Guards against waiting for a permit of a limit that has risen at another instance.
#[test]
fn denial_is_asked_about_again() {
    let mut fleet = fleet(&[target("one", "s")]);
    let one = key(&fleet, "one");
    fleet.record_denial(SECOND, one, SECOND * 10);
    let later = SECOND + SECOND / 2;
    let path = fleet.choose_target(later, "s", &Demand::default(), &mut rng());
    assert_eq!(ids(path), ["one"]);
}

#[test]
fn later_announcement_wins() {
    let mut fleet = fleet(&[target("one", "s")]);
    let one = key(&fleet, "one");
    let limit = |fleet: &Fleet| fleet.rate_limit(one).and_then(|limit| limit.per_s);
    assert!(fleet.record_rate_limit(SECOND * 2, one, Some(4.0)));
    assert!(
        !fleet.record_rate_limit(SECOND, one, Some(9.0)),
        "an older one"
    );
    assert_eq!(limit(&fleet), Some(4.0));
    assert!(
        !fleet.record_rate_limit(SECOND * 3, one, Some(4.0)),
        "the same"
    );
    assert!(fleet.record_rate_limit(SECOND * 3, one, Some(f64::NAN)));
    assert_eq!(limit(&fleet), None);
}

/// Guards against a limit of a process that has ended.
#[test]
fn restarted_target_has_no_limit() {
    let mut fleet = fleet(&[target("one", "s")]);
    let before = key(&fleet, "one");
    fleet.record_rate_limit(SECOND, before, Some(1.0));
    let restarted = fleet::Target {
        incarnation: 1,
        ..target("one", "s")
    };
    fleet.set_targets(SECOND, &[restarted]);
    assert_eq!(fleet.key_of("one", 0), None);
    let key = fleet.key_of("one", 1).expect("a listed target");
    let limit = fleet.rate_limit(key).expect("a listed target");
    assert_eq!(limit.per_s, None);
}
