use super::*;

/// Time to read the body of a refusal so that its connection can be reused. The refusal is valid even
/// if the body does not arrive.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// A healthy path counts as stalled after this multiple of its expected time to the first event.
const STALL_FACTOR: u32 = 2;
/// Time from sending after which a refusal that blames a later stage means that this stage is lost.
const LOST_STAGE_DELAY: Duration = Duration::from_millis(500);
/// Longest pause between chunks of a buffered answer. Longer than any caller deadline, which ends the
/// read first.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(120);

/// One attempt to get an answer to a request from a target.
pub(crate) struct Attempt {
    /// When the target delivered its first event; none before it.
    pub(crate) first_event_at: Option<Duration>,
    pub(crate) metadata: ReplyMetadata,
    pub(crate) in_flight: InFlight,
    pub(crate) link: Link,
    pub(crate) reply: ReplyStream,
}

/// Why an attempt produced no answer that may be forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptFailure {
    /// Nothing was sent.
    NotSent,
    /// The target guarantees that it has not run the request and will not run it.
    NotRun,
    /// The request may have run.
    Unknown,
    /// Nothing was sent, because a target on the path stopped accepting requests.
    PathUnavailable,
}

impl AttemptFailure {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::PathUnavailable => "withdrawn",
        }
    }
}

impl Attempt {
    /// Sends a request along a path and waits for the head of the answer. If none arrives within
    /// `resend_after`, the attempt may be abandoned for another target; if that is none, it may not.
    pub(crate) async fn send(
        router: &Arc<Router>,
        admitted: &Admitted,
        request: &Request,
        path: Path,
        last_event: Option<&str>,
        resend_after: Option<Duration>,
    ) -> Result<Self, (AttemptFailure, Stage)> {
        let first = path.first().clone();
        let limit = admitted.time_left();
        // When engines are healthy but busy, another path is no faster, and the prompt would be processed
        // twice.
        let expected = path.first_event_time().saturating_mul(STALL_FACTOR);
        let resend_after = resend_after.map(|after| after.max(expected));
        let mut in_flight = InFlight::begin(router, &admitted.service, path);
        let connect_timeout = router.settings.connect_timeout.min(limit);
        let id = &admitted.metadata.id;
        let link = router.take_link(&first, id, connect_timeout).await;
        let mut link = link.map_err(|error| {
            let failure = record_link_failure(router, admitted, &first, &error);
            (failure, first.clone())
        })?;
        if let Some(helper) = &link.helper {
            tracing::info!(
                request = &**id,
                target = &*first.id,
                instance = &*helper.id,
                "connected through another instance"
            );
        }
        // Answers to other requests may have changed the state of the targets while the connection was
        // being opened.
        let now = clock::now();
        if !router.fleet().accepts_requests(now, in_flight.path()) {
            return Err((AttemptFailure::PathUnavailable, first));
        }
        // The message states the time that is left, so it is built once the connection is open.
        let message = message::build(router, admitted, request, in_flight.path(), last_event);
        let Ok(message) = message.inspect_err(|error| log_invalid(admitted, error)) else {
            return Err((AttemptFailure::NotSent, first));
        };
        if admitted.route.repeat == RepeatPolicy::Once {
            // The caller cannot send the request again, and nothing is gained by ending a run that may be over.
            request.on_close.set(ClosePolicy::KeepRunning);
        }
        let exchange = link.connection.send_request(message, limit);
        let reply = in_flight
            .wait_for_reply(admitted, resend_after, exchange)
            .await;
        log_discarded(admitted, &first, &link.connection.take_discarded());
        let reply = match reply {
            Some(Ok(reply)) => reply,
            Some(Err(error)) => {
                let failure = record_send_failure(router, admitted, &first, &error);
                if matches!(error, wire::Error::Broken { .. }) {
                    let phase = CrashPhase::BeforeHead;
                    prompt_parts::record_interruption(router, admitted, &first, phase).await;
                }
                return Err((failure, first));
            }
            None => {
                let phase = CrashPhase::BeforeHead;
                prompt_parts::record_interruption(router, admitted, &first, phase).await;
                return Err((AttemptFailure::Unknown, first));
            }
        };
        let metadata = router
            .header_codec
            .parse_reply(reply.status, &reply.headers);
        let attempt = Self {
            link,
            first_event_at: None,
            metadata,
            in_flight,
            reply,
        };
        attempt.validate(router, admitted).await
    }

