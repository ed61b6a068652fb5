use super::*;

/// Cancels a running attempt or changes its priority; held by the first stage.
#[derive(Debug)]
pub(crate) struct AttemptControl {
    pub(crate) attempt: Attempt,
    pub(crate) canceled: watch::Sender<bool>,
    pub(crate) priority: watch::Sender<Priority>,
}

/// Runs one attempt at its first stage.
pub(crate) struct Generation {
    pub(crate) control: Arc<AttemptControl>,
    pub(crate) engine: Arc<Engine>,
    pub(crate) request: GenerateRequest,
}

/// Writes the records of one stream and injects the duplicates and reorderings that are set.
struct RecordWriter {
    deferred: Option<Bytes>,
    sender: BodySender,
    token_count: u32,
}

impl Generation {
    /// Runs until the answer is complete, the attempt is canceled or the reader disconnects.
    pub(crate) async fn run(self, sender: BodySender) {
        let connection = sender.clone();
        let mut canceled = self.control.canceled.subscribe();
        let crashed = async {
            self.engine.lifecycle.wait_crashed().await;
            // Keeps the body open until the connection closes: a crash must not look like the
            // normal end of a reply.
            connection.closed().await;
        };
        tokio::select! {
            () = connection.closed() => {}
            () = crashed => {}
            () = self.generate_tokens(sender) => {}
            _ = canceled.wait_for(|canceled| *canceled) => {}
        }
        self.engine.remove_attempt(&self.request, &self.control);
    }

    async fn generate_tokens(&self, sender: BodySender) {
        let mut writer = RecordWriter {
            deferred: None,
            sender,
            token_count: 0,
        };
        let mut slot = self.acquire_slot().await;
        let first_index = TokenIndex::try_from(self.request.delivered.len()).unwrap_or(u32::MAX);
        let (end, reason) = answer_length(&self.request.prompt, self.request.max_tokens);
        let mut step = self.first_step(first_index);
        for index in first_index..end {
            if self.engine.slots.has_waiting_above(self.priority()) {
                drop(slot);
                slot = self.acquire_slot().await;
            }
            step.index = index;
            let record = match self.engine.run_step(&step).await {
                ForwardReply::Failed(failure) => {
                    writer.finish(&StreamRecord::Failed(failure)).await;
                    return;
                }
                ForwardReply::Ran { layers, text } => StreamRecord::Token(TokenRecord {
                    attempt: step.attempt,
                    index,
                    layers,
                    text,
                }),
            };
            step.prefill = None;
            let faults = self.engine.faults();
            writer.send_token(&record, &faults).await;
            if faults.drop_after_tokens == Some(writer.token_count) {
                writer.sender.disconnect().await;
                return;
            }
        }
        drop(slot);
        let end = StreamRecord::End {
            attempt: self.request.attempt,
            reason,
            token_count: end.max(first_index),
        };
        writer.finish(&end).await;
    }

    fn first_step(&self, delivered_tokens: u32) -> ForwardRequest {
        let request = &self.request;
        ForwardRequest {
            attempt: request.attempt,
            index: delivered_tokens,
            model: request.model.clone(),
            position: 0,
            prefill: Some(Prefill {
                delivered_tokens,
                prompt: request.prompt.clone(),
            }),
            prompt_hash: types::hash_key(&request.prompt),
            request: request.request.clone(),
            route: request.route.clone(),
            seed: request.seed,
        }
    }

    fn priority(&self) -> Priority {
        *self.control.priority.borrow()
    }

    /// Waits for a slot; queues anew when the priority changes.
    async fn acquire_slot(&self) -> Slot {
        let mut priority = self.control.priority.subscribe();
        loop {
            let current = *priority.borrow_and_update();
            tokio::select! {
                slot = self.engine.slots.acquire(current) => return slot,
                _ = priority.changed() => {}
            }
        }
    }
}

impl RecordWriter {
    async fn finish(mut self, record: &StreamRecord) {
        if let Some(deferred) = self.deferred.take() {
            self.sender.send(deferred).await;
        }
        self.sender.send(json_line(record)).await;
    }

    async fn send_token(&mut self, record: &StreamRecord, faults: &EngineFaults) {
        let line = json_line(record);
        self.token_count += 1;
        let is_nth = |every: u32| every > 0 && self.token_count.is_multiple_of(every);
        if is_nth(faults.reorder_every) && self.deferred.is_none() {
            self.deferred = Some(line);
            return;
        }
        if is_nth(faults.duplicate_every) {
            self.sender.send(line.clone()).await;
        }
        self.sender.send(line).await;
        if let Some(deferred) = self.deferred.take() {
            self.sender.send(deferred).await;
        }
    }
}

fn json_line(record: &StreamRecord) -> Bytes {
    let mut line = serde_json::to_vec(record).unwrap_or_default();
    line.push(b'\n');
    line.into()
}
