use super::*;

/// Time without events from which the process counts as paused; ticks come every 50 ms.
const PAUSE: Duration = Duration::from_secs(1);

/// One entry instance's decisions: a deterministic state machine driven by one thread.
#[derive(Debug)]
pub struct Node {
    pub(crate) configs: Configs,
    pub(crate) context: Context,
    pub(crate) drain: Drain,
    pub(crate) identity: Identity,
    pub(crate) members: Members,
    pub(crate) orders: Orders,
    pub(crate) records: Records,
    pub(crate) requests: Requests,
    started: SystemTime,
    /// Time up to which heartbeats may be from before a pause of this process, and do not show that
    /// its peers are heard.
    stale_until: Duration,
    /// Time after a pause by which such heartbeats count as old.
    stale_wait: Duration,
    ticked_at: Duration,
}

impl Node {
    /// Creates a node at time zero, which is `wall` on the wall clock.
    #[must_use]
    pub fn new(settings: NodeSettings, identity: Identity, wall: SystemTime) -> Self {
        let random = ChaCha8Rng::seed_from_u64(settings.seed);
        let stale_wait_ms = settings.member.hearing_ms + settings.member.heartbeat_ms;
        Self {
            configs: Configs::new(settings.config.clone()),
            context: Context::new(random, wall),
            drain: Drain::new(settings.drain.clone()),
            identity: identity.clone(),
            members: Members::new(identity.clone(), settings.member.clone()),
            orders: Orders::new(settings.order.clone()),
            records: Records::new(identity, settings.record.clone()),
            requests: Requests::new(settings),
            stale_until: Duration::ZERO,
            stale_wait: Duration::from_millis(stale_wait_ms),
            started: wall,
            ticked_at: Duration::ZERO,
        }
    }

