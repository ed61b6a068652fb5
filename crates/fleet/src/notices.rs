//! Announcements of targets: that they are leaving, or want no requests for a while.

use super::*;

impl Fleet {
    /// Records that a target announced that it is leaving. Returns whether this is new.
    pub fn record_leaving(&mut self, now: Duration, key: TargetKey) -> bool {
        let Some(state) = self.targets.get_mut(key) else {
            return false;
        };
        let departure = state.departure();
        state.availability.is_leaving = true;
        self.departures.record(now, departure)
    }

    /// Merges the departures that other instances know of. Returns whether any of them is new.
    pub fn merge_departures(&mut self, now: Duration, departures: &[Departure]) -> bool {
        let mut has_new = false;
        for departure in departures {
            // Departures of targets that are not listed here have no effect, and storing them would let
            // other instances add any number of entries.
            let Some(key) = self.by_id.get(&departure.id) else {
                continue;
            };
            let Some(state) = self.targets.get_mut(*key) else {
                continue;
            };
            if state.target.incarnation != departure.incarnation {
                continue;
            }
            state.availability.is_leaving = true;
            has_new |= self.departures.record(now, departure.clone());
        }
        has_new
    }

    /// Returns the targets that announced that they are leaving but are not yet listed as leaving.
    #[must_use]
    pub fn unlisted_departures(&self) -> Vec<Departure> {
        let mut departures = Vec::new();
        for state in self.targets.values() {
            if state.availability.is_leaving && !state.target.is_leaving {
                departures.push(state.departure());
            }
        }
        departures
    }

    /// Marks those targets in `listing` as leaving that announced it.
    pub fn mark_leaving(&self, listing: &mut [Target]) {
        for target in listing {
            target.is_leaving |= self.departures.contains(&target.id, target.incarnation);
        }
    }

    /// Pauses requests to a target for `wait`, as it asked for. Returns whether the pause now ends later
    /// than before.
    pub fn pause(&mut self, now: Duration, key: TargetKey, wait: Duration) -> bool {
        let state = self.targets.get_mut(key);
        state.is_some_and(|state| state.availability.pause(now, wait))
    }

    /// Whether requests to a target are paused.
    #[must_use]
    pub fn is_paused(&self, now: Duration, id: &str) -> bool {
        let state = self.by_id.get(id).and_then(|key| self.targets.get(*key));
        state.is_some_and(|state| !state.availability.pause_left(now).is_zero())
    }

    /// Whether a request may still be sent along a path that was chosen earlier: none of its targets is
    /// now paused or leaving.
    #[must_use]
    pub fn accepts_requests(&self, now: Duration, path: &Path) -> bool {
        path.keys().all(|key| {
            let state = self.targets.get(key);
            state.is_none_or(|state| {
                state.availability.accepts_requests(now) && !state.target.is_leaving
            })
        })
    }

    /// Whether a target is listed at this address and accepts requests.
    #[must_use]
    pub fn accepts_connections(
        &self,
        now: Duration,
        (id, incarnation): (&str, Incarnation),
        address: SocketAddr,
    ) -> bool {
        let key = self.key_of(id, incarnation);
        let state = key.and_then(|key| self.targets.get(key));
        state.is_some_and(|state| {
            state.target.address == address
                && state.availability.accepts_requests(now)
                && !state.target.is_leaving
        })
    }

    /// Returns why no target of a service without a model can be chosen. Includes targets that the
    /// request excludes, as the caller may retry on them.
    pub(crate) fn unavailable_reason(&self, now: Duration, service: &str) -> NoPath {
        let targets = self
            .not_leaving(now, service, &Demand::default())
            .into_iter();
        let waits = targets.map(|(_, state)| state.availability.pause_left(now));
        let shortest = waits.min().filter(|wait| !wait.is_zero());
        shortest.map_or(NoPath::NoTarget, NoPath::Paused)
    }

    /// Returns the time until, for each layer, an engine that holds it accepts requests; none if this is
    /// already so, or if some layer is held by no engine.
    pub(crate) fn layers_pause_left(
        &self,
        now: Duration,
        service: &str,
        profile: &EngineProfile,
    ) -> Option<Duration> {
        let mut waits: Vec<Option<Duration>> = vec![None; profile.layer_count as usize];
        for (_, state) in self.not_leaving(now, service, &Demand::default()) {
            let Some(held) = state.target.held.filter(|_| !state.health.is_avoided(now)) else {
                continue;
            };
            let wait = state.availability.pause_left(now);
            let end = (held.end as usize).min(waits.len());
            for shortest in &mut waits[(held.start as usize).min(end)..end] {
                *shortest = Some(shortest.map_or(wait, |shortest| shortest.min(wait)));
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
