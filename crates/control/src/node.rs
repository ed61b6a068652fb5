use super::*;

/// Time without events above which the process counts as paused. Ticks come every 50 ms.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Decisions of one instance: a deterministic state machine that is driven by one thread.
#[derive(Debug)]
pub struct Node {
    pub(crate) config: ConfigReplica,
    pub(crate) context: Context,
    pub(crate) drain: Drain,
    pub(crate) identity: Identity,
    pub(crate) members: Members,
    pub(crate) orders: Orders,
    pub(crate) records: Records,
    pub(crate) requests: Requests,
    /// Wall-clock time at time zero of the node.
    started_at: SystemTime,
    /// Time up to which received heartbeats may have been sent before a pause of this process, so
    /// that they do not show which peers are reachable now.
    stale_until: Duration,
    /// Time after a pause for which heartbeats may be that old.
    stale_duration: Duration,
    /// Time of the last tick, regular or caused by `wake_at`.
    last_tick_at: Duration,
}

impl Node {
    /// Creates a node at time zero, at which the wall clock shows `wall`.
    #[must_use]
    pub fn new(settings: NodeSettings, identity: Identity, wall: SystemTime) -> Self {
        let random = ChaCha8Rng::seed_from_u64(settings.seed);
        let stale_ms = settings.member.hearing_ms + settings.member.heartbeat_ms;
        Self {
            config: ConfigReplica::new(settings.config.clone()),
            context: Context::new(random, wall),
            drain: Drain::new(settings.drain.clone()),
            identity: identity.clone(),
            members: Members::new(identity.clone(), settings.member.clone()),
            orders: Orders::new(settings.order.clone()),
            records: Records::new(identity, settings.record.clone()),
            requests: Requests::new(settings),
            stale_until: Duration::ZERO,
            stale_duration: Duration::from_millis(stale_ms),
            started_at: wall,
            last_tick_at: Duration::ZERO,
        }
    }

