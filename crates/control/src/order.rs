use super::*;

/// Orders to the engines that this instance owns. Belongs to the control thread.
///
/// An order is written to its row before it is sent, and the version of the row is its fence. Each
/// order states the whole desired set and one is outstanding per engine, so that an engine which
/// ignores fences reaches the state of the newest row all the same.
#[derive(Clone, Debug)]
pub struct Orders {
    engines: BTreeMap<TargetId, OwnedEngine>,
    flights: BTreeMap<StoreTicket, OrderFlight>,
    /// Whether the last request to the store failed.
    is_failing: bool,
    /// Time before which no order starts.
    not_before: Duration,
    place_at: Duration,
    placements: Placements,
    reread_at: Duration,
    settings: OrderSettings,
    tokens: TokenRow,
}

#[derive(Clone, Debug)]
enum OrderFlight {
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
            flights: BTreeMap::new(),
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
    pub fn tick(&mut self, context: &mut Context, members: &Members) {
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
            self.flights.insert(ticket, OrderFlight::Reread(targets));
        }
        if now >= self.place_at {
            self.place_at = now + Duration::from_millis(self.settings.place_ms);
            self.place(context, members);
        }
    }

    /// Takes a reply of the store; false if the ticket is not of an order.
    pub fn store_replied(
        &mut self,
        context: &mut Context,
        ticket: StoreTicket,
        result: &Result<StoreReply, StoreFailure>,
    ) -> bool {
        let Some(flight) = self.flights.remove(&ticket) else {
            return false;
        };
        self.is_failing = result.is_err();
        if self.is_failing {
            self.not_before = context.now + Duration::from_millis(self.settings.back_off_ms);
        }
        if let OrderFlight::Read(target) | OrderFlight::Write(target) = &flight {
            let engine = self.engines.get_mut(target);
            let own = engine.and_then(|one| one.flight.take_if(|own| *own == ticket));
            if own.is_none() {
                // The engine was lost and taken over again, or another owner's order was found.
                return true;
            }
        }
        match (flight, result) {
            (OrderFlight::Reread(targets), Ok(StoreReply::Rows { rows })) => {
                for target in targets {
                    self.take_row(context, &target, rows);
                }
            }
            (OrderFlight::Reread(_), _) => {}
            (OrderFlight::Read(target), Ok(StoreReply::Rows { rows })) => {
                self.rows_read(context, &target, rows);
            }
            (OrderFlight::Write(target), Ok(StoreReply::Committed { version })) => {
                self.row_written(context, &target, *version);
            }
            // After a lost reply the next read shows whether the write took effect.
            (OrderFlight::Read(target) | OrderFlight::Write(target), _) => {
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
            engine.wanted = wanted;
            context.log("order", &target.id, "the report differs from the order");
            self.apply(context, &target.id, OrderEvent::Wanted);
        }
    }

    fn place(&mut self, context: &mut Context, members: &Members) {
        let now = context.now;
        let Some(choice) = self.placements.choose(now, members, &self.settings) else {
            return;
        };
        let id = choice.chosen.target.clone();
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        let is_idle = engine.is_idle(now) && now >= self.not_before;
        if !is_idle {
            return;
        }
        let role = engine.row.as_ref().map(|(wanted, _)| wanted.role);
        engine.wanted = WantedState {
            models: vec![choice.loaded.clone()],
            role: role.unwrap_or_default(),
        };
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

    fn apply(&mut self, context: &mut Context, target: &TargetId, event: OrderEvent) {
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
                let flight = OrderFlight::Read(target.clone());
                self.flights.insert(ticket, flight);
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

    /// Notes the row of an engine; an order that this instance did not write is outstanding until
    /// a report shows it or the wait is over.
    fn take_row(&mut self, context: &mut Context, target: &TargetId, rows: &[Row]) -> bool {
        let key = order_key(target);
        let Some(engine) = self.engines.get_mut(target) else {
            return false;
        };
        let Some(row) = rows.iter().find(|row| row.key == key) else {
            engine.row = None;
            engine.row_version = 0;
            return false;
        };
        if engine.row_version == row.version || engine.state == OrderState::Writing {
            return false;
        }
        let Ok(wanted) = serde_json::from_str::<WantedState>(&row.value) else {
            context.log("order", target, "the row of this order is not readable");
            return false;
        };
        engine.row = Some((wanted, row.version));
        engine.row_version = row.version;
        self.apply(context, target, OrderEvent::Foreign);
        true
    }

    fn rows_read(&mut self, context: &mut Context, target: &TargetId, rows: &[Row]) {
        if self.take_row(context, target, rows) {
            return;
        }
        self.tokens = TokenRow::read(rows, wall_ms(context));
        if self.tokens.is_faulty {
            context.log(
                "order",
                TOKENS,
                "the row of load tokens is not usable; it starts anew",
            );
        }
        let event = match self.tokens.has_one(wall_ms(context), &self.settings) {
            false => OrderEvent::NoToken,
            true => OrderEvent::Ready,
        };
        self.apply(context, target, event);
    }

    fn write(&mut self, context: &mut Context, target: &TargetId) {
        let tokens = self.tokens.taken(wall_ms(context), &self.settings);
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        engine.written_at = context.now;
        let key = order_key(target);
        let ticket = context.store(StoreRequest::Transact {
            conditions: vec![
                Condition {
                    key: key.clone(),
                    version: engine.row_version,
                },
                Condition {
                    key: TOKENS.into(),
                    version: self.tokens.version,
                },
            ],
            writes: vec![
                Write {
                    key,
                    value: Some(to_value(&engine.wanted)),
                },
                Write {
                    key: TOKENS.into(),
                    value: Some(tokens),
                },
            ],
        });
        engine.flight = Some(ticket);
        self.flights
            .insert(ticket, OrderFlight::Write(target.clone()));
    }

    fn row_written(&mut self, context: &mut Context, target: &TargetId, version: RowVersion) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        engine.row = Some((engine.wanted.clone(), version));
        engine.row_version = version;
        let age = context.now.saturating_sub(engine.written_at);
        let is_late = age > Duration::from_millis(self.settings.write_max_ms);
        if let [loaded] = &engine.wanted.models[..] {
            let wait = Duration::from_millis(self.settings.wait_ms);
            self.placements.served(loaded, context.now + wait);
        }
        let event = match is_late {
            false => OrderEvent::Committed,
            true => OrderEvent::CommittedLate,
        };
        self.apply(context, target, event);
    }
}

/// Whether two sets hold the same models, in any order.
fn same_models(left: &[LoadedModel], right: &[LoadedModel]) -> bool {
    left.len() == right.len() && left.iter().all(|model| right.contains(model))
}

fn order_key(target: &TargetId) -> Arc<str> {
    format!("order/{target}").into()
}
