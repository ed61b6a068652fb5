//! What targets say about taking requests, against what is sent to them.

use super::*;

impl Fleet {
    /// Notes that a target said that it leaves. Returns whether that was not known of it.
    pub fn record_leaving(&mut self, now: Duration, key: TargetKey) -> bool {
        let Some(entry) = self.targets.get_mut(key) else {
            return false;
        };
        let departure = entry.departure();
        entry.availability.is_leaving = true;
        self.departures.record(now, departure)
    }

    /// Takes over what other instances know of targets that leave. Returns whether some of it is new.
    pub fn merge_departures(&mut self, now: Duration, departures: &[Departure]) -> bool {
        let mut has_new = false;
        for departure in departures {
            // Of a target that is not listed here there is nothing to decide, and what was told could be
            // about any number of them.
            let Some(key) = self.by_id.get(&departure.id) else {
                continue;
            };
            let Some(entry) = self.targets.get_mut(*key) else {
                continue;
            };
            if entry.target.incarnation != departure.incarnation {
                continue;
            }
            entry.availability.is_leaving = true;
            has_new |= self.departures.record(now, departure.clone());
        }
        has_new
    }

    /// Targets that said that they leave and are listed as if they stayed.
    #[must_use]
    pub fn unlisted_departures(&self) -> Vec<Departure> {
        let mut departures = Vec::new();
        for entry in self.targets.values() {
            if entry.availability.is_leaving && !entry.target.is_leaving {
                departures.push(entry.departure());
            }
        }
        departures
    }

    /// Marks the targets of a listing that said that they leave.
    pub fn mark_leaving(&self, listing: &mut [Target]) {
        for target in listing {
            target.is_leaving |= self.departures.contains(&target.id, target.incarnation);
        }
    }

    /// Notes that a target wants no requests from this instance for `wait`. Returns whether it is kept
    /// away for longer than before.
    pub fn pause(&mut self, now: Duration, key: TargetKey, wait: Duration) -> bool {
        let entry = self.targets.get_mut(key);
        entry.is_some_and(|entry| entry.availability.pause(now, wait))
    }

    /// Whether a target asked for a time without requests that is not over.
    #[must_use]
    pub fn is_paused(&self, now: Duration, id: &str) -> bool {
        let entry = self.by_id.get(id).and_then(|key| self.targets.get(*key));
        entry.is_some_and(|entry| !entry.availability.pause_left(now).is_zero())
    }

    /// Whether a request may still be sent along a path: no target on it said in the meantime that it
    /// leaves or wants no requests.
    #[must_use]
    pub fn accepts_requests(&self, now: Duration, path: &Path) -> bool {
        path.keys().all(|key| {
            let entry = self.targets.get(key);
            entry.is_none_or(|entry| {
                entry.availability.accepts_requests(now) && !entry.target.is_leaving
            })
        })
    }

    /// Why no target of a plain service may be used. Those that turned a request away count too, as the
    /// caller may come back to them.
    pub(crate) fn unavailable_reason(&self, now: Duration, service: &str) -> NoPath {
        let not_leaving = self.not_leaving(service, &Demand::default()).into_iter();
        let waits = not_leaving.map(|(_, entry)| entry.availability.pause_left(now));
        let least = waits.min().filter(|wait| !wait.is_zero());
        least.map_or(NoPath::NoTarget, NoPath::Paused)
    }

    /// Time until each layer is held by an engine that takes requests; none if that is so now or no
    /// engine will.
    pub(crate) fn layers_pause_left(
        &self,
        now: Duration,
        service: &str,
        profile: &EngineProfile,
    ) -> Option<Duration> {
        let mut waits: Vec<Option<Duration>> = vec![None; profile.layer_count as usize];
        for (_, entry) in self.not_leaving(service, &Demand::default()) {
            let Some(held) = entry.target.held.filter(|_| !entry.health.is_avoided(now)) else {
                continue;
            };
            let wait = entry.availability.pause_left(now);
            let end = (held.end as usize).min(waits.len());
            for least in &mut waits[(held.start as usize).min(end)..end] {
                *least = Some(least.map_or(wait, |least| least.min(wait)));
            }
        }
        let mut longest = Duration::ZERO;
        for wait in waits {
            longest = longest.max(wait?);
        }
        (!longest.is_zero()).then_some(longest)
    }
}

impl TargetState {
    fn departure(&self) -> Departure {
        Departure {
            id: self.target.id.clone(),
            incarnation: self.target.incarnation,
        }
    }
}
