use super::*;

/// A request is refused after this many attempts that sent nothing. Each costs a connection attempt.
const MAX_UNSENT: u32 = 4;

/// Handles one request of a caller from admission to the final answer.
pub(crate) struct Exchange {
    pub(crate) admitted: Admitted,
    /// Attempts that reached a target.
    pub(crate) attempt_count: u32,
    pub(crate) demand: Demand,
    /// Failure that a target returned; forwarded to the caller if no other target answers.
    failure_response: Option<Response>,
    /// Whether a target may have run the request.
    pub(crate) may_have_run: bool,
    pub(crate) request: Request,
    pub(crate) router: Arc<Router>,
    unsent_count: u32,
}

/// Handles one request.
pub(crate) async fn respond(router: Arc<Router>, request: Request) -> Response {
    let metadata = router.header_codec.parse_request(&request.headers);
    metrics::histogram!("forward_arrival_age_seconds").record(request.age().as_secs_f64());
    let id = metadata.id.clone();
    let admitted = match Admitted::check(&router, &request, metadata) {
        Err(refusal) => {
            log_refusal(&id, &request.path, refusal);
            return refusal.response(router.retry_after(refusal));
        }
        Ok(admitted) => admitted,
    };
    if router.may_cut(&admitted) {
        let refusal = Refusal::Leaving;
        log_refusal(&id, &request.path, refusal);
        return refusal.response(router.retry_after(refusal));
    }
    router.record_request(&admitted.service);
    router.prompt_parts.wait_for_sync(&admitted).await;
    if let Err(refusal) = router.prompt_parts.check(clock::now(), &admitted) {
        log_refusal(&id, &request.path, refusal);
        return refusal.response(router.retry_after(refusal));
    }
    let exchange = Exchange {
        attempt_count: 0,
        demand: admitted.demand(),
        failure_response: None,
        admitted,
        may_have_run: false,
        request,
        router,
        unsent_count: 0,
    };
    exchange.run().await
}

impl Exchange {
    async fn run(mut self) -> Response {
        loop {
            let attempt = match self.attempt(None, None).await {
                Err(refusal) => return self.final_response(refusal),
                Ok(attempt) => attempt,
            };
            let status = attempt.reply.status;
            if status.is_success() && self.admitted.route.repeat.is_stream() {
                return stream::respond(self, attempt);
            }
            let target = attempt.first().clone();
            let Some(response) = buffered_response::respond(&mut self, attempt).await else {
                continue;
            };
            if !status.is_server_error() || !self.may_try_again() || !self.try_retry() {
                return response;
            }
            let status = status.as_u16();
            let request = &*self.admitted.metadata.id;
            tracing::info!(
                request,
                target = &*target.id,
                status,
                "target failed, sending the request to another one"
            );
            self.demand.excluded.push(target.key);
            self.failure_response = Some(response);
        }
    }

    /// Final answer when no target answers: the failure that a target returned earlier, or else the
    /// refusal.
    fn final_response(mut self, refusal: Refusal) -> Response {
        let refused = self.refuse(refusal);
        self.failure_response.take().unwrap_or(refused)
    }

    /// Sends the request to one target after another until one answers. Uses `path` for the first
    /// attempt if it is given.
    pub(crate) async fn attempt(
        &mut self,
        mut path: Option<Path>,
        last_event: Option<&str>,
    ) -> Result<Attempt, Refusal> {
        loop {
            if self.admitted.time_left().is_zero() {
                return Err(self.deadline_refusal());
            }
            let path = match path.take() {
                None => permits::choose(&self.router, &self.admitted, &self.demand).await,
                Some(path) => Ok(path),
            };
            let path = path.map_err(|refusal| self.unsent_refusal(refusal))?;
            let may_send = self.router.prompt_parts.admit(clock::now(), &self.admitted);
            may_send.map_err(|refusal| self.suspect_refusal(refusal))?;
            self.log_path(&path);
            let send = Attempt::send(
                &self.router,
                &self.admitted,
                &self.request,
                path,
                last_event,
                self.resend_after(),
            );
            let sent = tokio::select! {
                sent = send => sent,
                refusal = self.router.prompt_parts.stopped(&self.admitted) => {
                    self.may_have_run = true;
                    return Err(self.suspect_refusal(refusal));
                }
            };
            let (failure, target) = match sent {
                Err(failure) => failure,
                Ok(attempt) => {
                    self.attempt_count += 1;
                    self.may_have_run = true;
                    return Ok(attempt);
                }
            };
            self.record_attempt_failure(failure, &target)?;
        }
    }

