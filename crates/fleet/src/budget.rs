use super::*;

/// Retry budget of one instance for one service.
///
/// In each window, an instance may retry up to `ratio` times its requests plus an equal part of
/// `shared_extra_count`. All instances together therefore stay within the limit without exchanging
/// messages.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    shared_extra_count: f64,
    ratio: f64,
    window: RetryWindow,
    window_time: Duration,
}

impl RetryBudget {
    /// Creates a budget for one service at one instance. `shared_extra_count` is the number of
    /// retries that all instances together may send beyond `ratio` times their requests.
    #[must_use]
    pub fn new(ratio: f64, shared_extra_count: f64, window: Duration) -> Self {
        Self {
            shared_extra_count,
            ratio,
            window: RetryWindow::new(window / BUCKET_COUNT),
            window_time: window,
        }
    }

    /// Counts a new request.
    pub fn record_request(&mut self, now: Duration) {
        self.window.record_request(now);
    }

    /// Requests per second over the window.
    pub fn requests_per_s(&mut self, now: Duration) -> f64 {
        let count = f64::from(self.window.counts(now).requests);
        count / self.window_time.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Counts one retry and returns true, unless this instance, as one of `instance_count`, has used
    /// up its budget.
    pub fn try_retry(&mut self, now: Duration, instance_count: usize) -> bool {
        let (retry_count, limit) = self.usage(now, instance_count);
        if f64::from(retry_count) + 1.0 > limit {
            return false;
        }
        self.window.record_retry(now);
        true
    }

    /// Retries in the window, and the limit for them as one of `instance_count`.
    pub fn usage(&mut self, now: Duration, instance_count: usize) -> (u32, f64) {
        let counts = self.window.counts(now);
        let extra = self.shared_extra_count / instance_count.max(1) as f64;
        let limit = self.ratio * f64::from(counts.requests) + extra;
        (counts.retries, limit)
    }
}
