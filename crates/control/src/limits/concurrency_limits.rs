use super::*;

/// Time without a heartbeat after which the demand of a peer no longer counts.
const MAX_DEMAND_AGE: Duration = Duration::from_secs(3);

/// Weight of each running or waiting request. Each live instance also has a base weight of 1, which
/// stands for demand that it has not announced yet.
const DEMAND_WEIGHT: u64 = 4;

/// Interval at which this instance samples its own demand.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Number of samples kept. They must span one heartbeat interval: demand that has lasted that long
/// is known to all peers.
const SAMPLE_COUNT: usize = 6;

/// Time for which one instance may use the rounding remainder of a limit.
const TURN_MS: u64 = 2_000;

/// Numbers of running and waiting requests, by account.
type Demands = BTreeMap<AccountId, (u32, u32)>;

/// Concurrency limits of accounts, divided among the live instances in proportion to their demand.
#[derive(Clone, Debug, Default)]
pub struct ConcurrencyLimits {
    own: Demands,
    peers: BTreeMap<InstanceId, PeerDemand>,
    sampled_at: Option<Duration>,
    samples: VecDeque<Demands>,
}

#[derive(Clone, Debug, Default)]
struct PeerDemand {
    /// Demand in its last two heartbeats, the latest last.
    announced: VecDeque<Demands>,
    received_at: Duration,
}

/// Weights of this instance and of its live peers, for one account or for all accounts.
struct Weights {
    own: u64,
    peers: Vec<u64>,
}

impl ConcurrencyLimits {
    /// Demand at this instance, to be sent in heartbeats.
    #[must_use]
    pub fn demands(&self) -> Vec<Demand> {
        let mut demands = Vec::new();
        for (account, (running_count, waiting_count)) in &self.own {
            demands.push(Demand {
                account: account.clone(),
                running_count: *running_count,
                waiting_count: *waiting_count,
            });
        }
        demands
    }

    /// Total demand divided by the demand here: the number of instances like this one that share
    /// the targets. At least 1, and at most the number of live instances.
    #[must_use]
    pub fn sharing_factor(&self, now: Duration) -> f64 {
        let sum = |demands: &Demands| demands.values().map(|counts| counts.0 + counts.1).sum();
        let mut factor = 1.0_f64;
        for weights in self.weights(now, &sum) {
            factor = factor.max(weights.total() as f64 / weights.own as f64);
        }
        factor.min(1.0 + self.live(now).count() as f64)
    }

    /// Records the demand in the heartbeat of a peer.
    pub fn heartbeat_received(&mut self, now: Duration, heartbeat: &Heartbeat) {
        if heartbeat.leaving && heartbeat.demands.is_empty() {
            self.peers.remove(&heartbeat.sender);
            return;
        }
        let mut demands = Demands::new();
        for demand in &heartbeat.demands {
            let counts = (demand.running_count, demand.waiting_count);
            demands.insert(demand.account.clone(), counts);
        }
        let peer = self.peers.entry(heartbeat.sender.clone()).or_default();
        peer.received_at = now;
        push_bounded(&mut peer.announced, demands, 2);
    }

    /// Whether one more request of an account may start here, given the `limit` for all instances
    /// together.
    ///
    /// Each instance has a share of the limit in proportion to its demand. The remainder from
    /// rounding goes to one instance at a time, in an order that changes with every turn, so that
    /// even a small limit serves every instance. It is not used in the second half of a turn: the
    /// requests that were started with it must be known to the next instance, by heartbeat, before
    /// its turn starts.
    #[must_use]
    pub fn may_start(
        &self,
        now: Duration,
        wall: SystemTime,
        identity: &Identity,
        account: &AccountId,
        limit: u32,
    ) -> bool {
        let own_running = self.own.get(account).map_or(0, |(running, _)| *running);
        let since_epoch = wall.duration_since(SystemTime::UNIX_EPOCH);
        let millis = since_epoch.unwrap_or_default().as_millis() as u64;
        let turn = millis / TURN_MS;
        let own_rank = turn_rank(&identity.instance, account, turn);
        let mut has_turn = millis % TURN_MS < TURN_MS / 2;
        let mut total_running = own_running;
        for (instance, peer) in self.live(now) {
            let newest = peer.announced.back();
            let counts = newest.and_then(|demands| demands.get(account));
            total_running += counts.map_or(0, |(running, _)| *running);
            has_turn &= turn_rank(instance, account, turn) < own_rank;
        }
        if total_running >= limit {
            return false;
        }
        let of_account = |demands: &Demands| -> u32 {
            let counts = demands.get(account).copied().unwrap_or_default();
            counts.0 + counts.1
        };
        let weights = self.weights(now, &of_account);
        let shares = weights.map(|weights| weights.share(u64::from(limit), has_turn));
        shares
            .into_iter()
            .all(|share| u64::from(own_running) < share)
    }

