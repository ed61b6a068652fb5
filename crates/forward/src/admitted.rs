use super::*;

/// Maximum number of parts of a prompt in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// A request that passed the checks against the configuration.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    pub(crate) account: Option<Account>,
    /// When the first byte of the request arrived, from which the caller counts its deadline.
    pub(crate) arrived_at: Duration,
    /// Deadline of the final answer.
    pub(crate) deadline: Duration,
    pub(crate) metadata: RequestMetadata,
    /// Lowest rank, which is the most urgent one, of all requests of the service.
    most_urgent_rank: u32,
    /// Hash of path, query, account and body, which identifies repetitions of the same request.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) profile: Option<Arc<EngineProfile>>,
    /// Account, request and shared parts of the prompt, by which crashes are attributed to a part.
    pub(crate) prompt_run: PromptRun,
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    pub(crate) version: u64,
}

impl Admitted {
    /// Checks a request against the configuration.
    pub(crate) fn check(
        router: &Router,
        request: &Request,
        metadata: RequestMetadata,
    ) -> Result<Self, Refusal> {
        let now = clock::now();
        let (catalog, is_fresh) = {
            let latest = router.catalog();
            let catalog = latest.catalog().cloned();
            (
                catalog,
                latest.is_fresh(now, router.settings.max_catalog_age),
            )
        };
        let catalog = catalog.ok_or(Refusal::NoConfiguration)?;
        let host = request.header(HOST.as_str()).unwrap_or_default();
        let route = match catalog.route(host, &request.path) {
            Some(route) => route,
            None if is_fresh => return Err(Refusal::UnknownRoute),
            // A stale configuration may lack a route that exists by now.
            None => return Err(Refusal::NoConfiguration),
        };
        let account = account_of(&catalog, route, &metadata, is_fresh)?;
        let fingerprint = fingerprint_of(request, account.as_ref());
        if let Some(blocked) = router.suspects().blocked_for(now, fingerprint) {
            return Err(Refusal::Quarantined(blocked));
        }
        let service = route.service(router.random_fraction());
        let service = service
            .ok_or(Refusal::Unavailable(NoPath::NoTarget))?
            .clone();
        let profile = catalog
            .service(&service)
            .and_then(|service| service.engine.clone());
        let time_limit = metadata.time_limit.unwrap_or(Duration::MAX);
        let limit = route.time_limit.min(time_limit);
        let prompt_run = prompt_run(&service, account.as_ref(), fingerprint, &metadata);
        Ok(Self {
            account,
            arrived_at: request.arrived_at,
            deadline: request.arrived_at.saturating_add(limit),
            metadata,
            most_urgent_rank: catalog.most_urgent_rank(&service),
            fingerprint,
            profile,
            prompt_run,
            route: route.clone(),
            service,
            version: catalog.version(),
        })
    }

    /// Profile of a model whose layers are distributed over several engines; none if a single target serves
    /// the request.
    pub(crate) fn pipeline(&self) -> Option<&EngineProfile> {
        let profile = self.profile.as_deref()?;
        (profile.layer_count > 0).then_some(profile)
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(clock::now())
    }

    pub(crate) fn demand(&self) -> Demand {
        let metadata = &self.metadata;
        let pipeline = self.pipeline();
        let answer_tokens = match (metadata.expected_tokens, metadata.answer_tokens) {
            (Some(expected), Some(max)) => expected.min(max),
            (Some(tokens), None) | (None, Some(tokens)) => tokens,
            (None, None) => pipeline.map_or(0.0, |profile| profile.usual_answer_tokens),
        };
        let prompt_tokens = metadata.prompt_tokens;
        Demand {
            answer_tokens,
            excluded: Vec::new(),
            max_permit_wait: Duration::ZERO,
            pinned_first: None,
            first_event_limit_ms: None,
            keeps_urgent_reserve: self.rank() > self.most_urgent_rank,
            prompt_tokens: prompt_tokens
                .unwrap_or_else(|| pipeline.map_or(0.0, |profile| profile.usual_prompt_tokens)),
        }
    }

    /// Id of a shared part of the prompt; `request` for the whole request.
    pub(crate) fn suspect_id(&self, part: Fingerprint) -> &str {
        let mut ids = self.metadata.shared_parts.iter();
        let id = ids.find(|id| part_fingerprint(&self.service, id) == part);
        id.map_or("request", |id| id)
    }

