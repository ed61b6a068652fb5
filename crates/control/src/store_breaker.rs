use super::*;

/// Circuit breaker for requests to the store, so that in an outage not every caller and every
/// pending row causes a request. The first refusal blocks requests. After a delay, which doubles
/// with each failure up to a limit, one request passes as a probe; a reply to it ends the blocking.
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

    /// Earliest time of the next request; zero if requests are not blocked.
    pub(crate) fn retry_at(&self) -> Duration {
        self.retry_at
    }

    /// Whether a request may be sent now. While the store fails, a request that may be sent is the
    /// probe, and further ones are blocked for the next delay.
    pub(crate) fn try_acquire(&mut self, now: Duration, settings: &RecordSettings) -> bool {
        if now < self.retry_at {
            return false;
        }
        if self.is_failing() {
            self.retry_at = now + self.retry_delay(settings);
        }
        true
    }

    /// Records the result of a request. A lost reply changes nothing, as it does not tell whether
    /// the store accepts requests.
    pub(crate) fn record_result(
        &mut self,
        now: Duration,
        result: &Result<StoreReply, StoreFailure>,
        settings: &RecordSettings,
    ) {
        match result {
            Err(StoreFailure::Ambiguous) => {}
            Err(StoreFailure::Unavailable) => {
                // Requests that were in flight when the store failed count as one failure.
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
