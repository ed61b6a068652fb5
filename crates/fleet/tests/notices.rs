//! Guards against requests to targets that are leaving or asked to receive no requests for a while.
#![allow(
    clippy::unwrap_used,
    reason = "a test fails at the first unexpected result"
)]

mod support;

use {
    fleet::{Demand, Departure, Fleet, FleetSettings, NoPath, Outcome, Target, TargetKey},
    proptest::{prelude::*, test_runner::RngSeed},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    support::{demand, engine, fleet, profile, rng, target},
};

const NOW: Duration = Duration::from_secs(100);
const IDS: [&str; 3] = ["x", "y", "z"];

fn chosen(fleet: &Fleet, now: Duration) -> Result<(String, TargetKey), NoPath> {
    let path = fleet.choose_target(now, "booking", &Demand::default(), &mut rng())?;
    Ok((path.first().id.to_string(), path.first().key))
}

fn key(fleet: &Fleet, id: &str) -> Option<TargetKey> {
    let mut excluded = Vec::new();
    loop {
        let demand = Demand {
            excluded: excluded.clone(),
            ..Demand::default()
        };
        let path = fleet.choose_target(NOW, "booking", &demand, &mut rng());
        let stage = path.ok()?.first().clone();
        if &*stage.id == id {
            return Some(stage.key);
        }
        excluded.push(stage.key);
    }
}

#[derive(Clone, Debug)]
enum Event {
    /// A target announces in an answer that it is leaving.
    Leave(usize),
    /// Another instance reports that an incarnation of a target is leaving.
    LeaveElsewhere(usize, u64),
    /// A target asks for this many milliseconds without requests.
    Pause(usize, u64),
    /// A target answers successfully.
    Answer(usize),
    /// The list contains the targets whose flag is set, none of them as leaving.
    List(Vec<bool>),
    /// A target restarts and keeps its id.
    Restart(usize),
    /// This many milliseconds pass.
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let index = || 0..IDS.len();
    prop_oneof![
        index().prop_map(Event::Leave),
        (index(), 0..3_u64).prop_map(|(at, start)| Event::LeaveElsewhere(at, start)),
        (index(), 0..2_000_u64).prop_map(|(at, ms)| Event::Pause(at, ms)),
        index().prop_map(Event::Answer),
        proptest::collection::vec(any::<bool>(), IDS.len()).prop_map(Event::List),
        index().prop_map(Event::Restart),
        (0..1_500_u64).prop_map(Event::Wait),
    ]
}

/// Reference model: which targets may be chosen, computed from all events so far.
#[derive(Default)]
struct Model {
    paused_until: BTreeMap<(usize, u64), Duration>,
    keys: BTreeMap<usize, TargetKey>,
    leaving: BTreeSet<(usize, u64)>,
    listed: Vec<bool>,
    starts: [u64; IDS.len()],
}

impl Model {
    fn listing(&self) -> Vec<Target> {
        let mut listing = Vec::new();
        for (at, id) in IDS.iter().enumerate() {
            if self.listed[at] {
                listing.push(Target {
                    incarnation: self.starts[at],
                    ..target(id, "booking")
                });
            }
        }
        listing
    }

    fn list(&mut self, fleet: &mut Fleet, now: Duration) {
        fleet.set_targets(now, &self.listing());
        for (at, is_listed) in self.listed.iter().enumerate() {
            if !is_listed {
                // A pause ends when the entry is removed; a departure does not.
                self.paused_until.remove(&(at, self.starts[at]));
                self.keys.remove(&at);
                continue;
            }
            if let Some(key) = key(fleet, IDS[at]) {
                self.keys.insert(at, key);
            }
        }
    }

