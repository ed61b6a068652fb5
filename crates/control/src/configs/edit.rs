use super::*;

/// States of `charts/edit.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub(crate) enum EditState {
    Closed,
    Reading,
    Resending,
    Resolving,
    Writing,
}

/// Events of `charts/edit.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub(crate) enum EditEvent {
    Ambiguous,
    Committed,
    Conflict,
    Expired,
    Found,
    Fresh,
    Invalid,
    Minority,
    Stale,
    Unavailable,
    Unchanged,
}

/// Actions of `charts/edit.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum EditAction {
    Accept,
    AnswerConflict,
    AnswerInvalid,
    AnswerUnavailable,
    AnswerUnknown,
    Read,
    ReadLater,
    Send,
}

static CHART: LazyLock<Chart<EditState, EditEvent, EditAction>> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../../charts/edit.json"))
        .expect("charts/edit.json uses the states, events and actions of this file")
});

/// Edit of an operator that has not been answered yet.
#[derive(Clone, Debug)]
pub(crate) struct Edit {
    pub(crate) base_version: Option<ConfigVersion>,
    pub(crate) change: Change,
    pub(crate) expires_at: Duration,
    /// Number of the first range read whose result may continue the edit.
    pub(crate) read_number: u64,
    /// Time before which no read continues the edit, as it backs off after a failed step.
    pub(crate) retry_at: Duration,
    /// Number of failed steps.
    pub(crate) retry_count: u32,
    pub(crate) send_count: u32,
    /// Row version of the head row that the last write of this edit was conditional on; `None`
    /// before the first write.
    pub(crate) sent_head: Option<RowVersion>,
    pub(crate) state: EditState,
}

impl ConfigReplica {
    /// Starts an edit that an operator submitted. An operation id that was already accepted gets
    /// the first result again.
    pub fn edit(
        &mut self,
        context: &mut Context,
        operation: &OperationId,
        base_version: Option<ConfigVersion>,
        change: Change,
    ) {
        if let Some(version) = self.version_of(operation) {
            return send_answer(context, operation, EditAnswer::Accepted { version });
        }
        if self.edits.contains_key(operation) {
            return;
        }
        if !self.is_ready() || !self.has_majority {
            let retry_after = Duration::from_millis(self.settings.retry_after_ms);
            return send_answer(context, operation, EditAnswer::Unavailable { retry_after });
        }
        let edit = Edit {
            base_version,
            change,
            expires_at: context.now + Duration::from_millis(self.settings.edit_ms),
            read_number: 0,
            retry_at: Duration::ZERO,
            retry_count: 0,
            send_count: 0,
            sent_head: None,
            state: CHART.initial(),
        };
        let event = self.evaluate_edit(operation, &edit);
        self.edits.insert(operation.clone(), edit);
        match event {
            EditEvent::Fresh if !self.reader.has_failed => {
                self.apply_edit(context, operation, event);
            }
            // The lists here may be outdated, so only a read decides. While the store fails, edits
            // share the next scheduled read instead of sending one each.
            _ => self.await_read(context, operation),
        }
    }

    /// Applies an event to the state chart of an edit and runs the resulting actions.
    pub(crate) fn apply_edit(
        &mut self,
        context: &mut Context,
        operation: &OperationId,
        event: EditEvent,
    ) {
        let Some(edit) = self.edits.get_mut(operation) else {
            return;
        };
        let step = match CHART.step(edit.state, event) {
            Err(error) => return context.log_unexpected(operation, &error),
            Ok(step) => step,
        };
        edit.state = step.state;
        for action in &step.actions {
            self.run_action(context, operation, *action);
        }
        if step.state == EditState::Closed {
            self.edits.remove(operation);
        }
    }

