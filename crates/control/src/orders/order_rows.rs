use super::*;

impl Orders {
    /// Processes the row of an engine as read. Returns true if the row holds a new order of another
    /// owner, which then is outstanding until a report shows it or the wait is over.
    pub(crate) fn apply_row(
        &mut self,
        context: &mut Context,
        target: &TargetId,
        rows: &[Row],
    ) -> bool {
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
            context.log(
                "order",
                target,
                "cannot parse the row of this order; the row is ignored",
            );
            return false;
        };
        engine.row = Some((wanted, row.version));
        engine.row_version = row.version;
        self.apply(context, target, OrderEvent::Foreign);
        true
    }

    /// Processes the rows that are read before an order: checks that no other order came in
    /// between, that a token is left, and that no other engine is giving up the same shards.
    pub(crate) fn rows_read(&mut self, context: &mut Context, target: &TargetId, rows: &[Row]) {
        if self.apply_row(context, target, rows) {
            return;
        }
        let wall_ms = wall_ms(context);
        self.tokens = TokenRow::from_rows(rows, wall_ms);
        if self.tokens.is_faulty {
            context.log(
                "order",
                TOKEN_ROW_KEY,
                "the row of load tokens is invalid; a full bucket is assumed",
            );
        }
        let removed_shards = self
            .engines
            .get(target)
            .map(|engine| &engine.removed_shards[..]);
        let has_conflict =
            (self.tokens).has_conflicting_move(wall_ms, target, removed_shards.unwrap_or(&[]));
        let event = match self.tokens.has_token(wall_ms, &self.settings) && !has_conflict {
            false => OrderEvent::NoToken,
            true => OrderEvent::Ready,
        };
        self.apply(context, target, event);
    }

    /// Writes the order and takes a token, in one transaction that requires the rows as read.
    pub(crate) fn write(&mut self, context: &mut Context, target: &TargetId) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let wall_ms = wall_ms(context);
        let own = Move {
            shards: engine.removed_shards.clone(),
            target: target.clone(),
            until_ms: wall_ms + self.settings.wait_ms,
        };
        let tokens = self.tokens.after_load(wall_ms, own, &self.settings);
        engine.written_at = context.now;
        let key = order_key(target);
        let ticket = context.send_store_request(StoreRequest::Transact {
            conditions: vec![
                Condition {
                    key: key.clone(),
                    version: engine.row_version,
                },
                Condition {
                    key: TOKEN_ROW_KEY.into(),
                    version: self.tokens.version,
                },
            ],
            writes: vec![
                Write {
                    key,
                    value: Some(to_json(&engine.wanted)),
                },
                Write {
                    key: TOKEN_ROW_KEY.into(),
                    value: Some(tokens),
                },
            ],
        });
        engine.store_ticket = Some(ticket);
        self.store_calls
            .insert(ticket, OrderStoreCall::Write(target.clone()));
    }

    /// Processes the commit of an order. An order that was committed too late is not sent.
    pub(crate) fn row_written(
        &mut self,
        context: &mut Context,
        target: &TargetId,
        version: RowVersion,
    ) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        engine.row = Some((engine.wanted.clone(), version));
        engine.row_version = version;
        let age = context.now.saturating_sub(engine.written_at);
        let is_late = age > Duration::from_millis(self.settings.write_max_ms);
        if let [loaded] = &engine.wanted.models[..] {
            let wait = Duration::from_millis(self.settings.wait_ms);
            self.placements.restart_need(loaded, context.now + wait);
        }
        let event = match is_late {
            false => OrderEvent::Committed,
            true => OrderEvent::CommittedLate,
        };
        self.apply(context, target, event);
    }
}

/// Whether two lists hold the same models, in any order.
pub(crate) fn same_models(left: &[LoadedModel], right: &[LoadedModel]) -> bool {
    left.len() == right.len() && left.iter().all(|model| right.contains(model))
}

/// Key of the order row of an engine, also hashed to find the engine's owner.
pub(crate) fn order_key(target: &TargetId) -> Arc<str> {
    format!("order/{target}").into()
}
