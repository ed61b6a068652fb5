use super::*;

/// State from which a run of a stream starts.
pub(crate) struct StreamStart {
    /// Time limit for the answer, from the plan of the account.
    pub(crate) deadline: Duration,
    /// Number of hand-overs so far; 0 for the first run of a stream.
    pub(crate) epoch: u32,
    pub(crate) journal: Journal,
    /// Number of tokens that the caller has already received.
    pub(crate) received: TokenIndex,
}

/// One run of a stream on this instance, from its start or resumption until the answer is complete,
/// the run fails, or another connection or instance takes the stream over.
pub(crate) struct Stream {
    pub(crate) app: Arc<App>,
    /// Puts the records of the engines in order. Created at the first dispatch, which provides the
    /// number of layers of the model.
    pub(crate) assembly: Option<Assembly>,
    /// Number of attempts of earlier runs. Engines count attempts over all runs of a stream, and
    /// the node counts them within one run.
    pub(crate) attempt_offset: Attempt,
    pub(crate) journal_writer: JournalWriter,
    /// Number of tokens delivered to the caller over all runs.
    pub(crate) delivered: TokenIndex,
    /// Number of tokens in the journal when the run started.
    pub(crate) journaled: TokenIndex,
    pub(crate) nonce: Nonce,
    pub(crate) output: Output,
    /// Tokens in order that are not in the journal yet.
    pub(crate) pending_tokens: Vec<Arc<str>>,
    /// Dispatch that arrived while another attempt was running.
    pub(crate) pending_dispatch: Option<StreamCommand>,
    /// Current attempt; none between attempts.
    pub(crate) running: Option<RunningAttempt>,
    pub(crate) commands: mpsc::UnboundedReceiver<StreamCommand>,
}

impl Stream {
    /// Starts the first run of a stream.
    pub(crate) fn spawn(app: Arc<App>, start: StreamStart, output: Output) -> Result<(), Fault> {
        let holder = Holder {
            instance: app.identity.instance.clone(),
            nonce: random_id(),
        };
        Self::spawn_with_holder(app, start, output, holder)
    }

    /// Starts a run for the holder that took the journal over.
    pub(crate) fn spawn_with_holder(
        app: Arc<App>,
        start: StreamStart,
        output: Output,
        holder: Holder,
    ) -> Result<(), Fault> {
        let (request, nonce) = (start.journal.request.clone(), holder.nonce.clone());
        // Register first, so that a hand-over of the journal finds this run and ends it.
        let StreamInbox { commands, taken } = app.registry.register_stream(&request, &nonce);
        let journal_writer =
            JournalWriter::open(app.clone(), start.journal.clone(), start.epoch, holder);
        let journal_writer = match journal_writer {
            Err(fault) => {
                app.registry.unregister_stream(&request, &nonce);
                return Err(fault);
            }
            Ok(journal_writer) => journal_writer,
        };
        let journaled = TokenIndex::try_from(start.journal.tokens.len()).unwrap_or(TokenIndex::MAX);
        let stream = Self {
            app,
            assembly: None,
            attempt_offset: start.journal.attempt,
            journal_writer,
            delivered: start.received,
            journaled,
            nonce,
            output,
            pending_tokens: Vec::new(),
            pending_dispatch: None,
            running: None,
            commands,
        };
        tokio::spawn(stream.run(start, taken));
        Ok(())
    }

    /// Runs the stream until it ends for any reason, then cleans up.
    async fn run(mut self, start: StreamStart, mut taken: oneshot::Receiver<()>) {
        let limit = Duration::from_millis(self.app.settings.stream.limit_ms);
        let end = tokio::select! {
            biased;
            _ = &mut taken => StreamEnd::TakenOver,
            result = timeout(limit, self.run_attempts(&start)) => match result {
                Err(_) => StreamEnd::Failed(stream_too_long_fault(limit)),
                Ok(Err(end)) => end,
                Ok(Ok(())) => StreamEnd::Finished,
            },
        };
        self.close(end, &start.journal.request).await;
    }

    /// Stops the current attempt, reports the end to the node and to the caller, and starts the
    /// retention period of the journal.
    async fn close(mut self, end: StreamEnd, request: &RequestId) {
        if !matches!(end, StreamEnd::Finished) {
            self.stop_attempt();
        }
        if !matches!(end, StreamEnd::Finished | StreamEnd::Refused(_)) {
            let request = request.clone();
            self.app.report(Event::CallerGone { request });
        }
        self.app.registry.unregister_stream(request, &self.nonce);
        // A hand-over of the stream waits for this channel to close.
        self.commands.close();
        metrics::counter!("entry_streams_total", "end" => end.label()).increment(1);
        match end {
            StreamEnd::Failed(fault) => {
                self.journal_writer.end().await;
                self.output.fail(StreamFailure::Fault(fault)).await;
            }
            StreamEnd::Finished => {}
            StreamEnd::CallerGone => self.journal_writer.end().await,
            StreamEnd::Refused(refusal) => {
                self.journal_writer.end().await;
                self.output.fail(StreamFailure::Refused(refusal)).await;
            }
            StreamEnd::TakenOver => {
                // The stream may have been handed over by a backup that this instance cannot reach.
                // Then nothing else ends the journal on this instance.
                self.journal_writer.end_local();
                self.output
                    .fail(StreamFailure::Fault(taken_over_fault()))
                    .await;
            }
        }
    }

