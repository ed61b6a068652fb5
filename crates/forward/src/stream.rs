use super::*;

/// Answers with a stream of events that a task of its own passes on.
pub(crate) fn respond(exchange: Exchange, attempt: Attempt) -> Response {
    let headers = headers::end_to_end(&attempt.reply.headers);
    let (sender, mut response) = wire::stream(attempt.reply.status, "text/event-stream");
    *response.headers_mut() = headers;
    let pump = Pump {
        event_bytes: 0,
        pace: StreamPace::start(exchange.admitted.arrived_at),
        events: EventSplitter::default(),
        exchange,
        sender,
        watchdog: Watchdog::default(),
    };
    tokio::spawn(pump.run(attempt));
    response
}

/// Passes on the events of a stream, and resumes it elsewhere when it breaks off.
pub(crate) struct Pump {
    event_bytes: usize,
    events: EventSplitter,
    exchange: Exchange,
    pace: StreamPace,
    sender: BodySender,
    watchdog: Watchdog,
}

/// How the part of a stream that one target made has ended.
enum PartEnd {
    /// The caller has left.
    CallerLeft,
    /// The stream is complete.
    Complete,
    /// The target broke off or fell silent.
    Failed,
    /// The final answer is due.
    TimeOver,
}

impl Pump {
    async fn run(mut self, attempt: Attempt) {
        let mut attempt = attempt;
        loop {
            let stage = attempt.path.first().clone();
            let path = attempt.path.clone();
            match self.pass_on(&mut attempt).await {
                PartEnd::CallerLeft => return self.log("caller_left", &stage),
                PartEnd::Complete => {
                    let router = self.exchange.router.clone();
                    attempt.release(&router);
                    return self.log("complete", &stage);
                }
                PartEnd::TimeOver => {
                    self.log("time_over", &stage);
                    return self.sender.disconnect().await;
                }
                PartEnd::Failed => {}
            }
            drop(attempt);
            self.events.discard();
            let Some(next) = self.resume(&path).await else {
                self.log("broken_off", &stage);
                return self.sender.disconnect().await;
            };
            attempt = next;
        }
    }

    /// Passes on whole events until the part of this target ends.
    async fn pass_on(&mut self, attempt: &mut Attempt) -> PartEnd {
        let router = self.exchange.router.clone();
        let mut silent_since = clock::now();
        loop {
            let left = self.exchange.admitted.time_left();
            if left.is_zero() {
                return PartEnd::TimeOver;
            }
            let limit = left.min(router.settings.silence_limit);
            let chunk = tokio::select! {
                chunk = attempt.reply.chunk(limit) => chunk,
                () = self.sender.closed() => return PartEnd::CallerLeft,
            };
            let bytes = match chunk {
                Ok(None) if self.events.is_inside_event() => return PartEnd::Failed,
                Ok(None) => return PartEnd::Complete,
                Ok(Some(bytes)) => bytes,
                Err(wire::Error::Silent { .. }) => {
                    if !self.inspect(attempt, silent_since).await {
                        return PartEnd::Failed;
                    }
                    continue;
                }
                Err(error) => {
                    self.log_failure(attempt, &error);
                    return PartEnd::Failed;
                }
            };
            silent_since = clock::now();
            let whole = self.events.push(&bytes);
            if whole.is_empty() {
                continue;
            }
            self.event_bytes += whole.len();
            self.pace.arrived(silent_since);
            router.fleet().note_alive(silent_since, &attempt.path);
            if !self.sender.send(whole).await {
                return PartEnd::CallerLeft;
            }
        }
    }

    /// Finds out why the stream is silent. Returns whether to wait on.
    async fn inspect(&mut self, attempt: &mut Attempt, silent_since: Duration) -> bool {
        let Exchange {
            admitted, router, ..
        } = &self.exchange;
        let is_resumable = self.exchange.may_try_again();
        let inspect = self
            .watchdog
            .inspect(router, admitted, &attempt.path, silent_since);
        match inspect.await {
            Verdict::Lost => !is_resumable,
            Verdict::Slow => true,
            Verdict::Moved(path) => {
                attempt.move_to(router, path);
                true
            }
            Verdict::Sound => {
                let silence = clock::now().saturating_sub(silent_since);
                !is_resumable || silence < router.settings.stall_limit
            }
        }
    }

    /// Sends the request elsewhere, to go on after the last whole event.
    async fn resume(&mut self, failed: &Path) -> Option<Attempt> {
        let exchange = &mut self.exchange;
        if exchange.admitted.route.repeat != Repeat::ResumableStream {
            return None;
        }
        exchange.demand.excluded.push(failed.first().key);
        if !exchange.may_try_again() || !exchange.take_repeat() {
            return None;
        }
        let last = self.events.last_id().cloned();
        let attempt = exchange.attempt(last.as_deref()).await;
        let attempt = match attempt {
            Ok(attempt) => attempt,
            Err(refusal) => {
                let reason = refusal.name();
                tracing::info!(
                    request = &*exchange.admitted.facts.id,
                    reason,
                    "not resumed"
                );
                return None;
            }
        };
        if !attempt.reply.status.is_success() {
            return None;
        }
        tracing::info!(
            request = &*exchange.admitted.facts.id,
            target = &*attempt.path.first().id,
            last_event = last.as_deref().unwrap_or("none"),
            "resumed"
        );
        Some(attempt)
    }

    fn log_failure(&self, attempt: &Attempt, error: &wire::Error) {
        let stage = attempt.path.first();
        tracing::info!(
            request = &*self.exchange.admitted.facts.id,
            target = &*stage.id,
            last_event = self.events.last_id().map_or("none", |id| id),
            %error,
            "stream broke off"
        );
    }

    fn log(&self, end: &'static str, stage: &Stage) {
        metrics::counter!("forward_streams_total", "end" => end).increment(1);
        if let Some(first) = self.pace.first {
            metrics::histogram!("forward_first_event_seconds").record(first.as_secs_f64());
            let gap = self.pace.longest_gap.as_secs_f64();
            metrics::histogram!("forward_longest_gap_seconds").record(gap);
        }
        tracing::info!(
            request = &*self.exchange.admitted.facts.id,
            target = &*stage.id,
            end,
            attempts = self.exchange.attempt_count,
            bytes = self.event_bytes,
            first_ms = self.pace.first.map_or(-1, |first| first.as_millis() as i64),
            longest_gap_ms = self.pace.longest_gap.as_millis() as u64,
            "stream ended"
        );
    }
}