    /// Records a failed attempt, and returns a refusal if no further attempt is allowed.
    fn record_attempt_failure(
        &mut self,
        failure: AttemptFailure,
        target: &Stage,
    ) -> Result<(), Refusal> {
        tracing::info!(
            request = &*self.admitted.metadata.id,
            target = &*target.id,
            failure = failure.name(),
            attempts = self.attempt_count,
            "no answer from target"
        );
        if failure != AttemptFailure::Unknown {
            self.request.on_close.set(ClosePolicy::EndAfterGrace);
        }
        if failure == AttemptFailure::PathUnavailable {
            return Ok(());
        }
        if failure == AttemptFailure::NotSent {
            self.unsent_count += 1;
            if self.unsent_count >= MAX_UNSENT {
                return Err(self.unsent_refusal(Refusal::Unavailable(NoPath::NoTarget)));
            }
            return Ok(());
        }
        self.attempt_count += 1;
        self.demand.excluded.push(target.key);
        if failure == AttemptFailure::Unknown {
            self.may_have_run = true;
        }
        if self.may_try_again() && self.try_retry() {
            return Ok(());
        }
        if self.may_have_run {
            return Err(self.lost_answer_refusal());
        }
        Err(Refusal::RetryBudgetExhausted)
    }

    /// Whether the policy, the attempt limit and the deadline allow another attempt.
    pub(crate) fn may_try_again(&self) -> bool {
        let route = &self.admitted.route;
        let is_allowed = !self.may_have_run || route.repeat.is_retryable();
        is_allowed
            && self.attempt_count < route.attempt_count
            && !self.admitted.time_left().is_zero()
    }

    pub(crate) fn try_retry(&self) -> bool {
        let admitted = &self.admitted;
        self.router
            .try_retry(&admitted.metadata.id, &admitted.service)
    }

    pub(crate) fn refuse(&self, refusal: Refusal) -> Response {
        log_refusal(&self.admitted.metadata.id, &self.request.path, refusal);
        refusal.response(self.router.retry_after(refusal))
    }

    /// Time without an answer after which another target is tried; early enough that it can still answer
    /// before the caller gives up. None if no other target may be tried.
    fn resend_after(&self) -> Option<Duration> {
        let route = &self.admitted.route;
        if self.attempt_count + 1 >= route.attempt_count {
            return None;
        }
        match route.repeat {
            RepeatPolicy::Idempotent => Some(self.admitted.time_left() / 3),
            RepeatPolicy::Once | RepeatPolicy::Stream => None,
            RepeatPolicy::ResumableStream => Some(self.router.settings.stall_limit),
        }
    }

    /// Refusal after an attempt that sent nothing, which takes earlier attempts into account.
    fn unsent_refusal(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run && !self.admitted.route.repeat.is_retryable() {
            return Refusal::AnswerLost;
        }
        refusal
    }

    /// Refusal because of a suspect part. A request that was sent may have run.
    fn suspect_refusal(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run {
            return Refusal::AnswerLost;
        }
        refusal
    }

    fn lost_answer_refusal(&self) -> Refusal {
        if self.admitted.time_left().is_zero() {
            return Refusal::DeadlineExceeded;
        }
        Refusal::AnswerLost
    }

    fn deadline_refusal(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::DeadlineExceeded;
        }
        Refusal::DeadlineExceededUnsent
    }

    fn log_path(&self, path: &Path) {
        let mut stages = String::new();
        for stage in &path.stages {
            if !stages.is_empty() {
                stages.push(',');
            }
            stages.push_str(&stage.id);
            if let Some(range) = stage.range {
                stages.push_str(&format!("={range}"));
            }
        }
        tracing::info!(
            request = &*self.admitted.metadata.id,
            route = &*self.admitted.route.name,
            service = &*self.admitted.service,
            version = self.admitted.version,
            attempt = self.attempt_count + 1,
            age_ms = self.request.age().as_millis() as u64,
            left_ms = self.admitted.time_left().as_millis() as u64,
            cost_ms = path.cost_ms as u64,
            shared_parts = self.admitted.shared_parts_text(),
            stages,
            "routed"
        );
    }
}

fn log_refusal(id: &str, path: &str, refusal: Refusal) {
    metrics::counter!("forward_refusals_total", "reason" => refusal.name()).increment(1);
    let status = refusal.status().as_u16();
    tracing::info!(
        request = id,
        path,
        status,
        reason = refusal.name(),
        "refused"
    );
}
