use super::*;

/// Count of events that decays exponentially with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingCount {
    updated_at: Duration,
    count: f64,
}

impl DecayingCount {
    /// Adds one event.
    pub(crate) fn add(&mut self, now: Duration, decay_time: Duration) {
        self.count = self.count(now, decay_time) + 1.0;
        self.updated_at = now;
    }

    /// Decayed count at `now`.
    pub(crate) fn count(&self, now: Duration, decay_time: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.count * (-age / decay_time.as_secs_f64().max(f64::MIN_POSITIVE)).exp()
    }
}