    /// Event that follows for an edit from the lists and the head row.
    ///
    /// A write is sent in the same step, and only while this instance hears from a majority, as it
    /// may have been paused or isolated since the edit arrived. A pause between this check and the
    /// arrival of the write at the store remains possible. The condition on the head row then still
    /// orders the write after every change accepted in the meantime, but peers learn of it only
    /// with their next read of the store.
    pub(crate) fn evaluate_edit(&self, operation: &OperationId, edit: &Edit) -> EditEvent {
        if self.version_of(operation).is_some() {
            return EditEvent::Found;
        }
        let head = self.head.filter(|head| head.0 == self.lists.version);
        if edit.sent_head.is_some() && edit.sent_head == head.map(|head| head.1) {
            return match self.has_majority {
                false => EditEvent::Unavailable,
                true => EditEvent::Unchanged,
            };
        }
        let is_based = edit
            .base_version
            .is_none_or(|base| base == self.lists.version);
        if !is_based || edit.send_count >= self.settings.edit_max_count || head.is_none() {
            return EditEvent::Stale;
        }
        match OperatorLists::clone(&self.lists).apply(&edit.change) {
            Err(_) => EditEvent::Invalid,
            Ok(()) if !self.has_majority => EditEvent::Minority,
            Ok(()) => EditEvent::Fresh,
        }
    }

    /// Handles the reply of the store to the write of an edit.
    pub(crate) fn edit_replied(
        &mut self,
        context: &mut Context,
        record: &ChangeRecord,
        result: &Result<StoreReply, StoreFailure>,
    ) {
        let event = match result {
            Err(StoreFailure::Ambiguous) => EditEvent::Ambiguous,
            Err(StoreFailure::Unavailable) => EditEvent::Unavailable,
            Ok(StoreReply::Committed { version }) => {
                // If a read has already shown later changes, this one is in force and the head is
                // newer.
                if record.version > self.lists.version {
                    self.head = Some((record.version, *version));
                }
                self.apply_own_edit(context, record);
                EditEvent::Committed
            }
            Ok(_) => EditEvent::Conflict,
        };
        self.apply_edit(context, &record.operation, event);
    }

    fn run_action(&mut self, context: &mut Context, operation: &OperationId, action: EditAction) {
        let current = self.lists.version;
        let retry_after = Duration::from_millis(self.settings.retry_after_ms);
        let result = match action {
            EditAction::Accept => match self.version_of(operation) {
                None => EditAnswer::Unknown { retry_after },
                Some(version) => EditAnswer::Accepted { version },
            },
            EditAction::AnswerConflict => EditAnswer::Conflict { current },
            EditAction::AnswerInvalid => self.invalid_answer(operation),
            EditAction::AnswerUnavailable => EditAnswer::Unavailable { retry_after },
            EditAction::AnswerUnknown => EditAnswer::Unknown { retry_after },
            EditAction::Read => return self.await_read(context, operation),
            EditAction::ReadLater => return self.back_off_edit(context, operation),
            EditAction::Send => return self.send_edit(context, operation),
        };
        send_answer(context, operation, result);
    }

    fn invalid_answer(&self, operation: &OperationId) -> EditAnswer {
        let edit = self.edits.get(operation);
        let fault =
            edit.and_then(|edit| OperatorLists::clone(&self.lists).apply(&edit.change).err());
        let message = fault.map_or_else(String::new, |fault| fault.to_string());
        EditAnswer::Invalid {
            message: message.into(),
        }
    }

    fn send_edit(&mut self, context: &mut Context, operation: &OperationId) {
        let Some((edit, head)) = self.edits.get_mut(operation).zip(self.head) else {
            return;
        };
        edit.send_count += 1;
        edit.sent_head = Some(head.1);
        let record = ChangeRecord {
            change: edit.change.clone(),
            operation: operation.clone(),
            version: self.lists.version + 1,
        };
        let ticket = context.send_store_request(StoreRequest::Transact {
            conditions: vec![Condition {
                key: HEAD_KEY.into(),
                version: head.1,
            }],
            writes: vec![
                Write {
                    key: HEAD_KEY.into(),
                    value: Some(record.version.to_string().into()),
                },
                Write {
                    key: change_key(record.version),
                    value: Some(to_json(&record)),
                },
            ],
        });
        self.store_calls
            .insert(ticket, ConfigStoreCall::Edit(record));
    }
}

fn send_answer(context: &mut Context, operation: &OperationId, answer: EditAnswer) {
    context.push(Command::AnswerEdit {
        answer,
        operation: operation.clone(),
    });
}
