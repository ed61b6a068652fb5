//! Counts requests and retries in a sliding window, for budgets that limit retries to a share of the
//! requests.

use std::time::Duration;

/// Number of buckets that a window is divided into.
pub const BUCKET_COUNT: u32 = 10;

/// Requests and retries of the last `BUCKET_COUNT` buckets, including the current one.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    bucket_duration: Duration,
    /// Number of the current bucket, counted from the start of the clock.
    bucket_number: u128,
    buckets: [Counts; BUCKET_COUNT as usize],
}

/// Number of requests and retries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Number of retries.
    pub retries: u32,
    /// Number of requests, each counted once.
    pub requests: u32,
}

impl RetryWindow {
    /// Creates an empty window of `BUCKET_COUNT` buckets of this duration.
    #[must_use]
    pub fn new(bucket_duration: Duration) -> Self {
        Self {
            bucket_duration,
            bucket_number: 0,
            buckets: [Counts::default(); BUCKET_COUNT as usize],
        }
    }

    /// Counts a request when it is first sent.
    pub fn record_request(&mut self, now: Duration) {
        self.current_bucket(now).requests += 1;
    }

    /// Counts a retry.
    pub fn record_retry(&mut self, now: Duration) {
        self.current_bucket(now).retries += 1;
    }

    /// Returns the sums over the window.
    pub fn counts(&mut self, now: Duration) -> Counts {
        self.current_bucket(now);
        let mut sum = Counts::default();
        for counts in &self.buckets {
            sum.retries += counts.retries;
            sum.requests += counts.requests;
        }
        sum
    }

    /// Returns the counts of the current bucket after clearing the buckets that left the window. An earlier
    /// time than the latest one counts in the current bucket.
    fn current_bucket(&mut self, now: Duration) -> &mut Counts {
        let number = now.as_nanos() / self.bucket_duration.as_nanos().max(1);
        let elapsed = number.saturating_sub(self.bucket_number);
        self.bucket_number = self.bucket_number.max(number);
        for _ in 0..elapsed.min(u128::from(BUCKET_COUNT)) {
            self.buckets.rotate_left(1);
            self.buckets[BUCKET_COUNT as usize - 1] = Counts::default();
        }
        &mut self.buckets[BUCKET_COUNT as usize - 1]
    }
}
