use super::*;

/// Body of a request for generated text.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Prompt {
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

pub(crate) async fn submit(app: &Arc<App>, request: &Request) -> Result<Response, Fault> {
    let directory = app.directory();
    let caller = directory.sign_in(request)?;
    let prompt: Prompt = request
        .json()
        .map_err(|error| malformed(&error.to_string()))?;
    directory.check_model(&caller, &prompt.model)?;
    let limit = caller
        .plan
        .max_answer_tokens
        .min(app.settings.stream.max_tokens);
    if prompt.max_tokens == 0 || prompt.max_tokens > limit {
        let message = format!("`max_tokens` must be from 1 to {limit} for this account");
        let status = StatusCode::UNPROCESSABLE_ENTITY;
        return Err(Fault::new(status, "invalid_max_tokens", message));
    }
    let journal = Journal {
        account: caller.account.clone(),
        attempt: 0,
        finish: None,
        max_tokens: prompt.max_tokens,
        model: prompt.model,
        prompt: prompt.prompt,
        request: random_id(),
        seed: prompt.seed.unwrap_or_else(rand::random),
        tokens: Vec::new(),
    };
    let start = StreamStart {
        deadline: Duration::from_millis(caller.plan.deadline_ms),
        epoch: 0,
        journal,
        skipped: 0,
    };
    run(app, start, prompt.stream).await
}

/// Runs a stream in a task of its own and returns the response that it writes to.
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
            Ok(Err(Failure::Fault(fault))) => Err(fault),
            Ok(Err(Failure::Refused(refusal))) => Ok(refuse(app, &refusal).await),
            Err(_) => Err(ending()),
        };
    }
    let (body, response) = wire::stream(StatusCode::OK, "text/event-stream");
    let (begin, begun) = oneshot::channel();
    let idle = Duration::from_millis(app.settings.stream.idle_ms);
    Stream::spawn(app.clone(), start, Output::events(body, begin, idle))?;
    match begun.await {
        Ok(Ok(())) => Ok(response),
        Ok(Err(Failure::Fault(fault))) => Err(fault),
        Ok(Err(Failure::Refused(refusal))) => Ok(refuse(app, &refusal).await),
        Err(_) => Err(ending()),
    }
}

/// What the node is told of a stream.
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

fn malformed(message: &str) -> Fault {
    Fault::new(StatusCode::BAD_REQUEST, "malformed", message)
}
