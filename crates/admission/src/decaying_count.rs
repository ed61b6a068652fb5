use super::*;

/// Count of events that decays with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingCount {
    at: Duration,
    count: f64,
}

impl DecayingCount {
    pub(crate) fn add(&mut self, now: Duration, time: Duration) {
        self.count = self.count(now, time) + 1.0;
        self.at = now;
    }

    /// Events that still count.
    pub(crate) fn count(&self, now: Duration, time: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.count * (-age / time.as_secs_f64().max(f64::MIN_POSITIVE)).exp()
    }
}
