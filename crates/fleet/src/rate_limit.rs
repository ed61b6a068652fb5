use super::*;

/// Longest time for which a denied permit is remembered. The limit may have risen or ended in the meantime.
const MAX_DENIAL_AGE: Duration = Duration::from_millis(500);

/// Longest wait for a permit that is remembered. It comes from another instance, and must not overflow the clock.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Limit on the rate of requests that a target announces in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    /// When it was announced.
    pub announced_at: Duration,
    /// Requests per second that the target takes from all instances together; none if it sets no limit.
    /// Invariant: finite and not negative.
    pub per_s: Option<f64>,
}

impl RateLimit {
    /// Applies an announcement unless a later one is known. Returns whether the limit changed.
    fn update(&mut self, announced_at: Duration, per_s: Option<f64>) -> bool {
        let per_s = per_s.filter(|per_s| per_s.is_finite() && *per_s >= 0.0);
        if announced_at < self.announced_at {
            return false;
        }
        self.announced_at = announced_at;
        std::mem::replace(&mut self.per_s, per_s) != per_s
    }
}

/// Last denied permit for a target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Denial {
    /// When a permit is expected.
    permit_at: Duration,
    /// Until when no permit is asked for, unless the request can wait until `permit_at`.
    valid_until: Duration,
}

impl Denial {
    /// Time until a permit is expected; zero if one may be available.
    pub(crate) fn wait(&self, now: Duration) -> Duration {
        if now >= self.valid_until {
            return Duration::ZERO;
        }
        self.permit_at.saturating_sub(now)
    }
}

impl Fleet {
    /// Records the limit that a target announced, or that it announced none. Returns whether it changed.
    pub fn record_rate_limit(
        &mut self,
        announced_at: Duration,
        key: TargetKey,
        per_s: Option<f64>,
    ) -> bool {
        let Some(state) = self.targets.get_mut(key) else {
            return false;
        };
        let has_changed = state.rate_limit.update(announced_at, per_s);
        if has_changed {
            state.denial = Denial::default();
        }
        has_changed
    }

    /// Limit of a target; none if the target is not listed.
    #[must_use]
    pub fn rate_limit(&self, key: TargetKey) -> Option<RateLimit> {
        Some(self.targets.get(key)?.rate_limit)
    }

    /// Requests per second that each target with a limit takes, by target.
    #[must_use]
    pub fn rate_limits(&self) -> HashMap<TargetId, f64> {
        let mut limits = HashMap::new();
        for state in self.targets.values() {
            if let Some(per_s) = state.rate_limit.per_s {
                limits.insert(state.target.id.clone(), per_s);
            }
        }
        limits
    }

    /// Handle of the listed incarnation of a target.
    #[must_use]
    pub fn key_of(&self, id: &str, incarnation: Incarnation) -> Option<TargetKey> {
        let key = *self.by_id.get(id)?;
        let listed = self.targets.get(key)?.target.incarnation;
        (listed == incarnation).then_some(key)
    }

    /// Records that a permit for a target is expected only after `wait`. Until then, only requests that can
    /// wait are sent to it.
    pub fn record_denial(&mut self, now: Duration, key: TargetKey, wait: Duration) {
        let wait = wait.min(MAX_WAIT);
        if let Some(state) = self.targets.get_mut(key) {
            state.denial = Denial {
                permit_at: now + wait,
                valid_until: now + wait.min(MAX_DENIAL_AGE),
            };
        }
    }

    /// Shortest wait for a permit of the usable targets of a service without a model whose permits were
    /// denied; none if none was.
    pub(crate) fn permit_wait(
        &self,
        now: Duration,
        service: &str,
        demand: &Demand,
    ) -> Option<Duration> {
        let mut shortest: Option<Duration> = None;
        for (_, state) in self.usable(now, service, demand) {
            let wait = state.denial.wait(now);
            if wait <= demand.max_permit_wait {
                continue;
            }
            shortest = Some(shortest.map_or(wait, |shortest| shortest.min(wait)));
        }
        shortest
    }
}
