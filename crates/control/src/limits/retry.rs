use super::*;

/// Buckets into which the window of the budget is divided.
const BUCKET_COUNT: u64 = 10;

/// Budget of retries: a part of the recent requests, so that retries cannot multiply an overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Bucket number, requests and retries.
    buckets: VecDeque<(u64, u32, u32)>,
    settings: RetrySettings,
}

impl RetryBudget {
    /// Creates a budget without recent requests.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            buckets: VecDeque::new(),
            settings,
        }
    }

    /// Backoff before retry number `failure_count`, with jitter over its upper half.
    pub fn backoff(&self, random: &mut ChaCha8Rng, failure_count: u32) -> Duration {
        let doubled = self
            .settings
            .backoff_ms
            .saturating_mul(1 << failure_count.saturating_sub(1).min(16));
        let ceiling_ms = doubled.min(self.settings.max_backoff_ms) as f64;
        let jittered_ms = ceiling_ms * random.random_range(0.5..=1.0);
        Duration::from_secs_f64(jittered_ms / 1_000.0)
    }

    /// Counts a first attempt.
    pub fn request(&mut self, now: Duration) {
        self.bucket(now).1 += 1;
    }

    /// Takes one retry out of the budget. Returns whether there was one left.
    pub fn take(&mut self, now: Duration) -> bool {
        self.bucket(now);
        let (mut requests, mut retries) = (0_u32, 0_u32);
        for (_, bucket_requests, bucket_retries) in &self.buckets {
            requests += bucket_requests;
            retries += bucket_retries;
        }
        let share = f64::from(requests) * self.settings.budget_fraction;
        let allowed = share.max(f64::from(self.settings.budget_min_count));
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.bucket(now).2 += 1;
        true
    }

    fn bucket(&mut self, now: Duration) -> &mut (u64, u32, u32) {
        let length_ms = (self.settings.window_ms / BUCKET_COUNT).max(1);
        let number = now.as_millis() as u64 / length_ms;
        while let Some((first, ..)) = self.buckets.front()
            && first + BUCKET_COUNT <= number
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|(last, ..)| *last < number) {
            self.buckets.push_back((number, 0, 0));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
