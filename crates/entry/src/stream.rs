use super::*;

/// What a stream starts from.
pub(crate) struct StreamStart {
    pub(crate) deadline: Duration,
    pub(crate) epoch: u32,
    pub(crate) journal: Journal,
    /// Tokens that the caller has.
    pub(crate) skipped: TokenIndex,
}

/// One run of a stream at this instance.
pub(crate) struct Stream {
    pub(crate) app: Arc<App>,
    /// Made at the first dispatch, which tells the model's layers.
    pub(crate) assembly: Option<Assembly>,
    /// Attempts of earlier runs. Engines count attempts over all runs, the node within one.
    pub(crate) base: Attempt,
    pub(crate) copier: Copier,
    /// Tokens that the caller has.
    pub(crate) delivered: TokenIndex,
    /// Tokens in the journal when the run started.
    pub(crate) kept: TokenIndex,
    pub(crate) nonce: Nonce,
    pub(crate) output: Output,
    /// Tokens in order that are not copied yet.
    pub(crate) pending: Vec<Arc<str>>,
    /// A dispatch that came while another attempt ran.
    pub(crate) queued: Option<StreamStep>,
    pub(crate) running: Option<RunningAttempt>,
    pub(crate) steps: mpsc::UnboundedReceiver<StreamStep>,
}

impl Stream {
    /// Starts the first run of a stream.
    pub(crate) fn spawn(app: Arc<App>, start: StreamStart, output: Output) -> Result<(), Fault> {
        let holder = Holder {
            instance: app.identity.instance.clone(),
            nonce: random_id(),
        };
        Self::spawn_as(app, start, output, holder)
    }

    /// Starts a run as the holder that took the journal.
    pub(crate) fn spawn_as(
        app: Arc<App>,
        start: StreamStart,
        output: Output,
        holder: Holder,
    ) -> Result<(), Fault> {
        let (request, nonce) = (start.journal.request.clone(), holder.nonce.clone());
        // Registered first, so that whoever takes the journal finds the run and ends it.
        let StreamInbox { steps, taken } = app.registry.open_stream(&request, &nonce);
        let copier = Copier::open(app.clone(), start.journal.clone(), start.epoch, holder);
        let copier = match copier {
            Err(fault) => {
                app.registry.close_stream(&request, &nonce);
                return Err(fault);
            }
            Ok(copier) => copier,
        };
        let kept = TokenIndex::try_from(start.journal.tokens.len()).unwrap_or(TokenIndex::MAX);
        let stream = Self {
            app,
            assembly: None,
            base: start.journal.attempt,
            copier,
            delivered: start.skipped,
            kept,
            nonce,
            output,
            pending: Vec::new(),
            queued: None,
            running: None,
            steps,
        };
        tokio::spawn(stream.run(start, taken));
        Ok(())
    }

    async fn run(mut self, start: StreamStart, mut taken: oneshot::Receiver<()>) {
        let limit = Duration::from_millis(self.app.settings.stream.limit_ms);
        let end = tokio::select! {
            biased;
            _ = &mut taken => End::TakenOver,
            result = timeout(limit, self.drive(&start)) => match result {
                Err(_) => End::Failed(too_long(limit)),
                Ok(Err(end)) => end,
                Ok(Ok(())) => End::Finished,
            },
        };
        self.close(end, &start.journal.request).await;
    }

    async fn close(mut self, end: End, request: &RequestId) {
        if !matches!(end, End::Finished) {
            self.stop_attempt();
        }
        if !matches!(end, End::Finished | End::Refused(_)) {
            let request = request.clone();
            self.app.report(Event::CallerGone { request });
        }
        self.app.registry.close_stream(request, &self.nonce);
        // Whoever takes the stream over waits for this.
        self.steps.close();
        metrics::counter!("entry_streams_total", "end" => end.name()).increment(1);
        match end {
            End::Failed(fault) => {
                self.copier.end().await;
                self.output.fail(Failure::Fault(fault)).await;
            }
            End::Finished => {}
            End::Gone => self.copier.end().await,
            End::Refused(refusal) => {
                self.copier.end().await;
                self.output.fail(Failure::Refused(refusal)).await;
            }
            End::TakenOver => {
                // A backup that this instance could not reach may have given the stream away, so
                // nobody else ends the journal here.
                self.copier.end_here();
                self.output.fail(Failure::Fault(taken_over())).await;
            }
        }
    }

