use super::*;

/// Maximum number of hand-overs that a resume follows, starting at the instances named by the event
/// id.
const MAX_HOPS: usize = 4;

/// Result of taking a journal from the instances that may hold it.
enum TakeOutcome {
    /// The journal was handed over.
    Given { epoch: u32, journal: Box<Journal> },
    /// No instance has the journal.
    NotFound,
    /// Another connection has taken the stream over.
    Taken,
    /// An instance that may hold the journal did not answer.
    Unreachable,
}

/// Answers `GET /v1/completions/{id}`: takes the journal of a stream over and continues the stream
/// after the last event that the caller received.
pub(crate) async fn resume(app: &Arc<App>, request: &Request, id: &str) -> Result<Response, Fault> {
    let caller = app.directory().authenticate(request)?;
    let point = parse_resume_point(request, id)?;
    let max_tokens = app.settings.stream.max_tokens;
    if !lock(&app.journals).can_resume(app.now(), &point.request, max_tokens) {
        return Err(journal_memory_fault());
    }
    let holder = Holder {
        instance: app.identity.instance.clone(),
        nonce: random_id(),
    };
    let (epoch, journal) = match take_journal(app, &point, &caller.account, &holder).await {
        TakeOutcome::Given { epoch, journal } => (epoch, *journal),
        TakeOutcome::NotFound => return Err(unknown_stream_fault()),
        TakeOutcome::Taken => return Err(taken_over_fault()),
        TakeOutcome::Unreachable => return Err(unreachable_holders_fault()),
    };
    if usize::try_from(point.index).is_ok_and(|index| index > journal.tokens.len()) {
        return Err(unknown_stream_fault());
    }
    let start = StreamStart {
        deadline: Duration::from_millis(caller.plan.deadline_ms),
        epoch,
        journal,
        received: point.index,
    };
    let (body, response) = wire::stream(StatusCode::OK, "text/event-stream");
    let write_timeout = Duration::from_millis(app.settings.stream.idle_ms);
    let (start_sender, _) = oneshot::channel();
    Stream::spawn_with_holder(
        app.clone(),
        start,
        Output::events(body, start_sender, write_timeout),
        holder,
    )?;
    Ok(response)
}

/// Takes the journal from the owner or else from the backup that the resume point names.
async fn take_journal(
    app: &App,
    point: &ResumePoint,
    account: &AccountId,
    holder: &Holder,
) -> TakeOutcome {
    let take = TakeRequest {
        account: account.clone(),
        only_idle: false,
        owner: point.owner.clone(),
        request: point.request.clone(),
        taker: holder.clone(),
    };
    let mut outcome = TakeOutcome::NotFound;
    // The owner hands over even a running stream, because it may not have noticed yet that the
    // connection of the returning caller is broken. A backup that runs the stream has taken it over
    // for another resume, so it hands over only an idle one.
    let candidates = [(Some(&point.owner), false), (point.backup.as_ref(), true)];
    for (instance, only_idle) in candidates {
        let Some(instance) = instance else {
            continue;
        };
        let take = TakeRequest {
            only_idle,
            ..take.clone()
        };
        match ask_instance(app, instance, take.clone()).await {
            Err(()) => outcome = TakeOutcome::Unreachable,
            Ok(TakeAnswer::Given { epoch, journal }) => {
                return TakeOutcome::Given { epoch, journal };
            }
            Ok(TakeAnswer::Taken { by }) => return follow_hand_overs(app, by, take).await,
            Ok(TakeAnswer::Unknown) => {}
        }
    }
    outcome
}

/// Follows the hand-overs of a stream from instance to instance. These hand it over only if no
/// caller reads it there. That is the case when the connection of a resume broke before its first
/// event, which names the new owner, reached the caller.
async fn follow_hand_overs(app: &App, mut by: InstanceId, take: TakeRequest) -> TakeOutcome {
    for _ in 0..MAX_HOPS {
        let take = TakeRequest {
            only_idle: true,
            owner: by.clone(),
            ..take.clone()
        };
        match ask_instance(app, &by, take).await {
            Ok(TakeAnswer::Given { epoch, journal }) => {
                return TakeOutcome::Given { epoch, journal };
            }
            Ok(TakeAnswer::Taken { by: next }) if next != by => by = next,
            Err(()) | Ok(TakeAnswer::Taken { .. } | TakeAnswer::Unknown) => break,
        }
    }
    TakeOutcome::Taken
}

/// Takes the journal from one instance. Fails if the instance is not listed or does not answer.
async fn ask_instance(
    app: &App,
    instance: &InstanceId,
    take: TakeRequest,
) -> Result<TakeAnswer, ()> {
    if *instance == app.identity.instance {
        return Ok(app.hand_over_journal(take).await);
    }
    let address = app.listing_cache.peer_address(instance).ok_or(())?;
    let request = take.request.clone();
    let answer = app.dependencies.peers.take_journal(address, take);
    answer.await.map_err(|error| {
        tracing::warn!(request = &*request, %error, "failed to take over the journal of a stream");
    })
}

/// Reads the resume point in `Last-Event-ID`, which must belong to the request `id`.
fn parse_resume_point(request: &Request, id: &str) -> Result<ResumePoint, Fault> {
    let fault = |message: String| Fault::new(StatusCode::BAD_REQUEST, "invalid_event_id", message);
    let Some(text) = request.header("last-event-id") else {
        return Err(fault(
            "send `Last-Event-ID` with the `id` of the last event received".into(),
        ));
    };
    let point: ResumePoint = text
        .parse()
        .map_err(|error: types::Error| fault(error.to_string()))?;
    if *point.request != *id {
        let message = format!("`{text}` belongs to another request than `{id}`; use its path");
        return Err(fault(message));
    }
    Ok(point)
}

fn unknown_stream_fault() -> Fault {
    let message = "no stream of this account is held under this id; it ended more than a minute \
                   ago or never was; send the prompt again";
    Fault::new(StatusCode::NOT_FOUND, "unknown_stream", message)
}

/// Error answer on a connection whose stream was resumed on another one.
pub(crate) fn taken_over_fault() -> Fault {
    let message = "another connection resumed this stream; read it there";
    Fault::new(StatusCode::CONFLICT, "taken_over", message)
}

fn unreachable_holders_fault() -> Fault {
    let message = "the instances that hold this stream do not answer; resume it again shortly";
    Fault::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "holders_unreachable",
        message,
    )
    .retry_after(Duration::from_secs(1))
}