    /// Acts on one event. `now` is the time since the process started and must not decrease.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Command> {
        self.set_time(now);
        match event {
            Event::AttemptFailed { .. }
            | Event::CacheMoved { .. }
            | Event::CallCompleted { .. }
            | Event::CallSubmitted(_)
            | Event::CallerGone { .. }
            | Event::GenerateCompleted { .. }
            | Event::GenerateSubmitted(_)
            | Event::Progressed { .. } => self.request_event(event),
            Event::ChangesReceived { .. }
            | Event::EditSubmitted { .. }
            | Event::ListsReceived(_) => {
                self.config_event(event);
            }
            Event::DrainStarted => self.drain(),
            Event::Ticked => self.tick(),
            event => self.member_event(event),
        }
        self.flush_records();
        std::mem::take(&mut self.context.commands)
    }

    /// Events that a state chart did not list in the state that they met. Each is a defect.
    #[must_use]
    pub fn unexpected_count(&self) -> u64 {
        self.context.unexpected_count
    }

    /// Time by which the next `Event::Ticked` is due for any part, in the time of `handle`; none
    /// when the regular tick every 50 ms is early enough. What the last tick left over waits for
    /// the regular one, so a part that cannot act yet does not cause ticks in a loop.
    #[must_use]
    pub fn wake_at(&self) -> Option<Duration> {
        let times = [
            self.configs.wake_at(),
            self.records.wake_at(),
            self.requests.wake_at(),
        ];
        let later = times.into_iter().flatten();
        later.filter(|at| *at > self.ticked_at).min()
    }

    pub(crate) fn set_time(&mut self, now: Duration) {
        if now.saturating_sub(self.context.now) > PAUSE {
            self.stale_until = now + self.stale_wait;
        }
        self.context.now = now;
        self.context.wall = self.started + now;
    }

    /// Whether this instance hears from more than half of its view, by heartbeats that were sent
    /// after its last pause.
    pub(crate) fn hears_majority(&self, now: Duration) -> bool {
        now >= self.stale_until && self.members.has_majority(now)
    }

    fn drain(&mut self) {
        self.drain.start(self.context.now);
        self.requests.drain();
        // Answers to callers that ask for addresses leave this instance out from now on.
        self.tick();
    }

    /// Events of one request.
    fn request_event(&mut self, event: Event) {
        if let Event::AttemptFailed { failure, .. } = &event {
            let (target, kind) = (&failure.target, failure.kind);
            self.members
                .dispatch_failed(&mut self.context, target, kind);
        }
        let frees_or_adds = !matches!(event, Event::Progressed { .. });
        self.with_requests(|requests, env| {
            match event {
                Event::AttemptFailed {
                    delivered_tokens,
                    failure,
                    request,
                } => requests.attempt_failed(env, &request, &failure, delivered_tokens),
                Event::CacheMoved {
                    attempt,
                    from,
                    request,
                    result,
                } => requests.cache_moved(env, &request, attempt, &from, &result),
                Event::CallCompleted {
                    attempt,
                    reply,
                    request,
                } => requests.call_completed(env, &request, attempt, reply),
                Event::CallSubmitted(call) => requests.call_submitted(env, &call),
                Event::CallerGone { request } => requests.caller_gone(env, &request),
                Event::GenerateCompleted {
                    attempt,
                    request,
                    token_count,
                } => requests.generate_completed(env, &request, attempt, token_count),
                Event::GenerateSubmitted(generate) => requests.generate_submitted(env, generate),
                Event::Progressed {
                    delivered_tokens,
                    request,
                } => requests.progressed(env, &request, delivered_tokens),
                _ => {}
            }
            if frees_or_adds {
                requests.dispatch_ready(env);
            }
        });
    }

    /// Events about the operator lists.
    fn config_event(&mut self, event: Event) {
        self.note_majority();
        let context = &mut self.context;
        match event {
            Event::ChangesReceived { records } => self.configs.changes_received(context, &records),
            Event::EditSubmitted {
                base_version,
                change,
                operation,
            } => {
                let configs = &mut self.configs;
                configs.edit(context, &operation, base_version, change);
            }
            Event::ListsReceived(lists) => self.configs.lists_received(context, &lists),
            _ => {}
        }
    }

    /// Events about targets, peers and the store.
    fn member_event(&mut self, event: Event) {
        let context = &mut self.context;
        match event {
            Event::CacheEventsReceived { events, target } => {
                self.requests
                    .cache_events_received(context.now, &target, &events);
            }
            Event::HeartbeatFailed { peer } => self.members.heartbeat_failed(context, &peer),
            Event::HeartbeatReceived(heartbeat) => self.heartbeat_received(&heartbeat),
            Event::ListingRead { listings } => self.members.listing_read(context, listings),
            Event::LoadFailed { kind, target } => self.members.load_failed(context, &target, kind),
            Event::LoadReceived { report, target } => {
                self.load_received(&target, report);
            }
            Event::OrderFailed { order, target } => self.orders.failed(context, &target, &order),
            Event::OwnerAnswered {
                owner,
                request,
                status,
            } => {
                let records = &mut self.records;
                let effects = records.owner_answered(context, &owner, &request, status);
                self.apply_effects(effects);
            }
            Event::StoreReplied { result, ticket } => self.store_replied(ticket, &result),
            _ => {}
        }
    }

    fn load_received(&mut self, target: &TargetId, report: LoadReport) {
        let report = plausible(report);
        let known = self.members.target(target);
        if known.is_some_and(|known| known.incarnation != report.incarnation) {
            // A new process has an empty cache, and its events start over.
            self.requests.router.caches.forget(target);
        }
        self.orders
            .load_received(&mut self.context, target, &report);
        self.members
            .load_received(&mut self.context, target, report);
        self.dispatch_ready();
    }

    fn heartbeat_received(&mut self, heartbeat: &Heartbeat) {
        if heartbeat.sender == self.identity.instance {
            return;
        }
        self.members
            .heartbeat_received(&mut self.context, heartbeat);
        if let Some(peer) = self.members.peer(&heartbeat.sender) {
            let (id, address) = (peer.id.clone(), peer.peer_address);
            let version = heartbeat.config_version;
            self.configs
                .peer_version(&mut self.context, &id, address, version);
        }
        self.requests
            .heartbeat_received(self.context.now, heartbeat);
        self.dispatch_ready();
    }

    fn store_replied(&mut self, ticket: StoreTicket, result: &Result<StoreReply, StoreFailure>) {
        self.note_majority();
        let context = &mut self.context;
        if self.configs.store_replied(context, ticket, result)
            || self.orders.store_replied(context, ticket, result)
        {
            return;
        }
        if let Some(effects) = self.records.store_replied(context, ticket, result) {
            self.apply_effects(effects);
        }
    }

    fn tick(&mut self) {
        self.ticked_at = self.context.now;
        let own = self.own_state();
        self.members.tick(&mut self.context, &own);
        let commands = &mut self.context.commands;
        self.requests.fill_cache_positions(commands);
        self.note_majority();
        self.configs.tick(&mut self.context, &self.members);
        let lists = self.configs.is_ready().then(|| &**self.configs.lists());
        let held = self.requests.targets_in_use();
        self.orders
            .tick(&mut self.context, &self.members, lists, &held);
        let effects = self.records.tick(&mut self.context, &self.members);
        self.apply_effects(effects);
        self.with_requests(|requests, env| {
            requests.tick(env);
            requests.dispatch_ready(env);
        });
        if self
            .drain
            .should_stop(self.context.now, self.requests.is_empty())
        {
            self.context.push(Command::Stop);
        }
    }

    /// Writes outcomes whose batch is complete.
    fn flush_records(&mut self) {
        let is_due = |at| at <= self.context.now;
        if self.records.flush_at().is_some_and(is_due) {
            let effects = self.records.tick(&mut self.context, &self.members);
            self.apply_effects(effects);
        }
    }

    fn note_majority(&mut self) {
        let has_majority = self.hears_majority(self.context.now);
        self.configs.note_majority(has_majority);
    }

    fn own_state(&self) -> OwnState {
        let now = self.context.now;
        OwnState {
            config_version: self.configs.lists().version,
            confirmed_age: self.configs.confirmed_age(now),
            crashes: self.requests.quarantine.reports(now),
            demands: self.requests.limits.demands(),
            leaving: self.drain.is_started(),
            ready: self.is_ready(now),
            spare_count: self.spare_count(),
        }
    }

    fn apply_effects(&mut self, effects: Vec<RecordEffect>) {
        if effects.is_empty() {
            return;
        }
        self.with_requests(|requests, env| {
            requests.apply_effects(env, effects);
            requests.dispatch_ready(env);
        });
    }

    fn dispatch_ready(&mut self) {
        self.with_requests(Requests::dispatch_ready);
    }

    fn with_requests(&mut self, act: impl FnOnce(&mut Requests, &mut RequestEnv)) {
        let now = self.context.now;
        let is_fresh = self.is_fresh(now);
        let targets: Vec<&Target> = self.members.targets().collect();
        let mut env = RequestEnv {
            claims: &mut self.records,
            context: &mut self.context,
            is_fresh,
            lists: self.configs.lists(),
            members: &self.members,
            view: RoutingView {
                sharing_factor: self.requests.limits.factor(now),
                identity: &self.identity,
                now,
                targets: &targets,
            },
        };
        act(&mut self.requests, &mut env);
    }
}
