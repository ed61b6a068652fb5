use super::*;

/// Cost in tokens or milliseconds that an account may start per round and unit of weight, in the
/// deficit round robin.
const QUANTUM: f64 = 64.0;

/// Queues of requests per resource and account, served by deficit round robin in proportion to the
/// weights of the plans.
#[derive(Clone, Debug)]
pub struct Admission {
    waiting_counts: BTreeMap<AccountId, u32>,
    queues: BTreeMap<Resource, BTreeMap<AccountId, Lanes>>,
    settings: AdmissionSettings,
}

/// Request that waits for a target.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Client account that the request belongs to.
    pub account: AccountId,
    /// Expected cost, in tokens or milliseconds.
    pub cost: f64,
    /// Whether it may use the slots that are reserved for short work.
    pub is_short: bool,
    /// Id of the request.
    pub request: RequestId,
    /// Time at which it was queued, since the start of the process.
    pub queued_at: Duration,
    /// Weight of the account's plan.
    pub weight: f64,
}

#[derive(Clone, Debug, Default)]
struct Lanes {
    deficit: f64,
    long: VecDeque<QueuedRequest>,
    short: VecDeque<QueuedRequest>,
}

impl Admission {
    /// Creates empty queues.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            waiting_counts: BTreeMap::new(),
            queues: BTreeMap::new(),
            settings,
        }
    }

    /// Expected cost that is served before a new request of an account: the cost of its own queue,
    /// and what the other accounts are served in the meantime.
    #[must_use]
    pub fn cost_ahead(&self, resource: &Resource, account: &AccountId, weight: f64) -> f64 {
        let Some(accounts) = self.queues.get(resource) else {
            return 0.0;
        };
        let own_cost = accounts.get(account).map_or(0.0, Lanes::cost);
        let mut ahead = own_cost;
        for (other, lanes) in accounts {
            if other == account {
                continue;
            }
            let other_weight = lanes.weight();
            let share = (own_cost + QUANTUM * weight) * other_weight / weight.max(0.001);
            ahead += lanes.cost().min(share);
        }
        ahead
    }

    /// Removes and returns the next request to serve, in the order of the round robin, among the
    /// heads of the lanes that `may_start` accepts.
    pub fn pop_next(
        &mut self,
        resource: &Resource,
        now: Duration,
        may_start: &mut dyn FnMut(&QueuedRequest) -> bool,
    ) -> Option<QueuedRequest> {
        let max_wait = Duration::from_millis(self.settings.max_wait_ms);
        let accounts = self.queues.get_mut(resource)?;
        let mut eligible = Vec::new();
        let mut best: Option<(f64, AccountId, bool)> = None;
        for (account, lanes) in accounts.iter() {
            let Some((head, is_short)) = lanes.head(now, max_wait, may_start) else {
                continue;
            };
            let quantum = QUANTUM * head.weight;
            let rounds = ((head.cost - lanes.deficit) / quantum).ceil().max(0.0);
            eligible.push((account.clone(), quantum));
            if best.as_ref().is_none_or(|(fewest, ..)| rounds < *fewest) {
                best = Some((rounds, account.clone(), is_short));
            }
        }
        let (rounds, account, is_short) = best?;
        for (account, quantum) in eligible {
            if let Some(lanes) = accounts.get_mut(&account) {
                lanes.deficit += rounds * quantum;
            }
        }
        let lanes = accounts.get_mut(&account)?;
        let lane = if is_short {
            &mut lanes.short
        } else {
            &mut lanes.long
        };
        let waiting = lane.pop_front()?;
        lanes.deficit -= waiting.cost;
        self.record_removal(resource, &account);
        Some(waiting)
    }

    /// Appends a request to the queue of its account.
    pub fn push(&mut self, resource: &Resource, waiting: QueuedRequest) {
        *self
            .waiting_counts
            .entry(waiting.account.clone())
            .or_default() += 1;
        let accounts = self.queues.entry(resource.clone()).or_default();
        let lanes = accounts.entry(waiting.account.clone()).or_default();
        if waiting.is_short {
            lanes.short.push_back(waiting);
        } else {
            lanes.long.push_back(waiting);
        }
    }

    /// Puts a request that `pop_next` returned back to the head of its lane, because no target had
    /// a free slot.
    pub fn put_back(&mut self, resource: &Resource, waiting: QueuedRequest) {
        *self
            .waiting_counts
            .entry(waiting.account.clone())
            .or_default() += 1;
        let accounts = self.queues.entry(resource.clone()).or_default();
        let lanes = accounts.entry(waiting.account.clone()).or_default();
        lanes.deficit += waiting.cost;
        if waiting.is_short {
            lanes.short.push_front(waiting);
        } else {
            lanes.long.push_front(waiting);
        }
    }

    /// Removes a request from its queue. Returns whether it was queued.
    pub fn remove(
        &mut self,
        resource: &Resource,
        account: &AccountId,
        request: &RequestId,
    ) -> bool {
        let lanes = self.queues.get_mut(resource);
        let Some(lanes) = lanes.and_then(|accounts| accounts.get_mut(account)) else {
            return false;
        };
        let before = lanes.short.len() + lanes.long.len();
        lanes.short.retain(|waiting| waiting.request != *request);
        lanes.long.retain(|waiting| waiting.request != *request);
        let is_removed = lanes.short.len() + lanes.long.len() < before;
        if is_removed {
            self.record_removal(resource, account);
        }
        is_removed
    }

    /// Resources that requests are queued for.
    #[must_use]
    pub fn resources(&self) -> Vec<Resource> {
        self.queues.keys().cloned().collect()
    }

    /// Number of queued requests of an account.
    #[must_use]
    pub fn waiting_count(&self, account: &AccountId) -> u32 {
        self.waiting_counts
            .get(account)
            .copied()
            .unwrap_or_default()
    }

    /// Updates the counts after a request was removed. An account without queued requests loses its
    /// deficit, so that unused shares do not accumulate.
    fn record_removal(&mut self, resource: &Resource, account: &AccountId) {
        if let Some(count) = self.waiting_counts.get_mut(account) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.waiting_counts.remove(account);
            }
        }
        let Some(accounts) = self.queues.get_mut(resource) else {
            return;
        };
        accounts.retain(|_, lanes| !lanes.short.is_empty() || !lanes.long.is_empty());
        if accounts.is_empty() {
            self.queues.remove(resource);
        }
    }
}

impl Lanes {
    fn cost(&self) -> f64 {
        self.short
            .iter()
            .chain(&self.long)
            .map(|waiting| waiting.cost)
            .sum()
    }

    /// Head of the lane to serve, and whether that is the short lane. The short lane goes first,
    /// unless the head of the long lane is older and has waited for `max_wait`.
    fn head(
        &self,
        now: Duration,
        max_wait: Duration,
        may_start: &mut dyn FnMut(&QueuedRequest) -> bool,
    ) -> Option<(&QueuedRequest, bool)> {
        let long = self.long.front();
        let is_long_first = match (long, self.short.front()) {
            (Some(long), Some(short)) => {
                long.queued_at <= short.queued_at && now.saturating_sub(long.queued_at) >= max_wait
            }
            _ => false,
        };
        let order = if is_long_first {
            [false, true]
        } else {
            [true, false]
        };
        for is_short in order {
            let lane = if is_short { &self.short } else { &self.long };
            if let Some(head) = lane.front()
                && may_start(head)
            {
                return Some((head, is_short));
            }
        }
        None
    }

    fn weight(&self) -> f64 {
        let head = self.short.front().or(self.long.front());
        head.map_or(0.0, |waiting| waiting.weight)
    }
}
