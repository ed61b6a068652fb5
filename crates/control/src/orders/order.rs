use super::*;

/// Orders to the engines that this instance owns. Belongs to the control thread.
///
/// An order is written to its row before it is sent, and the version of the row is its fence. Each
/// order states the whole desired set and one is outstanding per engine, so that an engine which
/// ignores fences reaches the state of the newest row all the same.
#[derive(Clone, Debug)]
pub struct Orders {
    pub(crate) engines: BTreeMap<TargetId, OwnedEngine>,
    pub(crate) store_calls: BTreeMap<StoreTicket, OrderStoreCall>,
    /// Whether the last request to the store failed.
    pub(crate) is_failing: bool,
    /// Time before which no order starts.
    pub(crate) not_before: Duration,
    pub(crate) place_at: Duration,
    pub(crate) placements: Placements,
    pub(crate) reread_at: Duration,
    pub(crate) settings: OrderSettings,
    pub(crate) tokens: TokenRow,
}

#[derive(Clone, Debug)]
pub(crate) enum OrderStoreCall {
    /// Reads the rows of these engines, to find orders of earlier owners.
    Reread(Vec<TargetId>),
    Read(TargetId),
    Write(TargetId),
}

impl Orders {
    /// Creates an instance without orders.
    #[must_use]
    pub fn new(settings: OrderSettings) -> Self {
        Self {
            engines: BTreeMap::new(),
            store_calls: BTreeMap::new(),
            is_failing: false,
            not_before: Duration::ZERO,
            place_at: Duration::ZERO,
            placements: Placements::default(),
            reread_at: Duration::ZERO,
            settings,
            tokens: TokenRow::default(),
        }
    }

    /// Takes a load report: an order that it shows is no longer outstanding.
    pub fn load_received(&mut self, context: &mut Context, target: &TargetId, report: &LoadReport) {
        let row = self.engines.get(target).and_then(|one| one.row.as_ref());
        let is_seen = row.is_some_and(|(wanted, fence)| {
            report.fence == *fence || same_models(&report.models, &wanted.models)
        });
        if is_seen {
            self.apply(context, target, OrderEvent::Seen);
        }
    }

    /// Takes note that an engine refused or did not answer an order. The order may still arrive,
    /// so the wait goes on.
    pub fn failed(&mut self, context: &mut Context, target: &TargetId, order: &Order) {
        let state = self.engines.get(target).map(|engine| engine.state);
        if state == Some(OrderState::Waiting) {
            let reason = format!(
                "order {} failed; it is repeated after the wait",
                order.fence
            );
            context.log("order", target, reason);
            self.apply(context, target, OrderEvent::Failed);
        }
    }

    /// Decides placements, repeats orders that a report does not show, and reads rows.
    /// Without lists nothing is placed, as it is not known which models are in use.
    /// Targets in `held` run requests of this instance, which their reports may not show yet.
    pub fn tick(
        &mut self,
        context: &mut Context,
        members: &Members,
        lists: Option<&OperatorLists>,
        held: &BTreeSet<TargetId>,
    ) {
        let now = context.now;
        self.own(members);
        let targets: Vec<TargetId> = self.engines.keys().cloned().collect();
        for id in &targets {
            let Some(target) = members.target(id) else {
                continue;
            };
            self.load_received(context, id, &target.report);
            let engine = self.engines.get(id);
            let is_over = engine.is_some_and(|one| now >= one.waiting_until);
            if is_over && engine.is_some_and(|one| one.state == OrderState::Waiting) {
                self.apply(context, id, OrderEvent::Waited);
            }
            self.repeat(context, target);
        }
        if now >= self.reread_at && !targets.is_empty() {
            self.reread_at = now + Duration::from_millis(self.settings.reread_ms);
            let keys = targets.iter().map(order_key).collect();
            let ticket = context.store(StoreRequest::Read { keys });
            self.store_calls
                .insert(ticket, OrderStoreCall::Reread(targets));
        }
        if let Some(lists) = lists.filter(|_| now >= self.place_at) {
            self.place_at = now + Duration::from_millis(self.settings.place_ms);
            self.place(context, members, lists, held);
        }
    }

    /// Takes a reply of the store; false if the ticket is not of an order.
    pub fn store_replied(
        &mut self,
        context: &mut Context,
        ticket: StoreTicket,
        result: &Result<StoreReply, StoreFailure>,
    ) -> bool {
        let Some(flight) = self.store_calls.remove(&ticket) else {
            return false;
        };
        self.is_failing = result.is_err();
        if self.is_failing {
            self.not_before = context.now + Duration::from_millis(self.settings.back_off_ms);
        }
        if let OrderStoreCall::Read(target) | OrderStoreCall::Write(target) = &flight {
            let engine = self.engines.get_mut(target);
            let own = engine.and_then(|one| one.flight.take_if(|own| *own == ticket));
            if own.is_none() {
                // The engine was lost and taken over again, or another owner's order was found.
                return true;
            }
        }
        match (flight, result) {
            (OrderStoreCall::Reread(targets), Ok(StoreReply::Rows { rows })) => {
                for target in targets {
                    self.take_row(context, &target, rows);
                }
            }
            (OrderStoreCall::Reread(_), _) => {}
            (OrderStoreCall::Read(target), Ok(StoreReply::Rows { rows })) => {
                self.rows_read(context, &target, rows);
            }
            (OrderStoreCall::Write(target), Ok(StoreReply::Committed { version })) => {
                self.row_written(context, &target, *version);
            }
            // After a lost reply the next read shows whether the write took effect.
            (OrderStoreCall::Read(target) | OrderStoreCall::Write(target), _) => {
                self.apply(context, &target, OrderEvent::StoreFailed);
            }
        }
        true
    }