    /// Accepts an answer that may be forwarded, and rejects refusals and answers to other requests. Nothing is
    /// taken from an answer to another request.
    async fn validate(
        self,
        router: &Arc<Router>,
        admitted: &Admitted,
    ) -> Result<Self, (AttemptFailure, Stage)> {
        let now = clock::now();
        let first = self.first().clone();
        if !self.is_own(admitted) {
            self.log_rejected(admitted, "answer does not belong to this request");
            return Err((AttemptFailure::Unknown, first));
        }
        if headers::has_merged_head(&self.reply.headers) {
            self.log_rejected(admitted, "head of the answer contains another answer");
            return Err((AttemptFailure::Unknown, first));
        }
        if let Some(load) = self.metadata.load {
            router.fleet().record_load(now, first.key, load);
        }
        target_notices::record(router, &admitted.metadata.id, &first, &self.metadata);
        if let Some(wait) = self.metadata.retry_after {
            router.report_pause(&self.link, &first, wait);
        }
        // Another target than the expected one may have answered a misdirected request.
        let is_misdirected = self.reply.status == StatusCode::MISDIRECTED_REQUEST;
        let rate_per_s = self.metadata.rate_limit_per_s;
        if !is_misdirected && target_notices::record_limit(router, &first, rate_per_s) {
            tokio::spawn(permits::report_limit(router.clone(), first.clone()));
        }
        if self.metadata.is_not_run {
            self.record_refusal(router, admitted);
            let _ = timeout(REFUSAL_BODY_TIMEOUT, self.read(router)).await;
            return Err((AttemptFailure::NotRun, first));
        }
        if self.reply.status.is_success() && !self.metadata.has_signature {
            self.log_rejected(admitted, "answer has no signature");
            return Err((AttemptFailure::Unknown, first));
        }
        router
            .fleet()
            .record_outcome(now, first.key, Outcome::Answered);
        let sign = TargetSign::Answered(self.in_flight.began_at());
        router.record_sign(&crash_checks::target_run(&first), sign);
        Ok(self)
    }

    /// Whether the answer names this request, or names none and neither does the request.
    fn is_own(&self, admitted: &Admitted) -> bool {
        let id = self.metadata.id.as_deref().unwrap_or_default();
        id == &*admitted.metadata.id
    }

    fn log_rejected(&self, admitted: &Admitted, message: &'static str) {
        tracing::warn!(
            request = &*admitted.metadata.id,
            target = &*self.first().id,
            status = self.reply.status.as_u16(),
            answered = self.metadata.id.as_deref().unwrap_or("none"),
            connection_requests = self.link.connection.request_count(),
            message,
        );
    }

    /// Records which target refused the request. The first stage may report a refusal of a later stage.
    fn record_refusal(&self, router: &Router, admitted: &Admitted) {
        let first = self.first();
        let fault_at = self.metadata.fault_at;
        let mut stages = self.in_flight.path().stages.iter();
        let blamed = stages.find(|stage| Some(stage.address) == fault_at);
        let blamed = blamed.unwrap_or(first);
        tracing::info!(
            request = &*admitted.metadata.id,
            target = &*blamed.id,
            status = self.reply.status.as_u16(),
            answered = self.metadata.id.as_deref().unwrap_or("none"),
            connection_requests = self.link.connection.request_count(),
            "target refused the request"
        );
        let is_misdirected = self.reply.status == StatusCode::MISDIRECTED_REQUEST;
        // An engine also refuses in this way if it lacks a layer.
        if is_misdirected && fault_at.is_none() && first.range.is_none() {
            router.record_sign(&crash_checks::target_run(first), TargetSign::Replaced);
        }
        let outcome = self.refusal_outcome(blamed);
        router
            .fleet()
            .record_outcome(clock::now(), blamed.key, outcome);
    }

