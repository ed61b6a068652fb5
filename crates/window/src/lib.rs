//! Counts of requests and their repeats in a sliding window, for budgets that keep repeats at a part of
//! the requests.

use std::time::Duration;

/// Spans that a window is divided into.
pub const BUCKET_COUNT: u32 = 10;

/// Requests and repeats of the last `SPAN_COUNT` spans, of which the last is the current one.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    bucket_duration: Duration,
    /// Number of the current span since the start of the clock.
    bucket_number: u128,
    buckets: [Counts; BUCKET_COUNT as usize],
}

/// Requests and repeats.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Repeated sends.
    pub retries: u32,
    /// First sends.
    pub requests: u32,
}

impl RetryWindow {
    /// Creates an empty window of `SPAN_COUNT` spans of this length.
    #[must_use]
    pub fn new(bucket_duration: Duration) -> Self {
        Self {
            bucket_duration,
            bucket_number: 0,
            buckets: [Counts::default(); BUCKET_COUNT as usize],
        }
    }

    /// Counts a first send.
    pub fn record_request(&mut self, now: Duration) {
        self.current_bucket(now).requests += 1;
    }

    /// Counts a repeated send.
    pub fn record_retry(&mut self, now: Duration) {
        self.current_bucket(now).retries += 1;
    }

    /// Sums over the window.
    pub fn counts(&mut self, now: Duration) -> Counts {
        self.current_bucket(now);
        let mut sum = Counts::default();
        for counts in &self.buckets {
            sum.retries += counts.retries;
            sum.requests += counts.requests;
        }
        sum
    }

    /// Counts of the current span, after those that are too old were forgotten.
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
