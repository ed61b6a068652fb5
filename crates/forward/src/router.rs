use super::*;

/// State that all threads share: configuration, targets and connections.
///
/// Invariant: a thread that holds one lock takes no other one, so that threads cannot wait for each other. Two
/// pairs are excepted, whose second locks are never held while another one is taken: the random numbers and then
/// the fleet or the helpers, and the idle connections and then the state of one of them. Builds with debug
/// assertions check the order of all locks.
pub struct Router {
    pub(crate) answer_buffers: AnswerBuffers,
    /// When the process ends; none unless it was asked to stop.
    ends_at: OnceLock<Duration>,
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
    catalog: Mutex<LatestCatalog>,
    pub(crate) header_codec: Arc<dyn HeaderCodec>,
    pub(crate) links: Links,
    fleet: Mutex<Fleet>,
    instances: Mutex<Vec<Instance>>,
    is_leaving: AtomicBool,
    pub(crate) permits: Permits,
    pub(crate) pool: Pool,
    pub(crate) prober: Prober,
    pub(crate) prompt_parts: PromptParts,
    retry_share: Mutex<RetryShare>,
    rng: Mutex<SmallRng>,
    wait_queues: Mutex<HashMap<ServiceName, Arc<WaitQueue>>>,
    pub(crate) settings: ForwardSettings,
    suspects: Mutex<Suspects>,
}

impl Router {
    /// Creates a router without configuration and targets. `seed` seeds its random numbers.
    #[must_use]
    pub fn new(
        settings: ForwardSettings,
        header_codec: Arc<dyn HeaderCodec>,
        engines: Arc<dyn Engines>,
        seed: u64,
    ) -> Arc<Self> {
        let connector = Arc::new(TcpConnector);
        Self::with_connector(settings, header_codec, engines, connector, seed)
    }

    /// Creates a router that opens the connections to targets with `connector`.
    #[must_use]
    pub fn with_connector(
        settings: ForwardSettings,
        header_codec: Arc<dyn HeaderCodec>,
        engines: Arc<dyn Engines>,
        connector: Arc<dyn Connector>,
        seed: u64,
    ) -> Arc<Self> {
        let links = Links::new(connector, header_codec.id_header());
        let held_until = clock::now() + settings.retry_hold;
        Arc::new(Self {
            answer_buffers: AnswerBuffers::new(settings.max_buffered_bytes),
            ends_at: OnceLock::new(),
            budgets: Mutex::default(),
            catalog: Mutex::default(),
            header_codec,
            links,
            fleet: Mutex::new(Fleet::new(settings.fleet.clone())),
            instances: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            permits: Permits::new(settings.instance_id.clone()),
            pool: Pool::default(),
            prober: Prober::new(engines),
            prompt_parts: PromptParts::new(settings.prompt_parts.clone(), seed),
            retry_share: Mutex::new(RetryShare::new(settings.extra_retries, held_until)),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            wait_queues: Mutex::default(),
            suspects: Mutex::new(Suspects::new(settings.quarantine.clone())),
            settings,
        })
    }

    /// Locks the known targets and their load.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Records the loads of targets that all other instances report together.
    pub fn set_peer_loads(&self, loads: &[SharedLoad]) {
        if self.fleet().set_peer_loads(clock::now(), loads) {
            self.prober.probe_requested.notify_one();
        }
    }

