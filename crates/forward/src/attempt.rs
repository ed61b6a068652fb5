use super::*;

/// Time for the body of a refusal, so that the connection can be kept; a refusal counts without it.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// Multiple of the expected time until the first event from which a sound path counts as stalled.
const STALL_FACTOR: u32 = 2;
/// Longest pause in an answer that is read whole; above all deadlines of callers, which end it first.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(120);

/// One send of a request to a target.
pub(crate) struct Attempt {
    pub(crate) metadata: ReplyMetadata,
    pub(crate) in_flight: InFlight,
    pub(crate) connection: Connection,
    pub(crate) reply: ReplyStream,
}

/// Why a send brought no answer that may be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptFailure {
    /// Nothing was sent.
    NotSent,
    /// The target promises that the request has not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
    /// Nothing was sent, as a target on the path takes no requests any more.
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
    /// Sends a request along a path and waits for the head of the answer. After `resend_after` without
    /// one, it may be left for another target; without that time it may not.
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
        // Engines that are sound and busy answer no sooner elsewhere, and the prompt would be read twice.
        let expected = path.first_event_time().saturating_mul(STALL_FACTOR);
        let resend_after = resend_after.map(|after| after.max(expected));
        let message = match message::build(router, admitted, request, &path, last_event) {
            Err(error) => {
                tracing::warn!(request = &*admitted.metadata.id, %error, "request cannot be formed");
                return Err((AttemptFailure::NotSent, first));
            }
            Ok(message) => message,
        };
        let mut in_flight = InFlight::begin(router, &admitted.service, path);
        let connect_limit = router.settings.connect_limit.min(limit);
        let mut connection = match router.pool.take(&first, connect_limit).await {
            Err(error) => {
                return Err((record_send_failure(router, admitted, &first, &error), first));
            }
            Ok(connection) => connection,
        };
        // Answers to other requests may have come while the connection was made.
        if !router
            .fleet()
            .accepts_requests(clock::now(), in_flight.path())
        {
            return Err((AttemptFailure::PathUnavailable, first));
        }
        let exchange = connection.exchange(message, limit);
        let reply = match in_flight
            .wait_for_reply(admitted, resend_after, exchange)
            .await
        {
            None => return Err((AttemptFailure::Unknown, first)),
            Some(Err(error)) => {
                return Err((record_send_failure(router, admitted, &first, &error), first));
            }
            Some(Ok(reply)) => reply,
        };
        let attempt = Self {
            connection,
            metadata: router
                .header_codec
                .parse_reply(reply.status, &reply.headers),
            in_flight,
            reply,
        };
        attempt.validate(router, admitted).await
    }

    /// Separates answers that may be passed on from refusals and answers to other requests.
    async fn validate(
        self,
        router: &Arc<Router>,
        admitted: &Admitted,
    ) -> Result<Self, (AttemptFailure, Stage)> {
        let now = clock::now();
        let first = self.first().clone();
        if let Some(load) = self.metadata.load {
            router.fleet().record_load(now, first.key, load);
        }
        target_notices::record(router, &admitted.metadata.id, &first, &self.metadata);
        if self.metadata.is_not_run {
            self.record_refusal(router, admitted);
            let _ = timeout(REFUSAL_BODY_TIMEOUT, self.read(router)).await;
            return Err((AttemptFailure::NotRun, first));
        }
        let status = self.reply.status;
        let id = self.metadata.id.as_deref();
        let is_other = id.is_some_and(|id| *id != *admitted.metadata.id);
        let is_unsigned = status.is_success() && !self.metadata.has_signature;
        if is_other || is_unsigned {
            tracing::warn!(
                request = &*admitted.metadata.id,
                target = &*first.id,
                status = status.as_u16(),
                is_other,
                is_unsigned,
                "not an answer to this request"
            );
            return Err((AttemptFailure::Unknown, first));
        }
        router
            .fleet()
            .record_outcome(now, first.key, Outcome::Answered);
        router.suspects().record_answer(&first.id);
        Ok(self)
    }

    /// Notes which target refused the request. The first one may refuse for another one on the path.
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
            "refused by target"
        );
        let is_first = blamed.key == first.key;
        let outcome = if is_first {
            Outcome::Full
        } else {
            Outcome::Failed
        };
        router
            .fleet()
            .record_outcome(clock::now(), blamed.key, outcome);
    }

    /// Reads the whole answer and keeps the connection for the next request.
    pub(crate) async fn read(mut self, router: &Router) -> Result<Bytes, wire::Error> {
        let limit_bytes = router.settings.max_answer_bytes;
        let mut buffer = router.answer_buffers.begin();
        let mut body = BytesMut::new();
        while let Some(chunk) = self.reply.chunk(CHUNK_TIMEOUT).await? {
            if body.len() + chunk.len() > limit_bytes {
                return Err(wire::Error::BodyTooLong { limit_bytes });
            }
            buffer.grow(chunk.len())?;
            body.extend_from_slice(&chunk);
        }
        self.release(router);
        Ok(body.freeze())
    }

    /// Target that the request was sent to.
    pub(crate) fn first(&self) -> &Stage {
        self.in_flight.first()
    }

    /// Keeps the connection after its answer was read to the end.
    pub(crate) fn release(self, router: &Router) {
        if headers::closes(&self.reply.headers) || self.metadata.is_leaving {
            return;
        }
        let limit = headers::idle_timeout(&self.reply.headers);
        let limit = limit.unwrap_or(router.settings.idle_limit);
        router
            .pool
            .put(&self.in_flight.first().id, self.connection, limit);
    }
}

/// Notes a failed send.
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
