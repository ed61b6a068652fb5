use super::*;

/// Maximum size of a buffered event, in bytes. An event holds only a few tokens, so that more bytes
/// without an end of an event mean that the target is faulty.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Shortest time between two records that an answer goes on.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// Answers with a stream of events, which a separate task forwards.
pub(crate) fn respond(exchange: Exchange, attempt: Attempt) -> Response {
    let headers = headers::end_to_end(&attempt.reply.headers);
    let (sender, mut response) = wire::stream(attempt.reply.status, "text/event-stream");
    *response.headers_mut() = headers;
    let forwarder = StreamForwarder {
        event_bytes: 0,
        timing: StreamTiming::start(exchange.admitted.arrived_at),
        events: first_splitter(&exchange),
        exchange,
        progress_recorded_at: Duration::ZERO,
        sender,
        watchdog: Watchdog::default(),
    };
    tokio::spawn(forwarder.run(attempt));
    response
}

/// Forwards the events of a stream, and resumes the stream at another target when it is interrupted.
pub(crate) struct StreamForwarder {
    event_bytes: usize,
    events: EventSplitter,
    exchange: Exchange,
    /// When the prompt parts were last told that the answer goes on.
    progress_recorded_at: Duration,
    timing: StreamTiming,
    sender: BodySender,
    watchdog: Watchdog,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamEnd {
    /// The target interrupted the stream, and no other target resumed it.
    Interrupted,
    /// The caller disconnected.
    CallerLeft,
    /// The stream is complete.
    Complete,
    /// The deadline of the request has passed.
    DeadlineExceeded,
}

/// Result of forwarding received bytes to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SendResult {
    /// The caller disconnected.
    CallerLeft,
    /// At least one complete event was forwarded.
    Events,
    /// The bytes completed no event.
    Partial,
}

impl StreamEnd {
    fn name(self) -> &'static str {
        match self {
            Self::Interrupted => "broken_off",
            Self::CallerLeft => "caller_left",
            Self::Complete => "complete",
            Self::DeadlineExceeded => "time_over",
        }
    }
}

impl StreamForwarder {
    async fn run(mut self, mut attempt: Attempt) {
        // The caller may leave at any wait, also while another target is to resume the stream.
        let caller = self.sender.clone();
        let end = tokio::select! {
            end = self.pass_on(&mut attempt) => end,
            () = caller.closed() => StreamEnd::CallerLeft,
        };
        drop(caller);
        self.log(end, attempt.first());
        match end {
            StreamEnd::Interrupted | StreamEnd::DeadlineExceeded => self.sender.disconnect().await,
            StreamEnd::CallerLeft => {}
            StreamEnd::Complete => {
                let router = &self.exchange.router;
                router
                    .suspects()
                    .record_success(self.exchange.admitted.fingerprint);
                let parts = &router.prompt_parts;
                parts.record_completion(clock::now(), &self.exchange.admitted);
                attempt.release(router);
            }
        }
    }

    /// Forwards complete events until the stream ends.
    async fn pass_on(&mut self, attempt: &mut Attempt) -> StreamEnd {
        let mut silent_since = clock::now();
        // Start of the current wait for an event. Bytes that complete no event do not reset it.
        let mut wait_started_at = silent_since;
        loop {
            let left = self.exchange.admitted.time_left();
            if left.is_zero() {
                return StreamEnd::DeadlineExceeded;
            }
            let limit = left.min(self.time_to_inspection(wait_started_at));
            let chunk = attempt.reply.chunk(left);
            let chunk = tokio::select! {
                chunk = timeout_while_running(limit, chunk) => chunk,
                () = self.stopped() => return StreamEnd::Interrupted,
            };
            let Ok(chunk) = chunk else {
                if self.inspect(attempt, silent_since).await {
                    silent_since = clock::now();
                }
                wait_started_at = clock::now();
                continue;
            };
            let error = match chunk {
                Ok(None) if self.is_complete(attempt) => match self.check_end(attempt).await {
                    Ok(()) => return StreamEnd::Complete,
                    Err(error) => Some(error),
                },
                Ok(None) => None,
                Ok(Some(bytes)) => {
                    let now = clock::now();
                    match self.send(&bytes, attempt, now).await {
                        SendResult::CallerLeft => return StreamEnd::CallerLeft,
                        SendResult::Events => (silent_since, wait_started_at) = (now, now),
                        SendResult::Partial => {}
                    }
                    match self.event_error(attempt) {
                        None => continue,
                        error => error,
                    }
                }
                // The deadline has passed.
                Err(wire::Error::Timeout { .. }) => continue,
                Err(error) => Some(error),
            };
            self.record_failure(attempt, error.as_ref()).await;
            let Some(next) = self.resume(attempt.first().key).await else {
                return StreamEnd::Interrupted;
            };
            *attempt = next;
            silent_since = clock::now();
            wait_started_at = silent_since;
        }
    }

