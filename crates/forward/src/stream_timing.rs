use super::*;

/// Measures the times between the events of a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamTiming {
    /// Time from the arrival of the request to the first event; none before that event.
    pub(crate) first_event: Option<Duration>,
    last_at: Duration,
    /// Longest time between two events.
    pub(crate) longest_gap: Duration,
}

impl StreamTiming {
    pub(crate) fn start(arrived_at: Duration) -> Self {
        Self {
            first_event: None,
            last_at: arrived_at,
            longest_gap: Duration::ZERO,
        }
    }

    /// Time without an event after which the stream counts as silent: 1.5 times its longest gap so far,
    /// within the given limits.
    pub(crate) fn silence_limit(&self, (min, max): (Duration, Duration)) -> Duration {
        self.longest_gap.mul_f64(1.5).clamp(min, max)
    }

    /// Records that at least one event arrived.
    pub(crate) fn record_event(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_at);
        self.last_at = now;
        match self.first_event {
            None => self.first_event = Some(gap),
            Some(_) => self.longest_gap = self.longest_gap.max(gap),
        }
    }
}
