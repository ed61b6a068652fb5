use super::*;

/// JSON body of `POST /v1/completions`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CompletionBody {
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
    model: ModelId,
    prompt: Arc<str>,
    seed: Option<u64>,
    #[serde(default)]
    stream: bool,
}

fn default_max_tokens() -> u32 {
    256
}

/// Answers `POST /v1/completions`.
pub(crate) async fn submit(app: &Arc<App>, request: &Request) -> Result<Response, Fault> {
    let directory = app.directory();
    let caller = directory.authenticate(request)?;
    let body: CompletionBody = request
        .json()
        .map_err(|error| malformed_fault(&error.to_string()))?;
    directory.authorize_model(&caller, &body.model)?;
    let limit = caller
        .plan
        .max_answer_tokens
        .min(app.settings.stream.max_tokens);
    if body.max_tokens == 0 || body.max_tokens > limit {
        let message = format!("`max_tokens` must be from 1 to {limit} for this account");
        let status = StatusCode::UNPROCESSABLE_ENTITY;
        return Err(Fault::new(status, "invalid_max_tokens", message));
    }
    let journal = Journal {
        account: caller.account.clone(),
        attempt: 0,
        finish: None,
        max_tokens: body.max_tokens,
        model: body.model,
        prompt: body.prompt,
        request: random_id(),
        seed: body.seed.unwrap_or_else(rand::random),
        tokens: Vec::new(),
    };
    let start = StreamStart {
        deadline: Duration::from_millis(caller.plan.deadline_ms),
        epoch: 0,
        journal,
        received: 0,
    };
    run(app, start, body.stream).await
}

/// Runs a stream in a separate task and returns the response that it writes to. Without
/// `is_stream`, waits for the complete answer.
pub(crate) async fn run(
    app: &Arc<App>,
    start: StreamStart,
    is_stream: bool,
) -> Result<Response, Fault> {
    if !is_stream {
        let (sender, receiver) = oneshot::channel();
        Stream::spawn(app.clone(), start, Output::whole(sender))?;
        return match receiver.await {
            Ok(Ok(completion)) => Ok(wire::json(StatusCode::OK, &completion)),
            Ok(Err(StreamFailure::Fault(fault))) => Err(fault),
            Ok(Err(StreamFailure::Refused(refusal))) => Ok(refusal_response(app, &refusal).await),
            Err(_) => Err(draining_fault()),
        };
    }
    let (sender, response) = wire::stream(StatusCode::OK, "text/event-stream");
    let (start_sender, started) = oneshot::channel();
    let write_timeout = Duration::from_millis(app.settings.stream.idle_ms);
    Stream::spawn(
        app.clone(),
        start,
        Output::events(sender, start_sender, write_timeout),
    )?;
    match started.await {
        Ok(Ok(())) => Ok(response),
        Ok(Err(StreamFailure::Fault(fault))) => Err(fault),
        Ok(Err(StreamFailure::Refused(refusal))) => Ok(refusal_response(app, &refusal).await),
        Err(_) => Err(draining_fault()),
    }
}

/// Returns the description of a stream that the node bases its decisions on.
pub(crate) fn submission(start: &StreamStart) -> GenerateSubmission {
    let journal = &start.journal;
    GenerateSubmission {
        account: journal.account.clone(),
        deadline: start.deadline,
        delivered_tokens: u32::try_from(journal.tokens.len()).unwrap_or(u32::MAX),
        fingerprint: fingerprint(&[
            journal.account.as_bytes(),
            journal.model.as_bytes(),
            journal.prompt.as_bytes(),
        ]),
        max_tokens: journal.max_tokens,
        model: journal.model.clone(),
        prefix_hashes: prefix_hashes(&journal.prompt),
        prompt_tokens: estimate_tokens(&journal.prompt),
        request: journal.request.clone(),
    }
}

fn malformed_fault(message: &str) -> Fault {
    Fault::new(StatusCode::BAD_REQUEST, "malformed", message)
}
