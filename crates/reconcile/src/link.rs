use super::*;

/// First pause after a failed call; doubles with each further one up to `LAST_PAUSE`.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call. Callers are refused while configuration is too old, so that a
/// dependency that is back must be found soon.
const LAST_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a failed call while other instances answer, which tell when the dependency is back.
const SERVED_PAUSE: Duration = Duration::from_millis(1_500);

/// Logs when a dependency is lost and when it is there again, once each.
#[derive(Debug)]
pub struct Link {
    /// Failures since the last answer.
    failure_count: u32,
    lost_at: Option<Duration>,
    name: &'static str,
}

impl Link {
    /// Creates a link that is taken as there.
    #[must_use]
    pub fn new(name: &'static str) -> Self {
        Self {
            failure_count: 0,
            lost_at: None,
            name,
        }
    }

    /// Notes an answer.
    pub fn answered(&mut self, now: Duration) {
        self.failure_count = 0;
        if let Some(lost_at) = self.lost_at.take() {
            let away_ms = now.saturating_sub(lost_at).as_millis() as u64;
            tracing::info!(dependency = self.name, away_ms, "dependency is back");
        }
    }

    /// Notes a failure.
    pub fn failed(&mut self, now: Duration, error: &Error) {
        self.failure_count += 1;
        if self.lost_at.is_none() {
            tracing::warn!(dependency = self.name, %error, "dependency is lost");
            self.lost_at = Some(now);
        }
    }

    /// Whether the last call failed.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Pause before the next call after a failed one. `is_served` tells whether other instances answer.
    #[must_use]
    pub fn pause(&self, is_served: bool) -> Duration {
        if is_served {
            return SERVED_PAUSE;
        }
        let doublings = self.failure_count.saturating_sub(1).min(8);
        (FIRST_PAUSE * 2_u32.pow(doublings)).min(LAST_PAUSE)
    }
}
