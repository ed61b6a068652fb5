use super::*;

enum State {
    /// The engine sent `End`; reordered records from before it may still arrive.
    Ending(LineReader),
    Reading(LineReader),
    Sending(Box<GenerateRequest>),
    Stopped,
}

/// Sends `request` to the engine at `address` and reads the records of the answer.
pub(crate) fn read(
    settings: TargetSettings,
    address: SocketAddr,
    request: GenerateRequest,
) -> RecordStream {
    let attempt = request.attempt;
    let target: TargetId = match request.route.stages.first() {
        None => "".into(),
        Some(stage) => stage.target.clone(),
    };
    let state = State::Sending(Box::new(request));
    stream::unfold(state, move |state| {
        let target = target.clone();
        async move {
            let (result, state) = next_state(settings, address, state).await?;
            let result = result.map_err(|kind| AttemptFailure {
                attempt,
                kind,
                target,
            });
            Some((result, state))
        }
    })
    .boxed()
}

async fn next_state(
    settings: TargetSettings,
    address: SocketAddr,
    state: State,
) -> Option<(Result<StreamRecord, FailureKind>, State)> {
    let is_ending = matches!(state, State::Ending(_));
    let lines = match state {
        State::Ending(lines) | State::Reading(lines) => Ok(lines),
        State::Sending(request) => send_request(settings, address, &request).await,
        State::Stopped => return None,
    };
    let mut lines = match lines {
        Err(kind) => return Some((Err(kind), State::Stopped)),
        Ok(lines) => lines,
    };
    let record = match next_record(settings, &mut lines).await {
        Err(kind) => return Some((Err(kind), State::Stopped)),
        Ok(None) if is_ending => return None,
        Ok(None) => return Some((Err(FailureKind::Broken), State::Stopped)),
        Ok(Some(record)) => record,
    };
    let state = match record {
        StreamRecord::End { .. } => State::Ending(lines),
        StreamRecord::Failed(_) => State::Stopped,
        StreamRecord::Token(_) if is_ending => State::Ending(lines),
        StreamRecord::Token(_) => State::Reading(lines),
    };
    Some((Ok(record), state))
}

async fn send_request(
    settings: TargetSettings,
    address: SocketAddr,
    request: &GenerateRequest,
) -> Result<LineReader, FailureKind> {
    let failure = |error: wire::Error| classify::failure_kind(&error);
    // A request that cannot be serialized as JSON was not sent.
    let mut call = Call::post("/v1/generate", request).map_err(|_| FailureKind::Unreachable)?;
    call.reply_timeout = Duration::from_millis(settings.idle_limit_ms);
    let limit = Duration::from_millis(settings.connect_limit_ms);
    let mut connection = Connection::open(address, limit).await.map_err(failure)?;
    let reply = connection.send(&call).await.map_err(failure)?;
    match reply.status {
        StatusCode::OK => Ok(reply.lines()),
        status if classify::is_refusal(status) => Err(FailureKind::Refused),
        _ => Err(FailureKind::Protocol),
    }
}

async fn next_record(
    settings: TargetSettings,
    lines: &mut LineReader,
) -> Result<Option<StreamRecord>, FailureKind> {
    let limit = Duration::from_millis(settings.idle_limit_ms);
    match lines.next_line(limit).await {
        Err(error) => Err(classify::failure_kind(&error)),
        Ok(None) => Ok(None),
        Ok(Some(line)) => match serde_json::from_slice(&line) {
            Err(_) => Err(FailureKind::Protocol),
            Ok(record) => Ok(Some(record)),
        },
    }
}