    /// Handles one event and returns the commands that it causes. `now` is the time since the
    /// process started and must not decrease.
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
            | Event::Progressed { .. } => self.handle_request_event(event),
            Event::ChangesReceived { .. }
            | Event::EditSubmitted { .. }
            | Event::ListsReceived(_) => {
                self.handle_config_event(event);
            }
            Event::DrainStarted => self.start_drain(),
            Event::Ticked => self.tick(),
            event => self.handle_member_event(event),
        }
        self.flush_records();
        std::mem::take(&mut self.context.commands)
    }

    /// Number of events that a state chart does not list for the state in which they occurred. Each
    /// of them is a defect.
    #[must_use]
    pub fn unexpected_count(&self) -> u64 {
        self.context.unexpected_count
    }

    /// Time by which the next `Event::Ticked` is due, as a time since the process started; none if
    /// the regular tick every 50 ms is early enough. Work that the last tick left undone waits for
    /// the regular tick, so that a part that cannot act yet does not cause ticks in a loop.
    #[must_use]
    pub fn wake_at(&self) -> Option<Duration> {
        let times = [
            self.config.wake_at(),
            self.records.wake_at(),
            self.requests.wake_at(),
        ];
        let later = times.into_iter().flatten();
        later.filter(|at| *at > self.last_tick_at).min()
    }

    /// Sets the time of the current event and detects pauses of the process.
    pub(crate) fn set_time(&mut self, now: Duration) {
        if now.saturating_sub(self.context.now) > MIN_PAUSE {
            self.stale_until = now + self.stale_duration;
        }
        self.context.now = now;
        self.context.wall = self.started_at + now;
    }

    /// Whether this instance receives heartbeats, sent after its last pause, from more than half of
    /// the instances that it counts.
    pub(crate) fn hears_majority(&self, now: Duration) -> bool {
        now >= self.stale_until && self.members.has_majority(now)
    }

    fn start_drain(&mut self) {
        self.drain.start(self.context.now);
        self.requests.drain();
        // The tick tells the peers, so that answers with entry addresses no longer contain this
        // instance.
        self.tick();
    }

    /// Handles events of one request.
    fn handle_request_event(&mut self, event: Event) {
        if let Event::AttemptFailed { failure, .. } = &event {
            let (target, kind) = (&failure.target, failure.kind);
            self.members
                .dispatch_failed(&mut self.context, target, kind);
        }
        let may_unblock_others = !matches!(event, Event::Progressed { .. });
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
            if may_unblock_others {
                requests.dispatch_ready(env);
            }
        });
    }

    /// Handles events of the operator lists.
    fn handle_config_event(&mut self, event: Event) {
        self.update_majority();
        let context = &mut self.context;
        match event {
            Event::ChangesReceived { records } => self.config.changes_received(context, &records),
            Event::EditSubmitted {
                base_version,
                change,
                operation,
            } => {
                let config = &mut self.config;
                config.edit(context, &operation, base_version, change);
            }
            Event::ListsReceived(lists) => self.config.lists_received(context, &lists),
            _ => {}
        }
    }

    /// Handles events of targets, peers and the store.
    fn handle_member_event(&mut self, event: Event) {
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
        let report = sanitize_report(report);
        let known = self.members.target(target);
        if known.is_some_and(|known| known.incarnation != report.incarnation) {
            // A restarted target has an empty cache, and its cache events are counted from zero.
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
            self.config
                .peer_version_received(&mut self.context, &id, address, version);
        }
        self.requests
            .heartbeat_received(self.context.now, heartbeat);
        self.dispatch_ready();
    }

    fn store_replied(&mut self, ticket: StoreTicket, result: &Result<StoreReply, StoreFailure>) {
        self.update_majority();
        let context = &mut self.context;
        if self.config.store_replied(context, ticket, result)
            || self.orders.store_replied(context, ticket, result)
        {
            return;
        }
        if let Some(effects) = self.records.store_replied(context, ticket, result) {
            self.apply_effects(effects);
        }
    }

    fn tick(&mut self) {
        self.last_tick_at = self.context.now;
        let own = self.own_state();
        self.members.tick(&mut self.context, &own);
        let commands = &mut self.context.commands;
        self.requests.fill_cache_positions(commands);
        self.update_majority();
        self.config.tick(&mut self.context, &self.members);
        let lists = self.config.is_ready().then(|| &**self.config.lists());
        let targets_in_use = self.requests.targets_in_use();
        self.orders
            .tick(&mut self.context, &self.members, lists, &targets_in_use);
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

    /// Writes the outcomes of calls whose batch is due now.
    fn flush_records(&mut self) {
        let is_due = |at| at <= self.context.now;
        if self.records.flush_at().is_some_and(is_due) {
            let effects = self.records.tick(&mut self.context, &self.members);
            self.apply_effects(effects);
        }
    }

    fn update_majority(&mut self) {
        let has_majority = self.hears_majority(self.context.now);
        self.config.set_majority(has_majority);
    }

    /// State that the next heartbeats announce.
    fn own_state(&self) -> OwnState {
        let now = self.context.now;
        OwnState {
            config_version: self.config.lists().version,
            confirmed_age: self.config.confirmed_age(now),
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

    /// Runs `act` on the requests with the parts of the node that they need.
    fn with_requests(&mut self, act: impl FnOnce(&mut Requests, &mut RequestEnv)) {
        let now = self.context.now;
        let is_fresh = self.is_fresh(now);
        let targets: Vec<&Target> = self.members.targets().collect();
        let mut env = RequestEnv {
            claims: &mut self.records,
            context: &mut self.context,
            is_fresh,
            lists: self.config.lists(),
            members: &self.members,
            view: RoutingView {
                sharing_factor: self.requests.limits.sharing_factor(now),
                identity: &self.identity,
                now,
                targets: &targets,
            },
        };
        act(&mut self.requests, &mut env);
    }
}
