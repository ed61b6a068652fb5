use super::*;

/// First pause after a failed call; doubles with each further one up to `LAST_PAUSE`.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest pause after a failed call. Callers are refused while configuration is too old, so that a
/// dependency that is back must be found soon.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Pause after a failed call while other instances answer, which tell when the dependency is back.
const PEER_ANSWERING_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Logs when a dependency is lost and when it is there again, once each.
#[derive(Debug)]
pub struct DependencyStatus {
    /// Failures since the last answer.
    failure_count: u32,
    failed_at: Option<Duration>,
    name: &'static str,
}

impl DependencyStatus {
    /// Creates a link that is taken as there.
    #[must_use]
    pub fn new(name: &'static str) -> Self {
        Self {
            failure_count: 0,
            failed_at: None,
            name,
        }
    }

    /// Notes an answer.
    pub fn record_success(&mut self, now: Duration) {
        self.failure_count = 0;
        if let Some(failed_at) = self.failed_at.take() {
            let away_ms = now.saturating_sub(failed_at).as_millis() as u64;
            tracing::info!(dependency = self.name, away_ms, "dependency is back");
        }
    }

    /// Notes a failure.
    pub fn record_failure(&mut self, now: Duration, error: &Error) {
        self.failure_count += 1;
        if self.failed_at.is_none() {
            tracing::warn!(dependency = self.name, %error, "dependency is lost");
            self.failed_at = Some(now);
        }
    }

    /// Whether the last call failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failed_at.is_some()
    }

    /// Pause before the next call after a failed one. `is_served` tells whether other instances answer.
    #[must_use]
    pub fn retry_delay(&self, is_peer_answering: bool) -> Duration {
        if is_peer_answering {
            return PEER_ANSWERING_RETRY_DELAY;
        }
        let doublings = self.failure_count.saturating_sub(1).min(8);
        (MIN_RETRY_DELAY * 2_u32.pow(doublings)).min(MAX_RETRY_DELAY)
    }
}