    /// Follows the rendezvous hashing: drops engines of other owners and adds own ones.
    fn own(&mut self, members: &Members) {
        let before = self.engines.len();
        let mut owned = BTreeMap::new();
        for target in members.targets() {
            let is_engine = matches!(target.role, ListingRole::Engine { .. });
            if !is_engine || !members.is_owner(&order_key(&target.id)) {
                continue;
            }
            let engine = self.engines.remove(&target.id);
            let mut engine = engine.unwrap_or_else(|| OwnedEngine::new(target.address));
            engine.address = target.address;
            owned.insert(target.id.clone(), engine);
        }
        let has_lost = !self.engines.is_empty();
        self.engines = owned;
        if has_lost || self.engines.len() != before {
            self.reread_at = Duration::ZERO;
        }
    }

    /// Orders the row's set again when the engine reports another one.
    fn repeat(&mut self, context: &mut Context, target: &Target) {
        let Some(engine) = self.engines.get_mut(&target.id) else {
            return;
        };
        let Some((wanted, _)) = engine.row.clone() else {
            return;
        };
        let age = context.now.saturating_sub(target.reported_at);
        let is_current = age <= Duration::from_millis(self.settings.report_max_ms);
        let is_idle = engine.is_idle(context.now) && context.now >= self.not_before;
        let is_live = target.health == TargetHealth::Live;
        let is_same = same_models(&target.report.models, &wanted.models);
        if is_idle && is_live && is_current && !is_same {
            engine.want(wanted, &target.report.models);
            context.log("order", &target.id, "the report differs from the order");
            self.apply(context, &target.id, OrderEvent::Wanted);
        }
    }

    fn place(
        &mut self,
        context: &mut Context,
        members: &Members,
        lists: &OperatorLists,
        held: &BTreeSet<TargetId>,
    ) {
        let now = context.now;
        let scene = Scene {
            held,
            members,
            named: lists.plans.values().flat_map(|plan| &plan.models).collect(),
            pending: self.pending(members),
            settings: &self.settings,
        };
        let Some(choice) = self.placements.choose(now, &scene) else {
            return;
        };
        let id = choice.chosen.target.clone();
        let (Some(engine), Some(target)) = (self.engines.get_mut(&id), members.target(&id)) else {
            return;
        };
        let is_idle = engine.is_idle(now) && now >= self.not_before;
        if !is_idle {
            return;
        }
        let role = engine.row.as_ref().map(|(wanted, _)| wanted.role);
        let wanted = WantedState {
            models: choice.models,
            role: role.unwrap_or_default(),
        };
        engine.want(wanted, &target.report.models);
        context.push(Command::Log(Decision {
            account: None,
            alternatives: choice.alternatives,
            chosen: vec![choice.chosen],
            kind: "order",
            reason: choice.reason.into(),
            subject: id.clone(),
        }));
        self.apply(context, &id, OrderEvent::Wanted);
    }

    /// Own engines that do not hold what their row states. They load it, or are ordered again.
    fn pending(&self, members: &Members) -> BTreeMap<TargetId, Vec<LoadedModel>> {
        let mut pending = BTreeMap::new();
        for (id, engine) in &self.engines {
            let (Some((wanted, _)), Some(target)) = (&engine.row, members.target(id)) else {
                continue;
            };
            if !same_models(&target.report.models, &wanted.models) {
                pending.insert(id.clone(), wanted.models.clone());
            }
        }
        pending
    }

    pub(crate) fn apply(&mut self, context: &mut Context, target: &TargetId, event: OrderEvent) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let step = match ORDER_CHART.step(engine.state, event) {
            Err(error) => return context.unexpected(target, &error),
            Ok(step) => step,
        };
        engine.state = step.state;
        for action in &step.actions {
            self.act(context, target, *action);
        }
    }

    fn act(&mut self, context: &mut Context, target: &TargetId, action: OrderAction) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        match action {
            OrderAction::BackOff => {
                let wait = Duration::from_millis(self.settings.back_off_ms);
                engine.not_before = context.now + wait;
            }
            OrderAction::Read => {
                if self.is_failing {
                    // One engine probes the store for all.
                    let wait = Duration::from_millis(self.settings.back_off_ms);
                    self.not_before = context.now + wait;
                }
                let keys = vec![order_key(target), TOKENS.into()];
                let ticket = context.store(StoreRequest::Read { keys });
                engine.flight = Some(ticket);
                let flight = OrderStoreCall::Read(target.clone());
                self.store_calls.insert(ticket, flight);
            }
            OrderAction::Send => {
                let fence = engine.row_version;
                let wanted = engine.wanted.clone();
                context.push(Command::SendOrder {
                    address: engine.address,
                    order: Order { fence, wanted },
                    target: target.clone(),
                });
            }
            OrderAction::StartWait => {
                let wait = Duration::from_millis(self.settings.wait_ms);
                engine.flight = None;
                engine.waiting_until = context.now + wait;
            }
            OrderAction::Write => self.write(context, target),
        }
    }
}
