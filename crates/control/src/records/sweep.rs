use super::*;

/// Deletes expired call rows. Only the instance that owns the current hour by rendezvous hashing
/// starts a sweep. Deletions are conditional, so two sweeps at once do no harm.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sweep {
    /// Time of the next sweep.
    next_at: Duration,
    /// Step whose reply is pending, with its ticket; none between sweeps.
    step: Option<(StoreTicket, SweepStep)>,
}

/// Request of a sweep to the store.
#[derive(Clone, Debug)]
enum SweepStep {
    /// Deletes expired call rows and their index rows; unless `is_last`, another scan follows.
    Delete { is_last: bool },
    /// Reads the call rows that the index rows point to.
    Read { index: Vec<Arc<str>>, is_last: bool },
    /// Scans index rows.
    Scan,
}

impl Sweep {
    pub(crate) fn tick(
        &mut self,
        context: &mut Context,
        members: &Members,
        settings: &RecordSettings,
    ) {
        if context.now < self.next_at || self.step.is_some() {
            return;
        }
        self.next_at = context.now + Duration::from_millis(settings.sweep_ms);
        let hour = wall_ms(context) / HOUR_MS;
        if members.is_owner(&format!("{EXPIRY_PREFIX}{hour}")) {
            self.scan(context, settings);
        }
    }

    /// Processes a reply of the store; false if the ticket does not belong to the sweep.
    pub(crate) fn store_replied(
        &mut self,
        context: &mut Context,
        ticket: StoreTicket,
        result: &Result<StoreReply, StoreFailure>,
        settings: &RecordSettings,
    ) -> bool {
        let Some((_, step)) = self.step.take_if(|(expected, _)| *expected == ticket) else {
            return false;
        };
        // Any failure ends this sweep; the next one starts with the same rows.
        match (step, result) {
            (SweepStep::Scan, Ok(StoreReply::Rows { rows })) => self.read(context, rows, settings),
            (SweepStep::Read { index, is_last }, Ok(StoreReply::Rows { rows })) => {
                self.delete(context, &index, rows, is_last);
            }
            (SweepStep::Delete { is_last: false }, Ok(StoreReply::Committed { .. })) => {
                self.scan(context, settings);
            }
            _ => {}
        }
        true
    }

    /// Scans the index from the oldest hour to the one before the current hour, so that hours whose
    /// owner was lost are swept later by another instance.
    fn scan(&mut self, context: &mut Context, settings: &RecordSettings) {
        let hour = wall_ms(context) / HOUR_MS;
        let ticket = context.send_store_request(StoreRequest::Scan {
            from: EXPIRY_PREFIX.into(),
            limit_count: settings.sweep_max_count,
            to: format!("{EXPIRY_PREFIX}{hour:010}/").into(),
        });
        self.step = Some((ticket, SweepStep::Scan));
    }

    fn read(&mut self, context: &mut Context, rows: &[Row], settings: &RecordSettings) {
        if rows.is_empty() {
            return;
        }
        let is_last = rows.len() < settings.sweep_max_count as usize;
        let index: Vec<Arc<str>> = rows.iter().map(|row| row.key.clone()).collect();
        let keys = index.iter().filter_map(|key| indexed_call(key)).collect();
        let ticket = context.send_store_request(StoreRequest::Read { keys });
        self.step = Some((ticket, SweepStep::Read { index, is_last }));
    }

    fn delete(&mut self, context: &mut Context, index: &[Arc<str>], rows: &[Row], is_last: bool) {
        let now_ms = wall_ms(context);
        let mut conditions = Vec::new();
        let mut writes = Vec::new();
        for row in rows {
            let is_expired = CallRow::parse(&row.value).is_none_or(|call| call.expires_ms < now_ms);
            if !is_expired {
                continue;
            }
            conditions.push(Condition {
                key: row.key.clone(),
                version: row.version,
            });
            writes.push(Write {
                key: row.key.clone(),
                value: None,
            });
        }
        // A key that was claimed again also has a later index row, so this one is deleted in any
        // case.
        for key in index {
            writes.push(Write {
                key: key.clone(),
                value: None,
            });
        }
        let ticket = context.send_store_request(StoreRequest::Transact { conditions, writes });
        self.step = Some((ticket, SweepStep::Delete { is_last }));
    }
}