    /// Error if the bytes after the last complete event cannot become an event.
    fn event_error(&self, attempt: &Attempt) -> Option<wire::Error> {
        if self.events.is_invalid() {
            return Some(wire::Error::Malformed {
                address: attempt.first().address,
                message: "bytes that are not server-sent events".into(),
            });
        }
        let is_too_long = self.events.pending_bytes() > MAX_EVENT_BYTES;
        is_too_long.then_some(wire::Error::BodyTooLong {
            limit_bytes: MAX_EVENT_BYTES,
        })
    }

    /// Whether a stream is complete whose target has closed it. Without an event of this target, an answer that
    /// ends with its connection cannot be told from one that was interrupted after its head.
    fn is_complete(&self, attempt: &Attempt) -> bool {
        let has_end = headers::is_framed(&attempt.reply.headers);
        !self.events.has_partial_event() && (attempt.first_event_at.is_some() || has_end)
    }

    /// Checks whether the target of a stream that looks complete still runs.
    async fn check_end(&self, attempt: &Attempt) -> Result<(), wire::Error> {
        let Exchange {
            admitted, router, ..
        } = &self.exchange;
        let reply = &attempt.reply;
        answer_end::check(
            router,
            admitted,
            attempt.first(),
            reply.status,
            &reply.headers,
        )
        .await
    }

    /// Waits until the stream must be stopped before its first event, because it would crash its target.
    async fn stopped(&self) {
        if self.timing.first_event.is_some() {
            return std::future::pending().await;
        }
        let Exchange {
            admitted, router, ..
        } = &self.exchange;
        router.prompt_parts.stopped(admitted).await;
    }

    /// Remaining time until the stream counts as silent, for a wait that began at `wait_started_at`.
    fn time_to_inspection(&self, wait_started_at: Duration) -> Duration {
        let Exchange {
            admitted, router, ..
        } = &self.exchange;
        let limits = admitted.gap_probe_limits(&router.settings);
        let waited = clock::now().saturating_sub(wait_started_at);
        let limit = self.watchdog.interval(self.timing.silence_limit(limits));
        limit.saturating_sub(waited)
    }

    /// Forwards the events that the received bytes complete.
    async fn send(&mut self, bytes: &[u8], attempt: &mut Attempt, now: Duration) -> SendResult {
        let count = self.events.event_count();
        let whole = self.events.push(bytes);
        if whole.is_empty() {
            return SendResult::Partial;
        }
        self.event_bytes += whole.len();
        let has_events = self.events.event_count() > count;
        if has_events {
            self.record_events(attempt, now);
        }
        match self.sender.send(whole).await {
            false => SendResult::CallerLeft,
            true if has_events => SendResult::Events,
            true => SendResult::Partial,
        }
    }

    fn record_events(&mut self, attempt: &mut Attempt, now: Duration) {
        self.timing.record_event(now);
        self.watchdog.reset();
        let Exchange {
            admitted, router, ..
        } = &self.exchange;
        let first_event_at = *attempt.first_event_at.get_or_insert(now);
        let recorded_at = &mut self.progress_recorded_at;
        if first_event_at == now || now >= *recorded_at + PROGRESS_INTERVAL {
            *recorded_at = now;
            let answered_for = now.saturating_sub(first_event_at);
            let parts = &router.prompt_parts;
            parts.record_progress(now, admitted, answered_for);
        }
        router
            .fleet()
            .record_activity(now, attempt.in_flight.path());
    }

    /// Inspects a silent stream, and moves it to another path or resumes it at another target. The
    /// current target is abandoned only once another one has answered, because it may still continue.
    /// Returns whether another target answered.
    async fn inspect(&mut self, attempt: &mut Attempt, silent_since: Duration) -> bool {
        let Exchange {
            admitted, router, ..
        } = &self.exchange;
        let silence = clock::now().saturating_sub(silent_since);
        let watchdog = &mut self.watchdog;
        let phase = attempt.phase(silent_since);
        let inspection = watchdog
            .inspect(router, admitted, attempt.in_flight.path(), phase, silence)
            .await;
        let limit = Some(router.settings.stall_limit);
        let are_stages_healthy = inspection == Inspection::Healthy;
        if !attempt.in_flight.apply(inspection, silence, limit) {
            return false;
        }
        if are_stages_healthy {
            // Its connections may be open although it has ended.
            let first = attempt.first();
            watchdog.record_lost(router, admitted, first, phase).await;
        }
        let Some(next) = self.resume(attempt.first().key).await else {
            return false;
        };
        tracing::info!(
            request = &*self.exchange.admitted.metadata.id,
            target = &*attempt.first().id,
            silence_ms = silence.as_millis() as u64,
            ?phase,
            "stream was silent and is resumed at another target"
        );
        *attempt = next;
        true
    }

