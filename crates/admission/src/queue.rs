use super::*;

/// Requests that must have ended lately for their rate to say something.
const LEAST_ENDED: f64 = 0.5;

/// Requests for one service that wait for room at one instance.
#[derive(Clone, Debug)]
pub struct Queue {
    /// Requests of each account that were sent lately.
    accounts: HashMap<Arc<str>, Rate>,
    /// Requests that ended lately, and freed room.
    ended: Rate,
    settings: AdmissionSettings,
    waiting: SlotMap<TicketKey, Ticket>,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            accounts: HashMap::new(),
            ended: Rate::default(),
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
    pub fn ended(&mut self, now: Duration) {
        self.ended.add(now, self.settings.rate_time);
    }

    /// Notes that a request of an account was sent.
    pub fn sent(&mut self, now: Duration, account: &Arc<str>) {
        let time = self.settings.rate_time;
        // Accounts without requests in the last seconds count as none, and are forgotten.
        self.accounts.retain(|_, rate| rate.count(now, time) > 0.01);
        let rate = self.accounts.entry(account.clone()).or_default();
        rate.add(now, time);
    }

    /// Lets a request wait.
    ///
    /// # Errors
    ///
    /// Returns the time after which its caller may come back when room is not expected in time.
    pub fn enter(&mut self, now: Duration, ticket: Ticket) -> Result<TicketKey, Duration> {
        if self.waiting.len() >= self.settings.most_waiting {
            return Err(self.return_after(now));
        }
        let key = self.waiting.insert(ticket);
        if let Turn::Refuse(return_after) = self.turn(now, key) {
            self.waiting.remove(key);
            return Err(return_after);
        }
        Ok(key)
    }

    /// Ends the wait of a request.
    pub fn leave(&mut self, key: TicketKey) {
        self.waiting.remove(key);
    }

    /// What a request that waits is to do now.
    #[must_use]
    pub fn turn(&self, now: Duration, key: TicketKey) -> Turn {
        let Some(ticket) = self.waiting.get(key) else {
            return Turn::Refuse(self.return_after(now));
        };
        let before = self.before(now, key, ticket);
        if before < self.settings.trying_count && now < ticket.waits_until {
            return Turn::Try;
        }
        if now + self.expected_wait(now, before + 1) >= ticket.waits_until {
            return Turn::Refuse(self.return_after(now));
        }
        Turn::Wait
    }

    /// Time in which room for this number of requests comes back.
    fn expected_wait(&self, now: Duration, count: usize) -> Duration {
        let ended = self.ended.count(now, self.settings.rate_time);
        if ended < LEAST_ENDED {
            return self.settings.blind_wait.saturating_mul(count as u32);
        }
        self.settings.rate_time.mul_f64(count as f64 / ended)
    }

    /// Time after which room is expected for a caller who comes back.
    fn return_after(&self, now: Duration) -> Duration {
        let wait = self.expected_wait(now, self.waiting.len() + 1);
        wait.min(self.settings.longest_return)
    }

    /// Requests that come before another one.
    fn before(&self, now: Duration, key: TicketKey, ticket: &Ticket) -> usize {
        let own = (self.place(now, ticket), key);
        let mut count = 0;
        for (other_key, other) in &self.waiting {
            if (self.place(now, other), other_key) < own {
                count += 1;
            }
        }
        count
    }

    /// Place in the queue; the least comes first. Those who keep their goal go before those who have
    /// missed it, and of these the accounts that were served least lately.
    fn place(&self, now: Duration, ticket: &Ticket) -> (u32, bool, u64, Duration) {
        let rate = self.accounts.get(&ticket.account);
        let sent = rate.map_or(0.0, |rate| rate.count(now, self.settings.rate_time));
        let is_late = now >= ticket.goal_until;
        (ticket.rank, is_late, sent.round() as u64, ticket.arrived_at)
    }
}
