use super::*;

/// Spaces requests to a store that refuses them, so that an outage does not turn every caller and
/// every pending row into a request. The first refusal closes the gate; after a wait that doubles
/// up to the limit it lets one request through as a probe, and a reply opens it.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreBreaker {
    failure_count: u32,
    retry_at: Duration,
}

impl StoreBreaker {
    /// Whether the store refused the last request.
    pub(crate) fn is_failing(&self) -> bool {
        self.failure_count > 0
    }

    /// Earliest time of the next request.
    pub(crate) fn retry_at(&self) -> Duration {
        self.retry_at
    }

    /// Whether a request may be sent now. While the store fails, one that may is the probe.
    pub(crate) fn try_acquire(&mut self, now: Duration, settings: &RecordSettings) -> bool {
        if now < self.retry_at {
            return false;
        }
        if self.is_failing() {
            self.retry_at = now + self.retry_delay(settings);
        }
        true
    }

    /// Takes the result of a request. A lost reply says nothing of the next request.
    pub(crate) fn record_result(
        &mut self,
        now: Duration,
        result: &Result<StoreReply, StoreFailure>,
        settings: &RecordSettings,
    ) {
        match result {
            Err(StoreFailure::Ambiguous) => {}
            Err(StoreFailure::Unavailable) => {
                // Requests that were under way when the store failed count as one failure.
                if now >= self.retry_at || !self.is_failing() {
                    self.failure_count += 1;
                }
                self.retry_at = now + self.retry_delay(settings);
            }
            Ok(_) => *self = Self::default(),
        }
    }

    fn retry_delay(&self, settings: &RecordSettings) -> Duration {
        let wait_ms = settings.retry_min_ms << self.failure_count.min(12);
        Duration::from_millis(wait_ms.min(settings.probe_ms))
    }
}
