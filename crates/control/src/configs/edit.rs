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
        .expect("charts/edit.json names what this file names")
});

/// One edit that has no answer yet.
#[derive(Clone, Debug)]
pub(crate) struct Edit {
    pub(crate) base_version: Option<ConfigVersion>,
    pub(crate) change: Change,
    pub(crate) expires_at: Duration,
    /// Number of the range read that the edit waits for.
    pub(crate) read_number: u64,
    /// Time before which no read decides its next step, after a failed one.
    pub(crate) retry_at: Duration,
    /// Failed steps so far.
    pub(crate) retry_count: u32,
    pub(crate) send_count: u32,
    /// Version of the head row that its last write required.
    pub(crate) sent_head: Option<RowVersion>,
    pub(crate) state: EditState,
}

impl Configs {
    /// Takes an operator's edit. An operation id that is in the series gets its first result.
    pub fn edit(
        &mut self,
        context: &mut Context,
        operation: &OperationId,
        base_version: Option<ConfigVersion>,
        change: Change,
    ) {
        if let Some(version) = self.version_of(operation) {
            return answer(context, operation, EditAnswer::Accepted { version });
        }
        if self.edits.contains_key(operation) {
            return;
        }
        if !self.is_ready() || !self.has_majority {
            let retry_after = Duration::from_millis(self.settings.retry_after_ms);
            return answer(context, operation, EditAnswer::Unavailable { retry_after });
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
        let event = self.judge_edit(operation, &edit);
        self.edits.insert(operation.clone(), edit);
        match event {
            EditEvent::Fresh if !self.reader.has_failed => {
                self.apply_edit(context, operation, event);
            }
            // The own lists may be behind, so only a read decides. A store that failed is not
            // asked by each edit: they share the next read.
            _ => self.read_for(context, operation),
        }
    }

    /// Takes one step of the chart.
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
            Err(error) => return context.unexpected(operation, &error),
            Ok(step) => step,
        };
        edit.state = step.state;
        for action in &step.actions {
            self.act(context, operation, *action);
        }
        if step.state == EditState::Closed {
            self.edits.remove(operation);
        }
    }

    /// What the lists and the head mean for an edit, after they were read. A write is sent in the
    /// same step, and only while this instance hears from a majority: it may have been paused or
    /// cut off since the edit came. What remains is a pause between this check and the arrival of
    /// the write at the table. The condition on the head row still orders that write after every
    /// change that was accepted meanwhile, but peers learn of it only when they next read the store.
    pub(crate) fn judge_edit(&self, operation: &OperationId, edit: &Edit) -> EditEvent {
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

    /// Takes the reply to the write of an edit.
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
                // A commit that is overtaken by a read of later changes is already in force.
                if record.version > self.lists.version {
                    self.head = Some((record.version, *version));
                }
                self.accepted(context, record);
                EditEvent::Committed
            }
            Ok(_) => EditEvent::Conflict,
        };
        self.apply_edit(context, &record.operation, event);
    }

    fn act(&mut self, context: &mut Context, operation: &OperationId, action: EditAction) {
        let current = self.lists.version;
        let retry_after = Duration::from_millis(self.settings.retry_after_ms);
        let result = match action {
            EditAction::Accept => match self.version_of(operation) {
                None => EditAnswer::Unknown { retry_after },
                Some(version) => EditAnswer::Accepted { version },
            },
            EditAction::AnswerConflict => EditAnswer::Conflict { current },
            EditAction::AnswerInvalid => self.fault_of(operation),
            EditAction::AnswerUnavailable => EditAnswer::Unavailable { retry_after },
            EditAction::AnswerUnknown => EditAnswer::Unknown { retry_after },
            EditAction::Read => return self.read_for(context, operation),
            EditAction::ReadLater => return self.read_later(context, operation),
            EditAction::Send => return self.send_edit(context, operation),
        };
        answer(context, operation, result);
    }

    fn fault_of(&self, operation: &OperationId) -> EditAnswer {
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
        let ticket = context.store(StoreRequest::Transact {
            conditions: vec![Condition {
                key: HEAD.into(),
                version: head.1,
            }],
            writes: vec![
                Write {
                    key: HEAD.into(),
                    value: Some(record.version.to_string().into()),
                },
                Write {
                    key: change_key(record.version),
                    value: Some(to_value(&record)),
                },
            ],
        });
        self.store_calls
            .insert(ticket, ConfigStoreCall::Edit(record));
    }
}

fn answer(context: &mut Context, operation: &OperationId, answer: EditAnswer) {
    context.push(Command::AnswerEdit {
        answer,
        operation: operation.clone(),
    });
}
