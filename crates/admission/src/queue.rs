use super::*;

/// Requests that must have ended lately for their rate to say something.
const MIN_COMPLETIONS: f64 = 0.5;

/// Requests for one service that wait for room at one instance.
#[derive(Clone, Debug)]
pub struct Queue {
    /// Requests of each account that were sent lately.
    dispatches: HashMap<Arc<str>, DecayingCount>,
    /// Requests that ended lately, and freed room.
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

    /// Whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Notes that a request has ended and freed room.
    pub fn record_completion(&mut self, now: Duration) {
        self.completions.add(now, self.settings.decay_time);
    }

    /// Notes that a request of an account was sent.
    pub fn record_dispatch(&mut self, now: Duration, account: &Arc<str>) {
        let decay_time = self.settings.decay_time;
        // Accounts without requests in the last seconds count as none, and are forgotten.
        self.dispatches
            .retain(|_, dispatched| dispatched.count(now, decay_time) > 0.01);
        let dispatched = self.dispatches.entry(account.clone()).or_default();
        dispatched.add(now, decay_time);
    }

    /// Lets a request wait.
    ///
    /// # Errors
    ///
    /// Returns the time after which its caller may come back when room is not expected in time.
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

    /// Ends the wait of a request.
    pub fn remove(&mut self, key: QueuedRequestKey) {
        self.waiting.remove(key);
    }

    /// What a request that waits is to do now.
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

    /// Time in which room for this number of requests comes back.
    fn expected_wait(&self, now: Duration, count: usize) -> Duration {
        let completions = self.completions.count(now, self.settings.decay_time);
        if completions < MIN_COMPLETIONS {
            return self.settings.default_wait.saturating_mul(count as u32);
        }
        self.settings.decay_time.mul_f64(count as f64 / completions)
    }

    /// Time after which room is expected for a caller who comes back.
    fn retry_after(&self, now: Duration) -> Duration {
        let wait = self.expected_wait(now, self.waiting.len() + 1);
        wait.min(self.settings.max_retry_after)
    }

    /// Requests that come before another one.
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

    /// Place in the queue; the least comes first. Those who keep their goal go before those who have
    /// missed it, and of these the accounts that were served least lately.
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
