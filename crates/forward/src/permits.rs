//! Permits for requests to targets that limit their rate.

use super::*;

/// Longest wait for the answer of an owner. Instances in one region answer within a few milliseconds.
const OWNER_TIMEOUT: Duration = Duration::from_millis(150);
/// Added to the expected wait for a permit, so that the request still counts as able to wait when the target is
/// chosen again a moment later.
const WAIT_MARGIN: Duration = Duration::from_millis(20);
/// Longest time after which a refused caller is asked to retry. Limits change within minutes.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Number of targets that are tried for a permit. Each denial is remembered, so that few requests need more
/// than two tries.
const MAX_TRIES: usize = 16;
/// Share of the longest wait for a permit that less urgent requests use. The rest is left for more urgent
/// ones.
const LESS_URGENT_WAIT_SHARE: f64 = 0.5;

/// Access to the instances that own the limits of targets.
pub trait PermitPeers: Send + Sync {
    /// Asks another instance for a permit.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not answer.
    fn ask(
        &self,
        instance: &Instance,
        query: PermitQuery,
    ) -> BoxFuture<'_, Result<PermitReply, Error>>;
}

/// Permits that this instance gives out, and access to the instances that give out others.
pub struct Permits {
    peers: OnceLock<Arc<dyn PermitPeers>>,
    table: Mutex<PermitTable>,
}

impl Permits {
    pub(crate) fn new(own: Arc<str>) -> Self {
        Self {
            peers: OnceLock::new(),
            table: Mutex::new(PermitTable::new(own)),
        }
    }

    /// Sets the access to other instances. Has no effect if it is set already.
    pub fn set_peers(&self, peers: Arc<dyn PermitPeers>) {
        let _ = self.peers.set(peers);
    }

    pub(crate) fn set_instances(&self, now: Duration, instances: &[Instance]) {
        let ids = instances.iter().map(|instance| instance.id.clone());
        self.table().members.set(now, ids.collect());
    }

    fn table(&self) -> MutexGuard<'_, PermitTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Router {
    /// Answers another instance, or this one, that asks for a permit. Learns the limit from the query if it
    /// was announced later than the one that is known here.
    #[must_use]
    pub fn answer_permit(&self, query: &PermitQuery) -> PermitReply {
        let now = clock::now();
        let (rate_per_s, announced_at) = self.merge_limit(
            now,
            (&query.target, query.incarnation),
            (query.rate_per_s, query.announcement_age),
        );
        let permit = match (query.wants_permit, rate_per_s) {
            (false, _) => None,
            (true, None) => Some(Permit::Granted(Duration::ZERO)),
            (true, Some(rate_per_s)) => self.permits.table().take_owned(now, query, rate_per_s),
        };
        PermitReply {
            announcement_age: now.saturating_sub(announced_at),
            permit,
            rate_per_s,
        }
    }

    /// Applies a limit that another instance knows. Returns the later one of that and the own one, with the
    /// time of its announcement.
    fn merge_limit(
        &self,
        now: Duration,
        (target, incarnation): (&str, u64),
        (rate_per_s, age): (Option<f64>, Duration),
    ) -> (Option<f64>, Duration) {
        let announced_at = now.saturating_sub(age);
        let mut fleet = self.fleet();
        let Some(key) = fleet.key_of(target, incarnation) else {
            return (rate_per_s, announced_at);
        };
        if fleet.record_rate_limit(announced_at, key, rate_per_s) {
            tracing::info!(
                target,
                rate_per_s,
                age_ms = age.as_millis() as u64,
                "another instance reports a changed limit on requests"
            );
        }
        let limit = fleet.rate_limit(key).unwrap_or_default();
        (limit.per_s, limit.announced_at)
    }

    /// Takes a permit for one request to a target, which is available within `max_wait`.
    async fn take_permit(&self, target: &Stage, max_wait: Duration) -> Permit {
        let Some(query) = self.permit_query(target, max_wait) else {
            return Permit::Granted(Duration::ZERO);
        };
        let reply = match self.ask_owner(&query).await {
            None => None,
            Some(reply) => {
                let known = (reply.rate_per_s, reply.announcement_age);
                let id = (&*query.target, query.incarnation);
                let (rate_per_s, _) = self.merge_limit(clock::now(), id, known);
                if rate_per_s.is_none() {
                    return Permit::Granted(Duration::ZERO);
                }
                reply.permit
            }
        };
        match reply {
            None => {}
            // A reply that does not fit the query is not relied on.
            Some(Permit::Granted(wait)) if wait > max_wait => {}
            Some(permit) => return permit,
        }
        metrics::counter!("forward_permit_fallbacks_total").increment(1);
        let rate_per_s = query.rate_per_s.unwrap_or_default();
        let mut table = self.permits.table();
        table.take_fallback(clock::now(), &query, rate_per_s)
    }