    /// Runs attempts until the answer is complete.
    async fn drive(&mut self, start: &StreamStart) -> Result<(), End> {
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
            let step = match self.queued.take() {
                None => tokio::select! {
                    step = self.steps.recv() => step.ok_or(End::Gone)?,
                    () = self.output.closed() => return Err(End::Gone),
                },
                Some(step) => step,
            };
            match step {
                StreamStep::Cancel(_) | StreamStep::SetPriority { .. } => {}
                StreamStep::Dispatch {
                    attempt,
                    backup,
                    priority,
                    route,
                } => {
                    let attempt = self.base + attempt;
                    self.copier.start_attempt(attempt, backup).await?;
                    if self
                        .attempt(&start.journal, attempt, priority, route)
                        .await?
                    {
                        return Ok(());
                    }
                }
                StreamStep::MoveCache(copy) => copy.start(&self.app, self.base),
                StreamStep::Refuse(refusal) => return Err(End::Refused(refusal)),
            }
        }
    }

    /// Runs one attempt; returns whether the answer is complete.
    async fn attempt(
        &mut self,
        journal: &Journal,
        attempt: Attempt,
        priority: Priority,
        route: Route,
    ) -> Result<bool, End> {
        let Some(stage) = route.stages.first().cloned() else {
            return Ok(false);
        };
        if !self.output.begin(&self.copier.point(self.delivered)).await {
            return Err(End::Gone);
        }
        let (layer_count, kept) = (route.layer_count, self.kept);
        self.assembly
            .get_or_insert_with(|| Assembly::new(layer_count, kept))
            .start_attempt(attempt);
        let request = GenerateRequest {
            attempt,
            delivered: self.copier.tokens(),
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
            first: stage.target,
            request: journal.request.clone(),
            route,
        });
        let records = self.app.parts.engines.generate(stage.address, request);
        self.read(journal, attempt, records).await
    }

    /// Reads the records of one attempt until it ends.
    async fn read(
        &mut self,
        journal: &Journal,
        attempt: Attempt,
        mut records: RecordStream,
    ) -> Result<bool, End> {
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
                step = self.steps.recv() => {
                    if self.interrupt(step.ok_or(End::Gone)?, attempt)? {
                        self.stop_attempt();
                        return Ok(false);
                    }
                }
                () = self.output.closed() => return Err(End::Gone),
                () = flush => {
                    self.flush(journal, attempt, None).await?;
                    flush_at = None;
                }
                record = records.next() => {
                    if let Some(is_complete) = self.take_record(journal, attempt, record).await? {
                        return Ok(is_complete);
                    }
                    if !self.pending.is_empty() {
                        flush_at.get_or_insert_with(|| tokio::time::Instant::now() + batch);
                    }
                }
            }
        }
    }

    /// Takes one record. Returns whether the answer is complete once the attempt has ended.
    async fn take_record(
        &mut self,
        journal: &Journal,
        attempt: Attempt,
        record: Option<Result<StreamRecord, AttemptFailure>>,
    ) -> Result<Option<bool>, End> {
        let failure = match self.accept(record, attempt) {
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
                self.pending.extend(tokens);
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
                tracing::warn!(request, attempt, ?violation, "an engine broke the protocol");
                self.fault(attempt, FailureKind::Protocol)
            }
        };
        self.flush(journal, attempt, None).await?;
        self.stop_attempt();
        self.app.report(Event::AttemptFailed {
            delivered_tokens: self.delivered,
            failure: AttemptFailure {
                attempt: attempt - self.base,
                ..failure
            },
            request: journal.request.clone(),
        });
        Ok(Some(false))
    }

    fn accept(
        &mut self,
        record: Option<Result<StreamRecord, AttemptFailure>>,
        attempt: Attempt,
    ) -> AssemblyStep {
        let broken = self.fault(attempt, FailureKind::Broken);
        let Some(assembly) = &mut self.assembly else {
            return AssemblyStep::Failed(broken);
        };
        match record {
            None => match assembly.stream_stopped() {
                // A stream without more records cannot be waited for.
                AssemblyStep::Ignore => AssemblyStep::Failed(broken),
                step => step,
            },
            Some(Err(failure)) => {
                assembly.stream_stopped();
                AssemblyStep::Failed(failure)
            }
            Some(Ok(record)) => assembly.accept(&record),
        }
    }

    async fn complete(
        &mut self,
        journal: &Journal,
        attempt: Attempt,
        reason: FinishReason,
        token_count: TokenIndex,
    ) -> Result<Option<bool>, End> {
        self.flush(journal, attempt, Some(reason)).await?;
        self.app.report(Event::GenerateCompleted {
            attempt: attempt - self.base,
            request: journal.request.clone(),
            token_count,
        });
        self.finish(journal, reason).await;
        Ok(Some(true))
    }

    /// Acts on a command that came during an attempt; returns whether the attempt must stop.
    fn interrupt(&mut self, step: StreamStep, attempt: Attempt) -> Result<bool, End> {
        match step {
            StreamStep::Cancel(canceled) => Ok(self.base + canceled == attempt),
            step @ StreamStep::Dispatch { .. } => {
                self.queued = Some(step);
                Ok(true)
            }
            StreamStep::MoveCache(copy) => {
                copy.start(&self.app, self.base);
                Ok(false)
            }
            StreamStep::Refuse(refusal) => Err(End::Refused(refusal)),
            StreamStep::SetPriority {
                attempt: meant,
                priority,
            } => {
                if let Some(running) = self
                    .running
                    .as_ref()
                    .filter(|_| self.base + meant == attempt)
                {
                    running.set_priority(priority);
                }
                Ok(false)
            }
        }
    }

    /// Failure of the current attempt that is blamed on its first stage.
    fn fault(&self, attempt: Attempt, kind: FailureKind) -> AttemptFailure {
        let target = self.running.as_ref().map(|running| running.first.clone());
        AttemptFailure {
            attempt,
            kind,
            target: target.unwrap_or_default(),
        }
    }

    /// Frees the engines of the attempt under way.
    fn stop_attempt(&mut self) {
        if let Some(running) = self.running.take() {
            running.stop();
        }
    }
}

fn too_long(limit: Duration) -> Fault {
    let message = format!("the stream lasted longer than {limit:?}; ask for a shorter answer");
    Fault::new(StatusCode::GATEWAY_TIMEOUT, "stream_too_long", message)
}
