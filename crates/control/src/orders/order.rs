use super::*;

/// Orders to the engines that this instance owns. Only the control thread uses them.
///
/// An order is written to its row before it is sent, and the version of the row is its fencing
/// token. Each order states the whole desired set, and at most one per engine is outstanding. So
/// even an engine that ignores fences ends in the state of the newest row.
#[derive(Clone, Debug)]
pub struct Orders {
    pub(crate) engines: BTreeMap<TargetId, OwnedEngine>,
    pub(crate) store_calls: BTreeMap<StoreTicket, OrderStoreCall>,
    /// Whether the last request to the store failed.
    pub(crate) is_failing: bool,
    /// Time before which no order starts, after the store failed.
    pub(crate) not_before: Duration,
    /// Time of the next placement decision.
    pub(crate) next_placement_at: Duration,
    pub(crate) placements: Placements,
    /// Time at which the rows of all owned engines are read again.
    pub(crate) next_reread_at: Duration,
    pub(crate) settings: OrderSettings,
    /// Token row as last read, for the load that is about to be written.
    pub(crate) tokens: TokenRow,
}

/// Request to the store whose reply is pending.
#[derive(Clone, Debug)]
pub(crate) enum OrderStoreCall {
    /// Reads the rows of these engines to find orders of earlier owners.
    Reread(Vec<TargetId>),
    /// Reads the row of one engine and the token row before an order.
    Read(TargetId),
    /// Writes the row of one engine and takes a token.
    Write(TargetId),
}

impl Orders {
    /// Creates orders without owned engines; the first tick adds them.
    #[must_use]
    pub fn new(settings: OrderSettings) -> Self {
        Self {
            engines: BTreeMap::new(),
            store_calls: BTreeMap::new(),
            is_failing: false,
            not_before: Duration::ZERO,
            next_placement_at: Duration::ZERO,
            placements: Placements::default(),
            next_reread_at: Duration::ZERO,
            settings,
            tokens: TokenRow::default(),
        }
    }

    /// Processes a load report: an order that the report reflects is no longer outstanding.
    pub fn load_received(&mut self, context: &mut Context, target: &TargetId, report: &LoadReport) {
        let row = self
            .engines
            .get(target)
            .and_then(|owned| owned.row.as_ref());
        let is_seen = row.is_some_and(|(wanted, fence)| {
            report.fence == *fence || same_models(&report.models, &wanted.models)
        });
        if is_seen {
            self.apply(context, target, OrderEvent::Seen);
        }
    }

    /// Processes the failure to deliver an order: the engine refused it or did not answer. The
    /// order may still arrive, so it stays outstanding until the wait is over.
    pub fn failed(&mut self, context: &mut Context, target: &TargetId, order: &Order) {
        let state = self.engines.get(target).map(|engine| engine.state);
        if state == Some(OrderState::Waiting) {
            let reason = format!(
                "order {} failed; it is repeated if no report shows it within the wait",
                order.fence
            );
            context.log("order", target, reason);
            self.apply(context, target, OrderEvent::Failed);
        }
    }

    /// Repeats orders that reports do not reflect, reads the rows of owned engines, and decides a
    /// placement when one is due. Without `lists` nothing is placed, as it is not known which
    /// models are in use. `targets_in_use` run requests of this instance, which their reports may
    /// not show yet.
    pub fn tick(
        &mut self,
        context: &mut Context,
        members: &Members,
        lists: Option<&OperatorLists>,
        targets_in_use: &BTreeSet<TargetId>,
    ) {
        let now = context.now;
        self.update_owned_engines(members);
        let targets: Vec<TargetId> = self.engines.keys().cloned().collect();
        for id in &targets {
            let Some(target) = members.target(id) else {
                continue;
            };
            self.load_received(context, id, &target.report);
            let engine = self.engines.get(id);
            let is_wait_over = engine.is_some_and(|owned| now >= owned.waiting_until);
            if is_wait_over && engine.is_some_and(|owned| owned.state == OrderState::Waiting) {
                self.apply(context, id, OrderEvent::Waited);
            }
            self.repeat_order(context, target);
        }
        if now >= self.next_reread_at && !targets.is_empty() {
            self.next_reread_at = now + Duration::from_millis(self.settings.reread_ms);
            let keys = targets.iter().map(order_key).collect();
            let ticket = context.send_store_request(StoreRequest::Read { keys });
            self.store_calls
                .insert(ticket, OrderStoreCall::Reread(targets));
        }
        if let Some(lists) = lists.filter(|_| now >= self.next_placement_at) {
            self.next_placement_at = now + Duration::from_millis(self.settings.place_ms);
            self.decide_placement(context, members, lists, targets_in_use);
        }
    }

