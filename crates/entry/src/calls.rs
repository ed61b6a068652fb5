use super::*;

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Task that runs one call of a service.
struct CallTask {
    app: Arc<App>,
    body: Bytes,
    key: Option<Arc<str>>,
    operation: Arc<str>,
    request: RequestId,
}

/// Answers `POST /v1/services/{service}/{operation}`.
pub(crate) async fn submit(
    app: &Arc<App>,
    request: &Request,
    service: &str,
    operation: &str,
) -> Result<Response, Fault> {
    let directory = app.directory();
    let caller = directory.authenticate(request)?;
    let service = ServiceId::from(service);
    directory.authorize_service(&caller, &service)?;
    let kind = match app.listing_cache.operation_kind(&service, operation) {
        None => {
            return Ok(unlisted_service_response(request));
        }
        Some(None) => return Err(unknown_operation_fault(&service, operation)),
        Some(Some(kind)) => kind,
    };
    let key = parse_key(request, kind)?;
    let submission = CallSubmission {
        body_hash: blake3::hash(&request.body).to_hex().as_str().into(),
        deadline: Duration::from_millis(caller.plan.deadline_ms),
        fingerprint: fingerprint(&[
            caller.account.as_bytes(),
            service.as_bytes(),
            operation.as_bytes(),
            &request.body,
        ]),
        account: caller.account,
        key: key.clone(),
        kind,
        operation: operation.into(),
        request: random_id(),
        service,
    };
    let task = CallTask {
        app: app.clone(),
        body: request.body.clone(),
        key,
        operation: operation.into(),
        request: submission.request.clone(),
    };
    let outcome = task.start(submission).await;
    Ok(outcome_response(app, outcome).await)
}

impl CallTask {
    /// Runs the call in a separate task, because a dispatched operation continues after its caller
    /// disconnects. Returns none when the task ends without an outcome.
    async fn start(self, submission: CallSubmission) -> Option<CallOutcome> {
        let (sender, receiver) = oneshot::channel();
        let commands = self.app.registry.register_call(&self.request);
        self.app.report(Event::CallSubmitted(submission));
        tokio::spawn(self.run(commands, sender));
        receiver.await.ok()
    }

    /// Executes the commands of the node for this call until it is answered or abandoned.
    async fn run(
        self,
        mut commands: mpsc::UnboundedReceiver<CallCommand>,
        mut sender: oneshot::Sender<CallOutcome>,
    ) {
        let mut is_disconnected = false;
        loop {
            let command = tokio::select! {
                command = commands.recv() => command,
                () = sender.closed(), if !is_disconnected => {
                    is_disconnected = true;
                    let request = self.request.clone();
                    self.app.report(Event::CallerGone { request });
                    continue;
                }
                // The node sends no answer for a call whose caller disconnected before dispatch.
                () = tokio::time::sleep(DISCONNECTED_CALL_TIMEOUT), if is_disconnected => break,
            };
            match command {
                None => break,
                Some(CallCommand::Answer(outcome)) => {
                    let _ = sender.send(outcome);
                    break;
                }
                Some(CallCommand::Dispatch {
                    address,
                    attempt,
                    target,
                }) => self.dispatch(address, attempt, target),
            }
        }
        self.app.registry.unregister_call(&self.request);
    }

    /// Sends the call to one target. The reply is reported even after the caller has been answered,
    /// because the node still writes the result into the record of the call.
    fn dispatch(&self, address: SocketAddr, attempt: Attempt, target: TargetId) {
        let (app, request) = (self.app.clone(), self.request.clone());
        let reply = app.dependencies.services.call(
            address,
            self.operation.clone(),
            self.key.clone(),
            self.body.clone(),
        );
        tokio::spawn(async move {
            let event = match reply.await {
                Err(kind) => Event::AttemptFailed {
                    delivered_tokens: 0,
                    failure: AttemptFailure {
                        attempt,
                        kind,
                        target,
                    },
                    request,
                },
                Ok(reply) => Event::CallCompleted {
                    attempt,
                    reply,
                    request,
                },
            };
            app.report(event);
        });
    }
}