    /// Sends the request to other targets until one continues after the last complete event.
    async fn resume(&mut self, mut failed: TargetKey) -> Option<Attempt> {
        loop {
            let attempt = self.send_again(failed).await?;
            let request = &*self.exchange.admitted.metadata.id;
            let target = &*attempt.first().id;
            if can_resume(&attempt) {
                self.events.discard();
                let last_event = self.events.last_id().map_or("none", |id| id);
                tracing::info!(request, target, last_event, "resumed");
                return Some(attempt);
            }
            let status = attempt.reply.status.as_u16();
            tracing::info!(request, target, status, "target did not resume the stream");
            failed = attempt.first().key;
        }
    }

    /// Sends the request to a target other than the failed ones, and returns its answer.
    async fn send_again(&mut self, failed: TargetKey) -> Option<Attempt> {
        let exchange = &mut self.exchange;
        if exchange.admitted.route.repeat != RepeatPolicy::ResumableStream {
            return None;
        }
        if !exchange.may_try_again() {
            return None;
        }
        let mut demand = exchange.demand.clone();
        demand.excluded.push(failed);
        let path = permits::choose(&exchange.router, &exchange.admitted, &demand).await;
        let path = path.ok()?;
        if !exchange.try_retry() {
            return None;
        }
        exchange.demand = demand;
        let last = self.events.last_id().cloned();
        match exchange.attempt(Some(path), last.as_deref()).await {
            Err(refusal) => {
                let reason = refusal.name();
                tracing::info!(
                    request = &*exchange.admitted.metadata.id,
                    reason,
                    "not resumed"
                );
                None
            }
            Ok(attempt) => Some(attempt),
        }
    }

    async fn record_failure(&self, attempt: &Attempt, error: Option<&wire::Error>) {
        let stage = attempt.first();
        let exchange = &self.exchange;
        exchange
            .router
            .record_broken_connection(&exchange.admitted, stage);
        let error = error.map_or(
            "ended within an event or before the first".into(),
            ToString::to_string,
        );
        tracing::info!(
            request = &*exchange.admitted.metadata.id,
            target = &*stage.id,
            last_event = self.events.last_id().map_or("none", |id| id),
            has_begun = self.timing.first_event.is_some(),
            error,
            "stream was interrupted"
        );
        let phase = attempt.phase(clock::now());
        let Exchange {
            admitted, router, ..
        } = exchange;
        prompt_parts::record_interruption(router, admitted, stage, phase).await;
    }

    fn log(&self, end: StreamEnd, stage: &Stage) {
        let end = end.name();
        metrics::counter!("forward_streams_total", "end" => end).increment(1);
        if let Some(first) = self.timing.first_event {
            metrics::histogram!("forward_first_event_seconds").record(first.as_secs_f64());
            let gap = self.timing.longest_gap.as_secs_f64();
            metrics::histogram!("forward_longest_gap_seconds").record(gap);
        }
        tracing::info!(
            request = &*self.exchange.admitted.metadata.id,
            target = &*stage.id,
            end,
            attempts = self.exchange.attempt_count,
            bytes = self.event_bytes,
            first_ms = self
                .timing
                .first_event
                .map_or(-1, |first| first.as_millis() as i64),
            longest_gap_ms = self.timing.longest_gap.as_millis() as u64,
            "stream ended"
        );
    }
}

/// Splitter for a stream that its caller may already have in part.
fn first_splitter(exchange: &Exchange) -> EventSplitter {
    let last_id = exchange.request.header("last-event-id");
    let is_resumable = exchange.admitted.route.repeat == RepeatPolicy::ResumableStream;
    last_id
        .filter(|_| is_resumable)
        .map_or_else(EventSplitter::default, EventSplitter::resume)
}

/// Whether an answer continues a stream. Its events follow a head that the caller has, so that nothing else
/// may be forwarded.
fn can_resume(attempt: &Attempt) -> bool {
    let reply = &attempt.reply;
    reply.status == StatusCode::OK && headers::is_event_stream(&reply.headers)
}