    fn usable(&self, now: Duration) -> BTreeSet<&'static str> {
        let mut usable = BTreeSet::new();
        for (at, id) in IDS.iter().enumerate() {
            let start = (at, self.starts[at]);
            let is_paused = self.paused_until.get(&start).is_some_and(|end| now < *end);
            if self.listed[at] && !is_paused && !self.leaving.contains(&start) {
                usable.insert(*id);
            }
        }
        usable
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Guards against a pause that a later answer shortens and a departure that a new list undoes: both
    /// would send requests to a target that does not want them.
    #[test]
    fn paused_or_leaving_targets_are_never_chosen(
        events in proptest::collection::vec(event(), 1..40),
    ) {
        let mut fleet = Fleet::new(FleetSettings::default());
        let mut model = Model { listed: vec![true; IDS.len()], ..Model::default() };
        let mut now = NOW;
        model.list(&mut fleet, now);
        for event in events {
            match event {
                Event::Leave(at) => {
                    if let Some(key) = model.keys.get(&at) {
                        fleet.record_leaving(now, *key);
                        model.leaving.insert((at, model.starts[at]));
                    }
                }
                Event::LeaveElsewhere(at, start) => {
                    let departure = Departure { id: IDS[at].into(), incarnation: start };
                    fleet.merge_departures(now, &[departure]);
                    if model.listed[at] && model.starts[at] == start {
                        model.leaving.insert((at, start));
                    }
                }
                Event::Pause(at, ms) => {
                    if let Some(key) = model.keys.get(&at) {
                        let wait = Duration::from_millis(ms);
                        fleet.pause(now, *key, wait);
                        let until = model.paused_until.entry((at, model.starts[at])).or_default();
                        *until = (now + wait).max(*until);
                    }
                }
                Event::Answer(at) => {
                    if let Some(key) = model.keys.get(&at) {
                        fleet.record_outcome(now, *key, Outcome::Answered);
                    }
                }
                Event::List(listed) => {
                    model.listed = listed;
                    model.list(&mut fleet, now);
                }
                Event::Restart(at) => {
                    model.keys.remove(&at);
                    model.starts[at] += 1;
                    model.list(&mut fleet, now);
                }
                Event::Wait(ms) => now += Duration::from_millis(ms),
            }
            let usable = model.usable(now);
            match chosen(&fleet, now) {
                Ok((id, _)) => prop_assert!(usable.contains(&*id), "{id} chosen, usable {usable:?}"),
                Err(reason) => prop_assert!(usable.is_empty(), "{reason:?}, usable {usable:?}"),
            }
        }
    }
}

/// Guards against a wrong retry time: with one that is too long, the caller waits needlessly; with one
/// that is too short, it is refused again.
#[test]
fn shortest_pause_is_returned_when_all_targets_are_paused() {
    let mut fleet = fleet(&[target("x", "booking"), target("y", "booking")]);
    for ms in [900, 400] {
        let (_, key) = chosen(&fleet, NOW).unwrap();
        fleet.pause(NOW, key, Duration::from_millis(ms));
    }
    let reason = chosen(&fleet, NOW).unwrap_err();
    assert_eq!(reason, NoPath::Paused(Duration::from_millis(400)));
    assert!(chosen(&fleet, NOW + Duration::from_millis(400)).is_ok());
}

/// A path is available again when all of its layers are, not just the first ones.
#[test]
fn pause_of_a_path_is_that_of_its_last_available_layer() {
    let mut fleet = fleet(&[engine("a1", "a", 0, 4), engine("a2", "a", 4, 8)]);
    let choose = |fleet: &Fleet| {
        fleet.choose_path(NOW, "model", &profile(), &demand(), &"a".into(), &mut rng())
    };
    let path = choose(&fleet).unwrap();
    fleet.pause(NOW, path.stages[0].key, Duration::from_millis(300));
    fleet.pause(NOW, path.stages[1].key, Duration::from_millis(700));
    assert!(!fleet.accepts_requests(NOW, &path));
    let expected = NoPath::Paused(Duration::from_millis(700));
    assert_eq!(choose(&fleet).unwrap_err(), expected);
}

/// A pause is not a failure: it must not be reported to other instances.
#[test]
fn paused_target_is_not_reported_as_failed() {
    let mut fleet = fleet(&[target("x", "booking")]);
    let (_, key) = chosen(&fleet, NOW).unwrap();
    fleet.pause(NOW, key, Duration::from_secs(1));
    assert!(fleet.own_loads().is_empty());
    assert!(fleet.unlisted_departures().is_empty());
}

/// Guards against an overflow, or a target that is never used again, after it asked for an extremely long
/// pause.
#[test]
fn pause_is_capped() {
    let mut fleet = fleet(&[target("x", "booking")]);
    let (_, key) = chosen(&fleet, NOW).unwrap();
    fleet.pause(NOW, key, Duration::MAX);
    assert!(chosen(&fleet, NOW + Duration::from_secs(3_599)).is_err());
    assert!(chosen(&fleet, NOW + Duration::from_secs(3_600)).is_ok());
}