    /// Delivers the tokens that the caller of a resumed stream has missed, submits the request to
    /// the node, and runs attempts until the answer is complete.
    async fn run_attempts(&mut self, start: &StreamStart) -> Result<(), StreamEnd> {
        if start.epoch > 0 {
            self.replay(&start.journal).await?;
        }
        if let Some(reason) = start.journal.finish {
            self.finish(&start.journal, reason).await;
            return Ok(());
        }
        self.app
            .report(Event::GenerateSubmitted(completions::submission(start)));
        loop {
            let command = match self.pending_dispatch.take() {
                None => tokio::select! {
                    command = self.commands.recv() => command.ok_or(StreamEnd::CallerGone)?,
                    () = self.output.closed() => return Err(StreamEnd::CallerGone),
                },
                Some(command) => command,
            };
            match command {
                StreamCommand::Cancel(_) | StreamCommand::SetPriority { .. } => {}
                StreamCommand::Dispatch {
                    attempt,
                    backup,
                    priority,
                    route,
                } => {
                    let attempt = self.attempt_offset + attempt;
                    self.journal_writer.record_attempt(attempt, backup).await?;
                    if self
                        .run_attempt(&start.journal, attempt, priority, route)
                        .await?
                    {
                        return Ok(());
                    }
                }
                StreamCommand::MoveCache(copy) => copy.start(&self.app, self.attempt_offset),
                StreamCommand::Refuse(refusal) => return Err(StreamEnd::Refused(refusal)),
            }
        }
    }

    /// Runs one attempt. Returns whether the answer is complete.
    async fn run_attempt(
        &mut self,
        journal: &Journal,
        attempt: Attempt,
        priority: Priority,
        route: Route,
    ) -> Result<bool, StreamEnd> {
        let Some(stage) = route.stages.first().cloned() else {
            return Ok(false);
        };
        if !self
            .output
            .start(&self.journal_writer.resume_point(self.delivered))
            .await
        {
            return Err(StreamEnd::CallerGone);
        }
        let (layer_count, journaled) = (route.layer_count, self.journaled);
        self.assembly
            .get_or_insert_with(|| Assembly::new(layer_count, journaled))
            .start_attempt(attempt);
        let request = GenerateRequest {
            attempt,
            delivered: self.journal_writer.tokens(),
            max_tokens: journal.max_tokens,
            model: journal.model.clone(),
            priority,
            prompt: journal.prompt.clone(),
            request: journal.request.clone(),
            route: route.clone(),
            seed: journal.seed,
        };
        self.running = Some(RunningAttempt {
            app: self.app.clone(),
            attempt,
            first_target: stage.target,
            request: journal.request.clone(),
            route,
        });
        let records = self
            .app
            .dependencies
            .engines
            .generate(stage.address, request);
        self.read_records(journal, attempt, records).await
    }

    /// Reads the records of one attempt until it ends. Returns whether the answer is complete.
    async fn read_records(
        &mut self,
        journal: &Journal,
        attempt: Attempt,
        mut records: RecordStream,
    ) -> Result<bool, StreamEnd> {
        let batch = Duration::from_millis(self.app.settings.stream.batch_ms);
        let mut flush_at = None;
        loop {
            let flush = async {
                match flush_at {
                    None => std::future::pending().await,
                    Some(time) => tokio::time::sleep_until(time).await,
                }
            };
            tokio::select! {
                biased;
                command = self.commands.recv() => {
                    if self.handle_command(command.ok_or(StreamEnd::CallerGone)?, attempt)? {
                        self.stop_attempt();
                        return Ok(false);
                    }
                }
                () = self.output.closed() => return Err(StreamEnd::CallerGone),
                () = flush => {
                    self.flush(journal, attempt, None).await?;
                    flush_at = None;
                }
                record = records.next() => {
                    if let Some(is_complete) = self.handle_record(journal, attempt, record).await? {
                        return Ok(is_complete);
                    }
                    if !self.pending_tokens.is_empty() {
                        flush_at.get_or_insert_with(|| tokio::time::Instant::now() + batch);
                    }
                }
            }
        }
    }