    /// Processes a reply of the store; false if the ticket does not belong to an order.
    pub fn store_replied(
        &mut self,
        context: &mut Context,
        ticket: StoreTicket,
        result: &Result<StoreReply, StoreFailure>,
    ) -> bool {
        let Some(store_call) = self.store_calls.remove(&ticket) else {
            return false;
        };
        self.is_failing = result.is_err();
        if self.is_failing {
            self.not_before = context.now + Duration::from_millis(self.settings.back_off_ms);
        }
        if let OrderStoreCall::Read(target) | OrderStoreCall::Write(target) = &store_call {
            let engine = self.engines.get_mut(target);
            let own = engine.and_then(|owned| owned.store_ticket.take_if(|own| *own == ticket));
            if own.is_none() {
                // The step that sent this request is over: the engine was lost and taken over
                // again, or an order of another owner was found.
                return true;
            }
        }
        match (store_call, result) {
            (OrderStoreCall::Reread(targets), Ok(StoreReply::Rows { rows })) => {
                for target in targets {
                    self.apply_row(context, &target, rows);
                }
            }
            (OrderStoreCall::Reread(_), _) => {}
            (OrderStoreCall::Read(target), Ok(StoreReply::Rows { rows })) => {
                self.rows_read(context, &target, rows);
            }
            (OrderStoreCall::Write(target), Ok(StoreReply::Committed { version })) => {
                self.row_written(context, &target, *version);
            }
            // If the reply was lost, the next read shows whether the write took effect.
            (OrderStoreCall::Read(target) | OrderStoreCall::Write(target), _) => {
                self.apply(context, &target, OrderEvent::StoreFailed);
            }
        }
        true
    }

    /// Updates the owned engines by rendezvous hashing: drops those of other owners and adds new
    /// ones.
    fn update_owned_engines(&mut self, members: &Members) {
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
        let has_lost_engine = !self.engines.is_empty();
        self.engines = owned;
        if has_lost_engine || self.engines.len() != before {
            self.next_reread_at = Duration::ZERO;
        }
    }

    /// Orders the set in the row again if a current report of the engine shows another one.
    fn repeat_order(&mut self, context: &mut Context, target: &Target) {
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
            engine.set_wanted(wanted, &target.report.models);
            context.log(
                "order",
                &target.id,
                "the engine reports other models than its order; the order is repeated",
            );
            self.apply(context, &target.id, OrderEvent::Wanted);
        }
    }

    /// Chooses the most urgent placement and starts its order if this instance owns the engine.
    fn decide_placement(
        &mut self,
        context: &mut Context,
        members: &Members,
        lists: &OperatorLists,
        targets_in_use: &BTreeSet<TargetId>,
    ) {
        let now = context.now;
        let input = PlacementInput {
            targets_in_use,
            members,
            planned_models: lists.plans.values().flat_map(|plan| &plan.models).collect(),
            pending: self.pending(members),
            settings: &self.settings,
        };
        let Some(choice) = self.placements.choose(now, &input) else {
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
        engine.set_wanted(wanted, &target.report.models);
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

    /// Owned engines that do not report the models of their row, with these models. They are
    /// loading them, or will be ordered again.
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

    /// Applies an event to the state chart of an engine's orders.
    pub(crate) fn apply(&mut self, context: &mut Context, target: &TargetId, event: OrderEvent) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let step = match ORDER_CHART.step(engine.state, event) {
            Err(error) => return context.log_unexpected(target, &error),
            Ok(step) => step,
        };
        engine.state = step.state;
        for action in &step.actions {
            self.run_action(context, target, *action);
        }
    }

    fn run_action(&mut self, context: &mut Context, target: &TargetId, action: OrderAction) {
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
                    // This read probes the store; the orders of other engines wait.
                    let wait = Duration::from_millis(self.settings.back_off_ms);
                    self.not_before = context.now + wait;
                }
                let keys = vec![order_key(target), TOKEN_ROW_KEY.into()];
                let ticket = context.send_store_request(StoreRequest::Read { keys });
                engine.store_ticket = Some(ticket);
                let store_call = OrderStoreCall::Read(target.clone());
                self.store_calls.insert(ticket, store_call);
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
                engine.store_ticket = None;
                engine.waiting_until = context.now + wait;
            }
            OrderAction::Write => self.write(context, target),
        }
    }
}
