use super::*;

/// Minimum decayed count of completions from which the wait can be estimated.
const MIN_COMPLETIONS: f64 = 0.5;

/// Requests for one service that wait for capacity at one instance.
#[derive(Clone, Debug)]
pub struct Queue {
    /// Decayed count of requests that were sent, by account.
    dispatches: HashMap<Arc<str>, DecayingCount>,
    /// Decayed count of requests that ended and freed capacity.
    completions: DecayingCount,
    settings: AdmissionSettings,
    waiting: SlotMap<QueuedRequestKey, QueuedRequest>,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            dispatches: HashMap::new(),
            completions: DecayingCount::default(),
            settings,
            waiting: SlotMap::with_key(),
        }
    }

    /// Whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records that a request has ended and freed capacity.
    pub fn record_completion(&mut self, now: Duration) {
        self.completions.add(now, self.settings.decay_time);
    }

    /// Records that a request of an account was sent to a target.
    pub fn record_dispatch(&mut self, now: Duration, account: &Arc<str>) {
        let decay_time = self.settings.decay_time;
        // Removes accounts without requests in the last seconds.
        self.dispatches
            .retain(|_, dispatched| dispatched.count(now, decay_time) > 0.01);
        let dispatched = self.dispatches.entry(account.clone()).or_default();
        dispatched.add(now, decay_time);
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may retry if the queue is full or no capacity is expected
    /// before the request's deadline.
    pub fn enqueue(
        &mut self,
        now: Duration,
        request: QueuedRequest,
    ) -> Result<QueuedRequestKey, Duration> {
        if self.waiting.len() >= self.settings.max_waiting_count {
            return Err(self.retry_after(now));
        }
        let key = self.waiting.insert(request);
        if let QueueDecision::Refuse(retry_after) = self.decide(now, key) {
            self.waiting.remove(key);
            return Err(retry_after);
        }
        Ok(key)
    }

    /// Removes a request from the queue.
    pub fn remove(&mut self, key: QueuedRequestKey) {
        self.waiting.remove(key);
    }

    /// Decides what a waiting request must do now. A request that is not in the queue is refused.
    #[must_use]
    pub fn decide(&self, now: Duration, key: QueuedRequestKey) -> QueueDecision {
        let Some(request) = self.waiting.get(key) else {
            return QueueDecision::Refuse(self.retry_after(now));
        };
        let ahead = self.count_ahead(now, key, request);
        if ahead < self.settings.max_trying_count && now < request.deadline {
            return QueueDecision::Try;
        }
        if now + self.expected_wait(now, ahead + 1) >= request.deadline {
            return QueueDecision::Refuse(self.retry_after(now));
        }
        QueueDecision::Wait
    }

    /// Expected time until capacity for `count` requests is free.
    fn expected_wait(&self, now: Duration, count: usize) -> Duration {
        let completions = self.completions.count(now, self.settings.decay_time);
        if completions < MIN_COMPLETIONS {
            return self.settings.default_wait.saturating_mul(count as u32);
        }
        self.settings.decay_time.mul_f64(count as f64 / completions)
    }

    /// Time after which capacity is expected for a caller that retries.
    fn retry_after(&self, now: Duration) -> Duration {
        let wait = self.expected_wait(now, self.waiting.len() + 1);
        wait.min(self.settings.max_retry_after)
    }

    /// Number of waiting requests that go before `request`.
    fn count_ahead(&self, now: Duration, key: QueuedRequestKey, request: &QueuedRequest) -> usize {
        let own_key = (self.sort_key(now, request), key);
        let mut count = 0;
        for (other_key, other) in &self.waiting {
            if (self.sort_key(now, other), other_key) < own_key {
                count += 1;
            }
        }
        count
    }

    /// Key by which waiting requests are ordered; the smallest goes first. Within a rank, requests that can
    /// still meet their goal go before those that have missed it, then those of the accounts with the
    /// fewest recent requests, then the oldest.
    fn sort_key(&self, now: Duration, request: &QueuedRequest) -> (u32, bool, u64, Duration) {
        let recent = self.dispatches.get(&request.account);
        let count = recent.map_or(0.0, |recent| recent.count(now, self.settings.decay_time));
        let is_late = now >= request.goal_deadline;
        (
            request.rank,
            is_late,
            count.round() as u64,
            request.arrived_at,
        )
    }
}
