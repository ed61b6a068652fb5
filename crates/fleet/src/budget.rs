use super::*;

/// Allows an instance its part of the repeated sends of all instances.
///
/// In each window, the repeats of an instance stay under a share of its requests plus an equal part
/// of the extra amount, so that the sum over all instances stays under the limit without messages
/// between them.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    shared_extra_count: f64,
    ratio: f64,
    window: RetryWindow,
}

impl RetryBudget {
    /// Creates a budget for one service at one instance. `extra_count` is the extra amount of all
    /// instances together.
    #[must_use]
    pub fn new(ratio: f64, shared_extra_count: f64, window: Duration) -> Self {
        Self {
            shared_extra_count,
            ratio,
            window: RetryWindow::new(window / BUCKET_COUNT),
        }
    }

    /// Notes a new request.
    pub fn record_request(&mut self, now: Duration) {
        self.window.record_request(now);
    }

    /// Takes one repeat, if the part of one of `instance_count` instances has one left.
    pub fn try_retry(&mut self, now: Duration, instance_count: usize) -> bool {
        let counts = self.window.counts(now);
        let extra = self.shared_extra_count / instance_count.max(1) as f64;
        let limit = self.ratio * f64::from(counts.requests) + extra;
        if f64::from(counts.retries) + 1.0 > limit {
            return false;
        }
        self.window.record_retry(now);
        true
    }
}
