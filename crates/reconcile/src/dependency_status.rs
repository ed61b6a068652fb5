use super::*;

/// Delay after the first failed call; doubles with each further failure up to `MAX_RETRY_DELAY`.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay after a failed call. Callers are refused while the configuration is too old, so
/// the recovery of a dependency must be detected quickly.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Delay after a failed call while other instances answer queries, because their answers show when
/// the dependency has recovered.
const PEER_ANSWERING_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Tracks whether a dependency answers, and logs each transition between available and unavailable
/// once.
#[derive(Debug)]
pub struct DependencyStatus {
    /// Consecutive failures since the last answer.
    failure_count: u32,
    failed_at: Option<Duration>,
    name: &'static str,
}

impl DependencyStatus {
    /// Creates the status of a dependency that is assumed to be available. `name` identifies it in
    /// the log.
    #[must_use]
    pub fn new(name: &'static str) -> Self {
        Self {
            failure_count: 0,
            failed_at: None,
            name,
        }
    }

    /// Records that a call was answered.
    pub fn record_success(&mut self, now: Duration) {
        self.failure_count = 0;
        if let Some(failed_at) = self.failed_at.take() {
            let away_ms = now.saturating_sub(failed_at).as_millis() as u64;
            tracing::info!(
                dependency = self.name,
                away_ms,
                "dependency available again"
            );
        }
    }

    /// Records that a call failed.
    pub fn record_failure(&mut self, now: Duration, error: &Error) {
        self.failure_count += 1;
        if self.failed_at.is_none() {
            tracing::warn!(dependency = self.name, %error, "dependency unavailable");
            self.failed_at = Some(now);
        }
    }

    /// Whether the last call failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failed_at.is_some()
    }

    /// Delay before the next call after a failure. `is_peer_answering` tells whether other
    /// instances answer queries.
    #[must_use]
    pub fn retry_delay(&self, is_peer_answering: bool) -> Duration {
        if is_peer_answering {
            return PEER_ANSWERING_RETRY_DELAY;
        }
        let doublings = self.failure_count.saturating_sub(1).min(8);
        (MIN_RETRY_DELAY * 2_u32.pow(doublings)).min(MAX_RETRY_DELAY)
    }
}
