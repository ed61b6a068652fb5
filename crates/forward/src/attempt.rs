use super::*;

/// One send of a request to a target.
pub(crate) struct Attempt {
    pub(crate) facts: ReplyFacts,
    /// Counts the request at its targets as long as the attempt lives.
    in_flight: InFlight,
    pub(crate) path: Path,
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
}

impl AttemptFailure {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

impl Attempt {
    /// Sends a request along a path and waits for the head of the answer. `has_another` says whether
    /// it may be sent again if there is none.
    pub(crate) async fn send(
        router: &Arc<Router>,
        admitted: &Admitted,
        request: &Request,
        path: Path,
        last_event: Option<&str>,
        has_another: bool,
    ) -> Result<Self, (AttemptFailure, Path)> {
        let in_flight = InFlight::begin(router, &path);
        let first = path.first().clone();
        let limit = admitted.time_left();
        let settings = &router.settings;
        let mut connection = match router
            .pool
            .take(&first, settings.connect_limit.min(limit))
            .await
        {
            Err(error) => {
                let failure = failed(router, admitted, &first, &error);
                return Err((failure, path));
            }
            Ok(connection) => connection,
        };
        let dispatch = Dispatch {
            account: admitted.account.as_ref().map(|account| &*account.name),
            deadline: admitted.time_left().saturating_sub(settings.return_time),
            last_event,
            path: &path,
        };
        let message = match message(router, request, &dispatch) {
            Err(error) => {
                tracing::warn!(request = &*admitted.facts.id, %error, "request cannot be formed");
                return Err((AttemptFailure::NotSent, path));
            }
            Ok(message) => message,
        };
        let mut watched = Watched { in_flight, path };
        let exchange = connection.exchange(message, limit);
        let reply = match watched.wait(router, admitted, has_another, exchange).await {
            None => return Err((AttemptFailure::Unknown, watched.path)),
            Some(Err(error)) => {
                let failure = failed(router, admitted, &first, &error);
                return Err((failure, watched.path));
            }
            Some(Ok(reply)) => reply,
        };
        let Watched { in_flight, path } = watched;
        let facts = router.dialect.reply(reply.status, &reply.headers);
        let attempt = Self {
            facts,
            in_flight,
            path,
            connection,
            reply,
        };
        attempt.judge(router, admitted).await
    }

    /// Separates answers that may be passed on from refusals and answers to other requests.
    async fn judge(
        self,
        router: &Arc<Router>,
        admitted: &Admitted,
    ) -> Result<Self, (AttemptFailure, Path)> {
        let now = clock::now();
        let first = self.path.first().clone();
        if let Some(load) = self.facts.load {
            router.fleet().note_load(now, first.key, load);
        }
        let status = self.reply.status;
        if self.facts.is_not_run {
            let fault = self.facts.fault_at.and_then(|address| {
                let stage = self
                    .path
                    .stages
                    .iter()
                    .find(|stage| stage.address == address);
                stage.cloned()
            });
            let is_elsewhere = fault.as_ref().is_some_and(|stage| stage.key != first.key);
            let blamed = fault.unwrap_or(first);
            tracing::info!(
                request = &*admitted.facts.id,
                target = &*blamed.id,
                status = status.as_u16(),
                "refused by target"
            );
            let outcome = if is_elsewhere {
                Outcome::Failed
            } else {
                Outcome::Full
            };
            router.fleet().note(now, blamed.key, outcome);
            let path = self.path.clone();
            let _ = self.read(router).await;
            return Err((AttemptFailure::NotRun, path));
        }
        let is_other = self
            .facts
            .id
            .as_ref()
            .is_some_and(|id| **id != *admitted.facts.id);
        let is_unsigned = status.is_success() && !self.facts.has_signature;
        if is_other || is_unsigned {
            tracing::warn!(
                request = &*admitted.facts.id,
                target = &*first.id,
                status = status.as_u16(),
                is_other,
                is_unsigned,
                "not an answer to this request"
            );
            return Err((AttemptFailure::Unknown, self.path));
        }
        router.fleet().note(now, first.key, Outcome::Answered);
        Ok(self)
    }

