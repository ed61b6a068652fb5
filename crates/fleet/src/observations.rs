use super::*;

/// Age up to which activity of an engine seen here outweighs reports that it is unreachable.
const MAX_ACTIVITY_AGE: Duration = Duration::from_millis(250);
/// Minimum time between probes of an engine that other instances report as unreachable. With 76
/// instances, this is about 20 probes per second, each of which takes an engine up to 6 ms.
const PROBE_INTERVAL: Duration = Duration::from_secs(4);

impl Fleet {
    /// Records the outcome of a request or probe at a target. Returns whether the target is avoided from
    /// now on and was not before.
    pub fn record_outcome(&mut self, now: Duration, key: TargetKey, outcome: Outcome) -> bool {
        let Some(state) = self.targets.get_mut(key) else {
            return false;
        };
        let before = state.health.is_avoided(now);
        state.needs_probe &= outcome != Outcome::Unreachable;
        state.health.record(now, outcome, &self.settings);
        !before && state.health.is_avoided(now)
    }

    /// Forgets all failures and unanswered probes of targets, which turned out to be faults of this instance.
    pub fn reset_health(&mut self) {
        for state in self.targets.values_mut() {
            state.health = Health::default();
            state.needs_probe = false;
        }
    }

    /// Returns up to `count` listed targets at random, without the excluded ones.
    pub fn sample(&self, excluded: &[TargetKey], count: usize, rng: &mut impl Rng) -> Vec<Stage> {
        let keys = self.targets.keys().filter(|key| !excluded.contains(key));
        let keys = keys.choose_multiple(rng, count);
        keys.into_iter().map(|key| self.stage(key, None)).collect()
    }

    /// Records the load that a target reported.
    pub fn record_load(&mut self, now: Duration, key: TargetKey, load: Load) {
        if let Some(state) = self.targets.get_mut(key) {
            state.load = Some((load, now));
        }
    }

    /// Returns the load of the requests of this instance at each target, and which targets it found
    /// unreachable or slow. Leaves out targets without any of these.
    #[must_use]
    pub fn own_loads(&self) -> Vec<SharedLoad> {
        let mut loads = Vec::new();
        for state in self.targets.values() {
            let is_unreachable = state.health.is_unreachable();
            let is_slow = state.slowness >= self.settings.slow_factor;
            if state.in_flight_count == 0 && !is_unreachable && !is_slow {
                continue;
            }
            loads.push(SharedLoad {
                id: state.target.id.clone(),
                in_flight_count: state.in_flight_count,
                silent_count: u32::from(is_unreachable),
                slow_count: u32::from(is_slow),
                slowness_sum: if is_slow { state.slowness } else { 0.0 },
                token_layers: state.token_layers,
            });
        }
        loads
    }

    /// Records the loads that all other instances reported. Returns whether an engine must be probed
    /// because others found it unreachable.
    ///
    /// A report that an engine is unreachable only triggers a probe, as the fault may be on the side of
    /// the reporting instance. An engine that was recently active here is not probed, and no engine more
    /// often than once per `PROBE_INTERVAL`. A report that an engine is slow is applied without a probe,
    /// as the engine itself stated it.
    pub fn set_peer_loads(&mut self, now: Duration, loads: &[SharedLoad]) -> bool {
        self.peer_loads.set(now, loads);
        for state in self.targets.values_mut() {
            state.unshared_token_layers = 0.0;
            state.peer_slowness = 1.0;
        }
        let mut has_probes = false;
        for load in loads {
            if load.silent_count == 0 && load.slow_count == 0 {
                continue;
            }
            let state = self.by_id.get(&load.id);
            let Some(state) = state.and_then(|key| self.targets.get_mut(*key)) else {
                continue;
            };
            if load.slow_count > 0 {
                state.peer_slowness = load.slowness_sum / f64::from(load.slow_count);
            }
            let is_recent = |at: Duration, limit| at + limit > now;
            let skips_probe = load.silent_count == 0
                || state.health.is_unreachable()
                || is_recent(state.last_active_at, MAX_ACTIVITY_AGE)
                || state
                    .probe_requested_at
                    .is_some_and(|at| is_recent(at, PROBE_INTERVAL));
            if skips_probe || state.target.hardware.is_none() {
                continue;
            }
            state.probe_requested_at = Some(now);
            state.needs_probe = true;
            has_probes = true;
        }
        has_probes
    }

    /// Records activity of all targets of a path, as an event of an answer arrived through them.
    pub fn record_activity(&mut self, now: Duration, path: &Path) {
        for key in path.keys() {
            if let Some(state) = self.targets.get_mut(key) {
                state.last_active_at = now;
            }
        }
    }

    /// Records the state that an engine reported: the layers that it holds and its slowness. Returns
    /// whether it became slow or stopped being slow.
    pub fn record_state(
        &mut self,
        now: Duration,
        key: TargetKey,
        held: Option<LayerRange>,
        slowness: f64,
    ) -> bool {
        let limit = self.settings.slow_factor;
        let Some(state) = self.targets.get_mut(key) else {
            return false;
        };
        let was_slow = state.slowness >= limit;
        state.last_active_at = now;
        state.health = Health::default();
        state.needs_probe = false;
        state.slowness = slowness.max(1.0);
        state.target.held = held;
        was_slow != (state.slowness >= limit)
    }

    /// Returns the stages of a path that showed no activity after `since`.
    #[must_use]
    pub fn inactive_stages<'a>(&self, path: &'a Path, since: Duration) -> Vec<&'a Stage> {
        let mut inactive = Vec::new();
        for stage in &path.stages {
            if self
                .targets
                .get(stage.key)
                .is_none_or(|state| state.last_active_at <= since)
            {
                inactive.push(stage);
            }
        }
        inactive
    }

    /// Whether a stage of a path must be replaced: it is no longer listed, is avoided, or does not hold
    /// its layers.
    #[must_use]
    pub fn needs_replacement(&self, now: Duration, stage: &Stage) -> bool {
        let Some(state) = self.targets.get(stage.key) else {
            return true;
        };
        let is_held = match (stage.range, state.target.held) {
            (None, _) => true,
            (Some(range), Some(held)) => held.covers(range),
            (Some(_), None) => false,
        };
        !is_held || state.health.is_avoided(now)
    }

    /// Whether a stage is slower than expected of its hardware by at least `slow_factor`.
    #[must_use]
    pub fn is_slow(&self, stage: &Stage) -> bool {
        let state = self.targets.get(stage.key);
        state.is_some_and(|state| state.slowness() >= self.settings.slow_factor)
    }

    /// Returns the engines to probe: those that are avoided, slow or reported as unreachable by other
    /// instances. In the last case, also returns a healthy engine: if it does not answer either, the
    /// fault is on the side of this instance.
    #[must_use]
    pub fn engines_to_probe(&self, now: Duration) -> Vec<Stage> {
        let mut engines_to_probe = Vec::new();
        let mut has_probes = false;
        let mut healthy: Option<(Duration, TargetKey)> = None;
        for (key, state) in &self.targets {
            let is_engine = state.target.hardware.is_some();
            let is_slow = state.slowness >= self.settings.slow_factor;
            if !is_engine {
                continue;
            }
            has_probes |= state.needs_probe;
            if state.needs_probe || is_slow || state.health.is_avoided(now) {
                engines_to_probe.push(self.stage(key, state.target.held));
            } else {
                healthy = healthy.max(Some((state.last_active_at, key)));
            }
        }
        if let Some((_, key)) = healthy.filter(|_| has_probes) {
            engines_to_probe.push(self.stage(key, self.targets[key].target.held));
        }
        engines_to_probe
    }
}