    /// Handles one record. Returns none while the attempt continues, and otherwise whether the
    /// answer is complete.
    async fn handle_record(
        &mut self,
        journal: &Journal,
        attempt: Attempt,
        record: Option<Result<StreamRecord, AttemptFailure>>,
    ) -> Result<Option<bool>, StreamEnd> {
        let failure = match self.assemble(record, attempt) {
            AssemblyStep::Complete {
                reason,
                token_count,
            } => return self.complete(journal, attempt, reason, token_count).await,
            AssemblyStep::Deliver {
                finish,
                first,
                tokens,
            } => {
                let count = TokenIndex::try_from(tokens.len()).unwrap_or(TokenIndex::MAX);
                self.pending_tokens.extend(tokens);
                return match finish {
                    None => Ok(None),
                    Some(reason) => {
                        let token_count = first.saturating_add(count);
                        self.complete(journal, attempt, reason, token_count).await
                    }
                };
            }
            AssemblyStep::Failed(failure) => failure,
            AssemblyStep::Ignore | AssemblyStep::Wait => return Ok(None),
            AssemblyStep::Violation(violation) => {
                let request = &*journal.request;
                tracing::warn!(
                    request,
                    attempt,
                    ?violation,
                    "an engine violated the stream protocol"
                );
                self.attempt_failure(attempt, FailureKind::Protocol)
            }
        };
        self.flush(journal, attempt, None).await?;
        self.stop_attempt();
        self.app.report(Event::AttemptFailed {
            delivered_tokens: self.delivered,
            failure: AttemptFailure {
                attempt: attempt - self.attempt_offset,
                ..failure
            },
            request: journal.request.clone(),
        });
        Ok(Some(false))
    }

    /// Passes a record, or the end of the records, to the assembly.
    fn assemble(
        &mut self,
        record: Option<Result<StreamRecord, AttemptFailure>>,
        attempt: Attempt,
    ) -> AssemblyStep {
        let broken = self.attempt_failure(attempt, FailureKind::Broken);
        let Some(assembly) = &mut self.assembly else {
            return AssemblyStep::Failed(broken);
        };
        match record {
            None => match assembly.stream_stopped() {
                // No more records can arrive, so the attempt has failed.
                AssemblyStep::Ignore => AssemblyStep::Failed(broken),
                command => command,
            },
            Some(Err(failure)) => {
                assembly.stream_stopped();
                AssemblyStep::Failed(failure)
            }
            Some(Ok(record)) => assembly.accept(&record),
        }
    }

    /// Delivers the last tokens and the end of the answer, and reports the completion to the node.
    async fn complete(
        &mut self,
        journal: &Journal,
        attempt: Attempt,
        reason: FinishReason,
        token_count: TokenIndex,
    ) -> Result<Option<bool>, StreamEnd> {
        self.flush(journal, attempt, Some(reason)).await?;
        self.app.report(Event::GenerateCompleted {
            attempt: attempt - self.attempt_offset,
            request: journal.request.clone(),
            token_count,
        });
        self.finish(journal, reason).await;
        Ok(Some(true))
    }

    /// Handles a command that arrived during an attempt. Returns whether the attempt must stop.
    fn handle_command(
        &mut self,
        command: StreamCommand,
        attempt: Attempt,
    ) -> Result<bool, StreamEnd> {
        match command {
            StreamCommand::Cancel(canceled) => Ok(self.attempt_offset + canceled == attempt),
            command @ StreamCommand::Dispatch { .. } => {
                self.pending_dispatch = Some(command);
                Ok(true)
            }
            StreamCommand::MoveCache(copy) => {
                copy.start(&self.app, self.attempt_offset);
                Ok(false)
            }
            StreamCommand::Refuse(refusal) => Err(StreamEnd::Refused(refusal)),
            StreamCommand::SetPriority {
                attempt: target_attempt,
                priority,
            } => {
                if let Some(running) = self
                    .running
                    .as_ref()
                    .filter(|_| self.attempt_offset + target_attempt == attempt)
                {
                    running.set_priority(priority);
                }
                Ok(false)
            }
        }
    }

    /// Returns a failure of the current attempt that is attributed to its first stage.
    fn attempt_failure(&self, attempt: Attempt, kind: FailureKind) -> AttemptFailure {
        let target = self
            .running
            .as_ref()
            .map(|running| running.first_target.clone());
        AttemptFailure {
            attempt,
            kind,
            target: target.unwrap_or_default(),
        }
    }

    /// Cancels the current attempt at its engines, if there is one.
    fn stop_attempt(&mut self) {
        if let Some(running) = self.running.take() {
            running.stop();
        }
    }
}

fn stream_too_long_fault(limit: Duration) -> Fault {
    let message = format!("the stream lasted longer than {limit:?}; ask for a shorter answer");
    Fault::new(StatusCode::GATEWAY_TIMEOUT, "stream_too_long", message)
}