    /// What a refusal says about the stage that it blames. A later stage without memory refuses at once and goes on
    /// with the requests that it runs; a lost one is blamed only after the first stage has waited for it.
    fn refusal_outcome(&self, blamed: &Stage) -> Outcome {
        let is_first = blamed.key == self.first().key;
        let is_prompt = self.in_flight.age() < LOST_STAGE_DELAY;
        let is_unavailable = self.reply.status == StatusCode::SERVICE_UNAVAILABLE;
        if is_first || (is_unavailable && is_prompt) {
            return Outcome::Full;
        }
        Outcome::Failed
    }

    /// Reads the complete answer and returns the connection to the pool.
    pub(crate) async fn read(mut self, router: &Router) -> Result<Bytes, ReadError> {
        let limit_bytes = router.settings.max_answer_bytes;
        let mut buffer = router.answer_buffers.begin();
        let mut body = BytesMut::new();
        loop {
            let chunk = tokio::select! {
                chunk = self.reply.chunk(CHUNK_TIMEOUT) => chunk?,
                error = buffer.given_up() => return Err(error.into()),
            };
            let Some(chunk) = chunk else { break };
            if body.len() + chunk.len() > limit_bytes {
                return Err(wire::Error::BodyTooLong { limit_bytes }.into());
            }
            buffer.grow(chunk.len())?;
            body.extend_from_slice(&chunk);
        }
        self.release(router);
        Ok(body.freeze())
    }

    /// Point that the answer had reached at `now`.
    pub(crate) fn phase(&self, now: Duration) -> CrashPhase {
        self.first_event_at
            .map_or(CrashPhase::BeforeFirstEvent, |first_event_at| {
                CrashPhase::AfterFirstEvent(now.saturating_sub(first_event_at))
            })
    }

    /// First stage of the path, which received the request.
    pub(crate) fn first(&self) -> &Stage {
        self.in_flight.first()
    }

    /// Returns the connection to the pool after the answer was read to the end, unless the target closes
    /// it or is leaving.
    pub(crate) fn release(self, router: &Router) {
        if headers::closes(&self.reply.headers) || self.metadata.is_leaving {
            return;
        }
        let limit = headers::idle_timeout(&self.reply.headers);
        let limit = limit.unwrap_or(router.settings.idle_limit);
        let key = self.in_flight.first().key;
        router.put_link(key, self.link, limit);
    }
}

/// Why an answer could not be read to its end.
#[derive(Debug, Error)]
pub(crate) enum ReadError {
    /// This instance gave the answer up, which says nothing about the target.
    #[error(transparent)]
    BudgetExceeded(#[from] BudgetExceeded),
    /// The target or its connection failed.
    #[error(transparent)]
    Failed(#[from] wire::Error),
}

fn log_invalid(admitted: &Admitted, error: &hyper::http::Error) {
    let request = &*admitted.metadata.id;
    tracing::warn!(request, %error, "cannot build the request");
}

/// Logs the answers to other requests that arrived before the answer to this one.
fn log_discarded(admitted: &Admitted, target: &Stage, discarded: &DiscardedReplies) {
    if discarded.count == 0 {
        return;
    }
    metrics::counter!("forward_discarded_answers_total").increment(discarded.count.into());
    tracing::warn!(
        request = &*admitted.metadata.id,
        target = &*target.id,
        count = discarded.count,
        status = discarded.last_status,
        answered = discarded.last_echo,
        "target sent answers to other requests"
    );
}

/// Records an attempt for which no connection could be opened.
fn record_link_failure(
    router: &Router,
    admitted: &Admitted,
    stage: &Stage,
    error: &LinkError,
) -> AttemptFailure {
    match error {
        LinkError::Target(error) => record_send_failure(router, admitted, stage, error),
        LinkError::Own(error) => {
            tracing::info!(
                request = &*admitted.metadata.id,
                target = &*stage.id,
                %error,
                "target not reached, probably because of the links of this instance"
            );
            AttemptFailure::NotSent
        }
    }
}

/// Records an attempt that failed before the head of the answer arrived.
fn record_send_failure(
    router: &Router,
    admitted: &Admitted,
    stage: &Stage,
    error: &wire::Error,
) -> AttemptFailure {
    let is_closed = matches!(error, wire::Error::Closed { .. });
    if !is_closed {
        router.record_failure(admitted, stage, error);
    }
    if error.is_not_sent() {
        return AttemptFailure::NotSent;
    }
    AttemptFailure::Unknown
}