    /// Ids of the first shared parts of the prompt, for logs.
    pub(crate) fn shared_parts_text(&self) -> String {
        let parts = &self.metadata.shared_parts;
        parts[..parts.len().min(MAX_LOGGED_PARTS)].join(",")
    }

    /// Rank of the request; 0 is the most urgent.
    pub(crate) fn rank(&self) -> u32 {
        let account = self.account.as_ref();
        let rank = account.and_then(|account| account.rank);
        rank.unwrap_or(self.route.rank)
    }

    /// Name of the client account; empty if the request needs no key.
    pub(crate) fn account_name(&self) -> Arc<str> {
        self.account
            .as_ref()
            .map_or_else(|| "".into(), |account| account.name.clone())
    }

    /// Latency goal for the first event, with the default if the route has none.
    pub(crate) fn first_event_goal(&self, settings: &ForwardSettings) -> Duration {
        match self.route.latency_goal {
            goal if goal.is_zero() => settings.first_probe_delay,
            goal => goal,
        }
    }

    /// Limit for the time to the first event: the longest wait for capacity, and the longest expected time
    /// with which a request is still sent.
    pub(crate) fn first_event_limit(&self, settings: &ForwardSettings) -> Duration {
        self.first_event_goal(settings)
            .mul_f64(settings.max_wait_factor)
    }

    /// Queue entry of the request when it starts to wait for capacity at `now`.
    pub(crate) fn queued_request(
        &self,
        settings: &ForwardSettings,
        now: Duration,
    ) -> QueuedRequest {
        let waits_until = now + self.first_event_limit(settings);
        QueuedRequest {
            account: self.account_name(),
            arrived_at: now,
            goal_deadline: self.arrived_at
                + self
                    .first_event_goal(settings)
                    .mul_f64(settings.queue_goal_share),
            rank: self.rank(),
            deadline: waits_until.min(self.deadline),
        }
    }

    /// Time without a first event after which the engines of the path are probed.
    pub(crate) fn first_probe_delay(&self, settings: &ForwardSettings) -> Duration {
        let goal = self.route.latency_goal;
        if goal.is_zero() {
            return settings.first_probe_delay;
        }
        goal.mul_f64(settings.first_probe_share)
    }

    /// Minimum and maximum time without a further event after which the engines of the path are probed.
    pub(crate) fn gap_probe_limits(&self, settings: &ForwardSettings) -> (Duration, Duration) {
        let goal = self.route.gap_goal.filter(|goal| !goal.is_zero());
        let longest = goal.unwrap_or(settings.gap_goal);
        (longest.mul_f64(settings.gap_probe_share), longest)
    }
}

/// Account of a request; none if it needs no key.
fn account_of(
    catalog: &Catalog,
    route: &Route,
    metadata: &RequestMetadata,
    is_fresh: bool,
) -> Result<Option<Account>, Refusal> {
    if !catalog.needs_key() || route.is_public {
        return Ok(None);
    }
    if !is_fresh {
        return Err(Refusal::NoConfiguration);
    }
    let key = metadata.key.as_deref().unwrap_or_default();
    let account = catalog.account(key).ok_or(Refusal::UnknownKey)?;
    Ok(Some(account.clone()))
}

/// Hash by which two requests count as the same: path, query, account and body.
fn fingerprint_of(request: &Request, account: Option<&Account>) -> Fingerprint {
    let name = account.map_or("", |account| &*account.name);
    fingerprint(&[
        request.path.as_bytes(),
        request.query.as_bytes(),
        name.as_bytes(),
        &request.body,
    ])
}

/// Describes the request to the quarantine of prompt parts.
fn prompt_run(
    service: &ServiceName,
    account: Option<&Account>,
    request: Fingerprint,
    metadata: &RequestMetadata,
) -> PromptRun {
    let name = account.map_or("", |account| &*account.name);
    let parts = metadata.shared_parts.iter();
    let parts = parts.map(|id| part_fingerprint(service, id));
    PromptRun::new(fingerprint(&[name.as_bytes()]), request, parts)
}

/// Hash of a part of a prompt. The same part counts separately for each service, whose targets may run other
/// software.
fn part_fingerprint(service: &ServiceName, id: &str) -> Fingerprint {
    fingerprint(&[service.as_bytes(), id.as_bytes()])
}