/// How long the task of a call waits for further commands after its caller disconnected.
const DISCONNECTED_CALL_TIMEOUT: Duration = Duration::from_secs(60);

async fn outcome_response(app: &App, outcome: Option<CallOutcome>) -> Response {
    match outcome {
        Some(CallOutcome::KeyMismatch) => {
            let message = "the idempotency key was used with another body; nothing was run for \
                           this one; send it with a new key";
            Fault::new(StatusCode::UNPROCESSABLE_ENTITY, "key_mismatch", message).into_response()
        }
        Some(CallOutcome::NotRun(refusal)) => not_run_response(app, &refusal).await,
        Some(CallOutcome::Ran(reply)) => ran_response(&reply),
        // Without an outcome, nothing is known about the call.
        Some(CallOutcome::Unknown) | None => {
            let message = "the outcome is unknown: the operation ran or did not run, and it will \
                           not be run again under this key; check with the service";
            let fault = Fault::new(StatusCode::BAD_GATEWAY, "outcome_unknown", message);
            with_outcome(fault.into_response(), "unknown")
        }
    }
}

/// Answers a call that was refused and not run, always with status 503.
async fn not_run_response(app: &App, refusal: &Refusal) -> Response {
    let mut response = refusal_response(app, refusal).await;
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    with_outcome(response, "not_run")
}

/// Passes on the service's reply. The status is 502 if the recorded one is invalid, as the call may have failed.
fn ran_response(reply: &CallReply) -> Response {
    let is_valid = (200..=599).contains(&reply.status);
    let status = StatusCode::from_u16(reply.status).ok();
    let status = status
        .filter(|_| is_valid)
        .unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = wire::text(status, reply.body.as_bytes().to_vec());
    let is_json = serde_json::from_str::<serde::de::IgnoredAny>(&reply.body).is_ok();
    if is_json {
        let value = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    with_outcome(response, "ran")
}

/// Adds `X-Outcome`: `not_run`, `ran` or `unknown`.
fn with_outcome(mut response: Response, outcome: &'static str) -> Response {
    let value = HeaderValue::from_static(outcome);
    response.headers_mut().insert("x-outcome", value);
    response
}

/// Reads and checks `Idempotency-Key`, which operations that are not idempotent require.
fn parse_key(request: &Request, kind: OperationKind) -> Result<Option<Arc<str>>, Fault> {
    let fault = |kind, message| Err(Fault::new(StatusCode::BAD_REQUEST, kind, message));
    if request.headers.get("idempotency-key").is_none() {
        return match kind {
            OperationKind::Idempotent => Ok(None),
            OperationKind::NonRepeatable => fault(
                "missing_key",
                "this operation runs at most once; send `Idempotency-Key` with a new random value",
            ),
        };
    }
    let key = request.header("idempotency-key").unwrap_or_default();
    // A key is part of the key of a table row, in which `/` separates the parts.
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b'/';
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !key.bytes().all(is_allowed) {
        return fault(
            "invalid_key",
            "`Idempotency-Key` must have 1 to 128 visible ASCII characters other than `/`",
        );
    }
    Ok(Some(key.into()))
}

/// Refuses a call whose service has no listed target. The idempotency key may have been used before
/// the targets were removed, and its record is not read.
fn unlisted_service_response(request: &Request) -> Response {
    let refusal = Refusal {
        kind: RefusalKind::NoTarget,
        retry_after: Duration::from_secs(1),
    };
    let mut fault = refusal_fault(&refusal);
    if request.headers.contains_key("idempotency-key") {
        fault = fault.with_unknown_earlier_submissions();
    }
    with_outcome(fault.into_response(), "not_run")
}

fn unknown_operation_fault(service: &str, operation: &str) -> Fault {
    let message = format!("the service `{service}` has no operation `{operation}`; check its name");
    Fault::new(StatusCode::NOT_FOUND, "unknown_operation", message)
}