    /// Reads the whole answer and keeps the connection for the next request.
    pub(crate) async fn read(mut self, router: &Router) -> Result<Bytes, wire::Error> {
        let settings = &router.settings;
        let limit = Duration::from_secs(60);
        let body = self.reply.read(limit, settings.answer_bytes).await?;
        self.release(router);
        Ok(body)
    }

    /// Counts the request along another path.
    pub(crate) fn move_to(&mut self, router: &Arc<Router>, path: Path) {
        self.in_flight = InFlight::begin(router, &path);
        self.path = path;
    }

    /// Keeps the connection after its answer was read to the end.
    pub(crate) fn release(self, router: &Router) {
        if headers::closes(&self.reply.headers) {
            return;
        }
        let limit = headers::idle_limit(&self.reply.headers);
        let limit = limit.unwrap_or(router.settings.idle_limit);
        let id = self.path.first().id.clone();
        router.pool.put(&id, self.connection, limit);
    }
}

/// A request that waits for the head of its answer.
struct Watched {
    in_flight: InFlight,
    path: Path,
}

impl Watched {
    /// Waits for the head, and inspects the path while there is none. Returns none if the request
    /// is better sent again, and another path is there.
    async fn wait(
        &mut self,
        router: &Arc<Router>,
        admitted: &Admitted,
        has_another: bool,
        exchange: impl Future<Output = Result<ReplyStream, wire::Error>>,
    ) -> Option<Result<ReplyStream, wire::Error>> {
        let mut exchange = std::pin::pin!(exchange);
        let mut watchdog = Watchdog::default();
        let sent_at = clock::now();
        loop {
            let since = clock::now();
            if let Ok(result) = timeout(router.settings.start_limit, &mut exchange).await {
                return Some(result);
            }
            let silence = clock::now().saturating_sub(sent_at);
            let is_lost = match watchdog.inspect(router, admitted, &self.path, since).await {
                Verdict::Lost => true,
                Verdict::Moved(path) => {
                    self.in_flight = InFlight::begin(router, &path);
                    self.path = path;
                    false
                }
                Verdict::Slow => false,
                Verdict::Sound => silence >= router.settings.stall_limit,
            };
            if is_lost && has_another && self.is_replaceable(router, admitted) {
                return None;
            }
        }
    }
}

impl Watched {
    /// Whether there is a path with another first stage.
    fn is_replaceable(&self, router: &Router, admitted: &Admitted) -> bool {
        let mut demand = admitted.demand();
        demand.excluded.push(self.path.first().key);
        router.choose(admitted, &demand).is_ok()
    }
}

/// Notes a failed send.
fn failed(
    router: &Router,
    admitted: &Admitted,
    stage: &Stage,
    error: &wire::Error,
) -> AttemptFailure {
    let is_closed = matches!(error, wire::Error::Closed { .. });
    if !is_closed {
        let is_new = router
            .fleet()
            .note(clock::now(), stage.key, Outcome::Failed);
        tracing::info!(
            request = &*admitted.facts.id,
            target = &*stage.id,
            is_avoided_now = is_new,
            %error,
            "send failed"
        );
    }
    if error.is_not_sent() {
        return AttemptFailure::NotSent;
    }
    AttemptFailure::Unknown
}

fn message(
    router: &Router,
    request: &Request,
    dispatch: &Dispatch,
) -> Result<hyper::Request<Full<Bytes>>, hyper::http::Error> {
    let mut uri = request.path.clone();
    if !request.query.is_empty() {
        uri.push('?');
        uri.push_str(&request.query);
    }
    let mut headers = headers::end_to_end(&request.headers);
    router.dialect.dispatch(&mut headers, dispatch);
    let has_body = !request.body.is_empty() || request.headers.contains_key(CONTENT_LENGTH);
    if has_body || request.headers.contains_key(TRANSFER_ENCODING) {
        headers.insert(CONTENT_LENGTH, request.body.len().into());
    }
    let mut message = hyper::Request::builder()
        .method(request.method.clone())
        .uri(uri)
        .body(Full::new(request.body.clone()))?;
    *message.headers_mut() = headers;
    Ok(message)
}
