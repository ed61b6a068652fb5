use super::*;

/// Limit on the rate of requests that a target announces in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RateLimit {
    /// When it was announced.
    pub(crate) announced_at: Duration,
    /// Requests per second that the target takes from all instances together; none if it sets no limit.
    /// Invariant: finite and not negative.
    pub(crate) per_s: Option<f64>,
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

impl Fleet {
    /// Records the limit that a target announced, or that it announced none. Returns whether it changed.
    pub fn record_rate_limit(
        &mut self,
        announced_at: Duration,
        key: TargetKey,
        per_s: Option<f64>,
    ) -> bool {
        let state = self.targets.get_mut(key);
        state.is_some_and(|state| state.rate_limit.update(announced_at, per_s))
    }

    /// Requests per second that a target takes from all instances together; none if it sets no limit.
    #[must_use]
    pub fn rate_limit(&self, key: TargetKey) -> Option<f64> {
        self.targets.get(key)?.rate_limit.per_s
    }
}
