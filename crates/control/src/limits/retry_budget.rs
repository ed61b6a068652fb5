use super::*;

/// Budget of retries, as a share of the recent requests, so that retries do not amplify an
/// overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    window: RetryWindow,
}

impl RetryBudget {
    /// Creates a budget for which no requests were recorded.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        let span_ms = (settings.window_ms / u64::from(BUCKET_COUNT)).max(1);
        Self {
            settings,
            window: RetryWindow::new(Duration::from_millis(span_ms)),
        }
    }

    /// Delay before retry number `failure_count`: exponential, with random jitter over its upper
    /// half.
    pub fn backoff(&self, random: &mut ChaCha8Rng, failure_count: u32) -> Duration {
        let doubled = self
            .settings
            .backoff_ms
            .saturating_mul(1 << failure_count.saturating_sub(1).min(16));
        let ceiling_ms = doubled.min(self.settings.max_backoff_ms) as f64;
        let jittered_ms = ceiling_ms * random.random_range(0.5..=1.0);
        Duration::from_secs_f64(jittered_ms / 1_000.0)
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: Duration) {
        self.window.record_request(now);
    }

    /// Records a retry if the budget allows one more. Returns whether it does.
    pub fn try_retry(&mut self, now: Duration) -> bool {
        let counts = self.window.counts(now);
        let share = f64::from(counts.requests) * self.settings.budget_fraction;
        let allowed = share.max(f64::from(self.settings.budget_min_count));
        if f64::from(counts.retries + 1) > allowed {
            return false;
        }
        self.window.record_retry(now);
        true
    }
}