    /// Adds to the numbers of running and waiting requests of an account here.
    pub fn adjust(&mut self, account: &AccountId, running: i32, waiting: i32) {
        let counts = self.own.entry(account.clone()).or_default();
        counts.0 = counts.0.saturating_add_signed(running);
        counts.1 = counts.1.saturating_add_signed(waiting);
        if *counts == (0, 0) {
            self.own.remove(account);
        }
    }

    /// Number of running requests of all accounts here.
    #[must_use]
    pub fn running_count(&self) -> u32 {
        self.own.values().map(|(running, _)| running).sum()
    }

    /// Removes peers without recent heartbeats and samples the demand here.
    pub fn tick(&mut self, now: Duration) {
        self.peers
            .retain(|_, peer| now.saturating_sub(peer.received_at) <= MAX_DEMAND_AGE);
        if self.sampled_at.is_none_or(|at| now >= at + SAMPLE_INTERVAL) {
            self.sampled_at = Some(now);
            push_bounded(&mut self.samples, self.own.clone(), SAMPLE_COUNT);
        }
    }

    /// Number of waiting requests of all accounts here.
    #[must_use]
    pub fn waiting_count(&self) -> u32 {
        self.own.values().map(|(_, waiting)| waiting).sum()
    }

    fn live(&self, now: Duration) -> impl Iterator<Item = (&InstanceId, &PeerDemand)> {
        let is_live =
            move |peer: &PeerDemand| now.saturating_sub(peer.received_at) <= MAX_DEMAND_AGE;
        self.peers.iter().filter(move |(_, peer)| is_live(peer))
    }

    /// Weights by current demand, and by the minimum demand over the last heartbeat interval. When
    /// demand rises at several instances at once, the first do not include what the others have yet
    /// to announce, and the second still divide the limit as before the rise.
    fn weights(&self, now: Duration, demand: &dyn Fn(&Demands) -> u32) -> [Weights; 2] {
        let minimum = |demands: &VecDeque<Demands>| demands.iter().map(demand).min();
        let mut present = Weights {
            own: demand_weight(Some(demand(&self.own))),
            peers: Vec::new(),
        };
        let mut sustained = Weights {
            own: demand_weight(minimum(&self.samples)),
            peers: Vec::new(),
        };
        for (_, peer) in self.live(now) {
            present
                .peers
                .push(demand_weight(peer.announced.back().map(demand)));
            sustained
                .peers
                .push(demand_weight(minimum(&peer.announced)));
        }
        [present, sustained]
    }
}

impl Weights {
    /// Share of this instance in a limit, with the rounding remainder if `with_remainder` is set.
    fn share(&self, limit: u64, with_remainder: bool) -> u64 {
        let total = self.total();
        let part = |weight: u64| limit * weight / total;
        let own = part(self.own);
        if !with_remainder {
            return own;
        }
        let others: u64 = self.peers.iter().copied().map(part).sum();
        limit - others
    }

    fn total(&self) -> u64 {
        self.own + self.peers.iter().sum::<u64>()
    }
}

fn push_bounded(queue: &mut VecDeque<Demands>, demands: Demands, limit: usize) {
    queue.push_back(demands);
    if queue.len() > limit {
        queue.pop_front();
    }
}

/// Rank of an instance in the order of a turn. All builds must use the same hash: two instances
/// that rank differently would both use the remainder.
fn turn_rank(instance: &InstanceId, account: &AccountId, turn: u64) -> u64 {
    rendezvous::weight(&format!("{turn}/{account}"), instance)
}

fn demand_weight(demand: Option<u32>) -> u64 {
    u64::from(demand.unwrap_or_default()) * DEMAND_WEIGHT + 1
}