    /// Query for a permit; none if the target needs none.
    fn permit_query(&self, target: &Stage, max_wait: Duration) -> Option<PermitQuery> {
        let limit = self.fleet().rate_limit(target.key)?;
        limit.per_s?;
        Some(PermitQuery {
            announcement_age: clock::now().saturating_sub(limit.announced_at),
            incarnation: target.incarnation,
            max_wait,
            rate_per_s: limit.per_s,
            target: target.id.clone(),
            wants_permit: true,
        })
    }

    /// Asks the owner of a limit, which may be this instance. Returns none if it does not answer.
    async fn ask_owner(&self, query: &PermitQuery) -> Option<PermitReply> {
        let now = clock::now();
        let owner = {
            let table = self.permits.table();
            let owner = table.members.owner(&query.target).clone();
            if owner == self.settings.instance_id {
                None
            } else if !table.is_reachable(now, &owner) {
                return None;
            } else {
                Some(owner)
            }
        };
        let Some(owner) = owner else {
            return Some(self.answer_permit(query));
        };
        let instance = self.instance(&owner)?;
        let peers = self.permits.peers.get()?;
        let answer = timeout(OWNER_TIMEOUT, peers.ask(&instance, query.clone())).await;
        let error = match answer {
            Ok(Ok(reply)) => return Some(reply),
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer within {OWNER_TIMEOUT:?}"),
        };
        self.permits
            .table()
            .record_unreachable(clock::now(), &owner);
        tracing::info!(
            target = &*query.target,
            owner = &*owner,
            error,
            "no permit from the owner of a limit, using the own share"
        );
        None
    }
}

/// Reports the limit of a target to its owner after it changed. Instances that ask for permits learn of the
/// change from the owner.
pub(crate) async fn report_limit(router: Arc<Router>, target: Stage) {
    let Some(limit) = router.fleet().rate_limit(target.key) else {
        return;
    };
    let query = PermitQuery {
        announcement_age: clock::now().saturating_sub(limit.announced_at),
        incarnation: target.incarnation,
        max_wait: Duration::ZERO,
        rate_per_s: limit.per_s,
        target: target.id,
        wants_permit: false,
    };
    router.ask_owner(&query).await;
}

/// Chooses a path whose first target may receive the request now. Waits if all such targets limit their
/// requests and a permit is expected in time.
pub(crate) async fn choose(
    router: &Router,
    admitted: &Admitted,
    demand: &Demand,
) -> Result<Path, Refusal> {
    let mut demand = demand.clone();
    let wait_until = admitted.permit_deadline(&router.settings);
    let mut shortest = Duration::MAX;
    for _ in 0..MAX_TRIES {
        let path = match wait_queue::choose(router, admitted, &demand).await {
            Ok(path) => path,
            Err(Refusal::Unavailable(NoPath::RateLimited(wait))) => {
                shortest = wait.min(MAX_RETRY_AFTER);
                if clock::now() + wait > wait_until {
                    break;
                }
                demand.max_permit_wait = wait + WAIT_MARGIN;
                continue;
            }
            Err(refusal) => return Err(refusal),
        };
        let target = path.first();
        let max_wait = match demand.max_permit_wait.is_zero() {
            true => Duration::ZERO,
            false => wait_until.saturating_sub(clock::now()),
        };
        match router.take_permit(target, max_wait).await {
            Permit::Granted(wait) => {
                if !wait.is_zero() {
                    tracing::info!(
                        request = &*admitted.metadata.id,
                        target = &*target.id,
                        wait_ms = wait.as_millis() as u64,
                        "waiting for a permit of a target that limits its requests"
                    );
                    tokio::time::sleep(wait).await;
                }
                return Ok(path);
            }
            Permit::Denied(wait) => {
                shortest = shortest.min(wait.min(MAX_RETRY_AFTER));
                let mut fleet = router.fleet();
                fleet.record_denial(clock::now(), target.key, wait);
            }
        }
    }
    Err(Refusal::Unavailable(NoPath::RateLimited(shortest)))
}

impl Admitted {
    /// Until when the request may wait for a permit. Permits go in the order of arrival, so longer waits would
    /// make all answers late while the limit is below the demand.
    fn permit_deadline(&self, settings: &ForwardSettings) -> Duration {
        let goal = self.first_event_goal(settings);
        let mut limit = goal.mul_f64(settings.queue_goal_share);
        if self.demand().keeps_urgent_reserve {
            limit = limit.mul_f64(LESS_URGENT_WAIT_SHARE);
        }
        (clock::now() + limit).min(self.deadline)
    }
}