    /// Locks the requests that are suspected of crashing targets.
    pub fn suspects(&self) -> MutexGuard<'_, Suspects> {
        lock(&self.suspects)
    }

    /// Permits for requests to targets that limit their rate.
    pub fn permits(&self) -> &Permits {
        &self.permits
    }

    /// Parts of prompts that are suspected of crashing targets.
    pub fn prompt_parts(&self) -> &PromptParts {
        &self.prompt_parts
    }

    /// Locks the latest configuration.
    pub fn catalog(&self) -> MutexGuard<'_, LatestCatalog> {
        lock(&self.catalog)
    }

    /// Replaces the instances that accept requests of callers.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        self.fleet().set_instance_count(instances.len());
        lock(&self.retry_share).set_instance_count(clock::now(), instances.len());
        self.permits.set_instances(clock::now(), &instances);
        *lock(&self.instances) = instances;
    }

    /// Records that the list of instances is that of the leader, which knows all of them.
    pub fn confirm_instances(&self) {
        lock(&self.retry_share).confirm(clock::now());
    }

    /// Instances that accept requests of callers.
    pub fn instances(&self) -> Vec<Instance> {
        lock(&self.instances).clone()
    }

    /// Instance with an id; none if it is not in the list.
    pub(crate) fn instance(&self, id: &str) -> Option<Instance> {
        let instances = lock(&self.instances);
        instances.iter().find(|one| &*one.id == id).cloned()
    }

    /// Replaces the list of targets. Closes idle connections to targets that were removed, and treats
    /// requests that were interrupted there as crashes.
    pub fn set_targets(&self, listing: &[Target]) {
        let keys: HashSet<TargetKey> = {
            let mut fleet = self.fleet();
            fleet.set_targets(clock::now(), listing);
            let keys = listing
                .iter()
                .filter_map(|target| fleet.key_of(&target.id, target.incarnation));
            keys.collect()
        };
        self.pool.retain_listed(|key| keys.contains(&key));
        self.prompt_parts.retain_listed(|key| keys.contains(&key));
        self.record_listed_ends();
    }

    /// Records that this instance was asked to stop.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Records that this instance was asked to stop, and when the process ends.
    pub fn leave_by(&self, ends_at: Duration) {
        let _ = self.ends_at.set(ends_at);
        self.leave();
    }

    /// Whether the process may end before a request that may run once is answered. Its caller could not learn
    /// whether it has run, and is served elsewhere.
    pub(crate) fn may_cut(&self, admitted: &Admitted) -> bool {
        let is_once = admitted.route.repeat == RepeatPolicy::Once;
        is_once
            && self
                .ends_at
                .get()
                .is_some_and(|ends_at| admitted.deadline > *ends_at)
    }

    /// Whether this instance was asked to stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Whether this instance can serve requests: it has a configuration and is not leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.catalog().catalog().is_some()
    }

    /// Handler that serves the requests of callers.
    #[must_use]
    pub fn handler(self: &Arc<Self>) -> Arc<dyn wire::Handler> {
        Arc::new(Ingress(self.clone()))
    }

    /// Merges the departures of targets that other instances know of. Returns whether any of them is new.
    pub fn merge_departures(&self, departures: &[Departure]) -> bool {
        let has_new = self.fleet().merge_departures(clock::now(), departures);
        if has_new {
            let ids: Vec<&str> = departures.iter().map(|one| &*one.id).collect();
            tracing::info!(
                targets = ids.join(","),
                "other instances report that targets are leaving"
            );
        }
        has_new
    }

    /// Time after which a refused caller may retry. Includes random jitter, so that callers that were
    /// refused together do not retry together.
    pub(crate) fn retry_after(&self, refusal: Refusal) -> Duration {
        let spread = self.settings.retry_after.mul_f64(self.random_fraction());
        match refusal {
            Refusal::Quarantined(wait) | Refusal::SuspectPart(wait) => wait,
            Refusal::Full(wait) => wait.max(self.settings.retry_after) + spread,
            Refusal::Unavailable(NoPath::Paused(wait) | NoPath::RateLimited(wait)) => wait + spread,
            _ => self.settings.retry_after + spread,
        }
    }

    /// Queue of the requests of a service that wait for capacity.
    pub(crate) fn wait_queue(&self, service: &ServiceName) -> Arc<WaitQueue> {
        let mut wait_queues = lock(&self.wait_queues);
        if let Some(wait_queue) = wait_queues.get(service) {
            return wait_queue.clone();
        }
        let wait_queue = Arc::new(WaitQueue::new(self.settings.admission.clone()));
        wait_queues.insert(service.clone(), wait_queue.clone());
        wait_queue
    }

    pub(crate) fn random_fraction(&self) -> f64 {
        lock(&self.rng).random_range(0.0..1.0)
    }

    /// Runs `act` with the random numbers of this router.
    pub(crate) fn with_rng<T>(&self, act: impl FnOnce(&mut SmallRng) -> T) -> T {
        act(&mut lock(&self.rng))
    }

    pub(crate) fn choose(&self, admitted: &Admitted, demand: &Demand) -> Result<Path, NoPath> {
        if let Some(profile) = admitted.pipeline() {
            return self.choose_with(admitted, profile, demand);
        }
        let rng = &mut *lock(&self.rng);
        let fleet = self.fleet();
        fleet.choose_target(clock::now(), &admitted.service, demand, rng)
    }

    pub(crate) fn choose_with(
        &self,
        admitted: &Admitted,
        profile: &EngineProfile,
        demand: &Demand,
    ) -> Result<Path, NoPath> {
        let local_domain = &self.settings.local_domain;
        let rng = &mut *lock(&self.rng);
        let fleet = self.fleet();
        fleet.choose_path(
            clock::now(),
            &admitted.service,
            profile,
            demand,
            local_domain,
            rng,
        )
    }

    /// Records a failure of a target, unless this instance has lost its links to all of them.
    pub(crate) fn record_failure(&self, admitted: &Admitted, target: &Stage, error: &wire::Error) {
        let now = clock::now();
        // Whether the target or the links are at fault is found out by the check.
        let is_unclear = matches!(
            error,
            wire::Error::Broken { .. } | wire::Error::Timeout { .. }
        );
        if is_unclear {
            self.links.request_check();
        }
        let is_avoided_now = if is_unclear && self.links.is_cut_off() {
            false
        } else {
            self.fleet()
                .record_outcome(now, target.key, Outcome::Failed)
        };
        match error {
            wire::Error::Broken { .. } => self.record_broken_connection(admitted, target),
            wire::Error::Connect { .. } => {
                self.record_sign(&crash_checks::target_run(target), TargetSign::Gone);
            }
            _ => {}
        }
        tracing::info!(
            request = &*admitted.metadata.id,
            target = &*target.id,
            is_avoided_now,
            %error,
            "target failed"
        );
    }

    /// Records that the connection to a target broke before the answer was complete.
    pub(crate) fn record_broken_connection(&self, admitted: &Admitted, target: &Stage) {
        let is_staying = self.is_staying(target);
        self.suspects().record_interruption(
            clock::now(),
            admitted.fingerprint,
            &admitted.metadata.id,
            target,
            is_staying,
        );
    }

    pub(crate) fn record_request(&self, service: &ServiceName) {
        self.with_budget(service, |budget| budget.record_request(clock::now()));
    }

    /// Requests per second for a service at all instances, estimated from those at this one.
    pub fn requests_per_s(&self, service: &ServiceName) -> f64 {
        let count = lock(&self.instances).len().max(1);
        let own_per_s = self.with_budget(service, |budget| budget.requests_per_s(clock::now()));
        own_per_s * count as f64
    }

    /// Takes one retry of a request from the budget of its service. Returns whether the budget allowed it.
    pub(crate) fn try_retry(&self, request: &RequestId, service: &ServiceName) -> bool {
        let now = clock::now();
        let share = lock(&self.retry_share).clone();
        let (extra_share, instances) = (share.extra_retries(now), share.divisor(now));
        let (is_allowed, (credit, extra_used)) = self.with_budget(service, |budget| {
            let is_allowed = budget.try_retry(now, extra_share);
            (is_allowed, budget.balance(now))
        });
        metrics::counter!("forward_retries_total", "allowed" => is_allowed.to_string())
            .increment(1);
        tracing::info!(
            request = &**request,
            service = &**service,
            is_allowed,
            credit,
            extra_used,
            extra_share,
            instances,
            "retry budget"
        );
        is_allowed
    }

    fn with_budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let settings = &self.settings;
        let mut budgets = lock(&self.budgets);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(settings.retry_ratio, settings.retry_window));
        act(budget)
    }
}

struct Ingress(Arc<Router>);

/// Smallest limit for the size of a request head that the server supports, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

impl wire::Handler for Ingress {
    fn close_policy(&self) -> ClosePolicy {
        ClosePolicy::EndAfterGrace
    }

    fn limits(&self, limits: wire::Limits) -> wire::Limits {
        let configured = self.0.catalog().catalog().map(|held| held.limits());
        let Some(configured) = configured else {
            return limits;
        };
        wire::Limits {
            body_bytes: configured.body_bytes,
            head_bytes: configured.head_bytes.max(MIN_HEAD_BYTES),
            idle_ms: configured.idle_time.as_millis() as u64,
            ..limits
        }
    }

    fn handle(self: Arc<Self>, request: Request) -> BoxFuture<'static, Response> {
        let router = self.0.clone();
        async move {
            let mut response = exchange::respond(router.clone(), request).await;
            // A request that arrives behind a stream could not be answered after a head that ends the connection.
            let is_stream = response.body().size_hint().exact().is_none();
            if router.is_leaving() && !is_stream {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            response
        }
        .boxed()
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
