use super::*;

/// Logs when a dependency is lost and when it is there again, once each.
#[derive(Debug)]
pub struct Link {
    lost_at: Option<Duration>,
    name: &'static str,
}

impl Link {
    /// Creates a link that is taken as there.
    #[must_use]
    pub fn new(name: &'static str) -> Self {
        Self {
            lost_at: None,
            name,
        }
    }

    /// Notes an answer.
    pub fn answered(&mut self, now: Duration) {
        if let Some(lost_at) = self.lost_at.take() {
            let away_ms = now.saturating_sub(lost_at).as_millis() as u64;
            tracing::info!(dependency = self.name, away_ms, "dependency is back");
        }
    }

    /// Notes a failure.
    pub fn failed(&mut self, now: Duration, error: &Error) {
        if self.lost_at.is_none() {
            tracing::warn!(dependency = self.name, %error, "dependency is lost");
            self.lost_at = Some(now);
        }
    }
}
