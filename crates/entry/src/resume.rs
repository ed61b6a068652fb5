use super::*;

/// Hand-overs that a resume follows from the instances that its event id names.
const HOP_COUNT: usize = 4;

/// What the instances that may hold a journal say.
enum Found {
    Given { epoch: u32, journal: Box<Journal> },
    Nothing,
    Taken,
    Unreachable,
}

pub(crate) async fn resume(app: &Arc<App>, request: &Request, id: &str) -> Result<Response, Fault> {
    let caller = app.directory().sign_in(request)?;
    let point = read_point(request, id)?;
    let max_tokens = app.settings.stream.max_tokens;
    if !lock(&app.journals).can_resume(app.now(), &point.request, max_tokens) {
        return Err(no_memory());
    }
    let holder = Holder {
        instance: app.identity.instance.clone(),
        nonce: random_id(),
    };
    let (epoch, journal) = match find(app, &point, &caller.account, &holder).await {
        Found::Given { epoch, journal } => (epoch, *journal),
        Found::Nothing => return Err(unknown_stream()),
        Found::Taken => return Err(taken_over()),
        Found::Unreachable => return Err(unreachable_holders()),
    };
    if usize::try_from(point.index).is_ok_and(|index| index > journal.tokens.len()) {
        return Err(unknown_stream());
    }
    let start = StreamStart {
        deadline: Duration::from_millis(caller.plan.deadline_ms),
        epoch,
        journal,
        skipped: point.index,
    };
    let (body, response) = wire::stream(StatusCode::OK, "text/event-stream");
    let idle = Duration::from_millis(app.settings.stream.idle_ms);
    let (begin, _) = oneshot::channel();
    Stream::spawn_as(
        app.clone(),
        start,
        Output::events(body, begin, idle),
        holder,
    )?;
    Ok(response)
}

/// Asks the owner and then the backup for the journal.
async fn find(app: &App, point: &ResumePoint, account: &AccountId, holder: &Holder) -> Found {
    let take = TakeRequest {
        account: account.clone(),
        only_idle: false,
        owner: point.owner.clone(),
        request: point.request.clone(),
        taker: holder.clone(),
    };
    let mut found = Found::Nothing;
    // The owner gives the stream away also while it runs, because a caller that comes back may have
    // a connection that the owner does not know to be broken. A backup that runs the stream has
    // taken it over for another resume.
    let places = [(Some(&point.owner), false), (point.backup.as_ref(), true)];
    for (instance, only_idle) in places {
        let Some(instance) = instance else {
            continue;
        };
        let take = TakeRequest {
            only_idle,
            ..take.clone()
        };
        match ask(app, instance, take.clone()).await {
            Err(()) => found = Found::Unreachable,
            Ok(TakeAnswer::Given { epoch, journal }) => return Found::Given { epoch, journal },
            Ok(TakeAnswer::Taken { by }) => return follow(app, by, take).await,
            Ok(TakeAnswer::Unknown) => {}
        }
    }
    found
}

/// Asks the instances that took the stream over, one after another. They give it away only when no
/// caller reads it there, which happens when a connection broke before its first event told the
/// caller of the new place.
async fn follow(app: &App, mut by: InstanceId, take: TakeRequest) -> Found {
    for _ in 0..HOP_COUNT {
        let take = TakeRequest {
            only_idle: true,
            owner: by.clone(),
            ..take.clone()
        };
        match ask(app, &by, take).await {
            Ok(TakeAnswer::Given { epoch, journal }) => return Found::Given { epoch, journal },
            Ok(TakeAnswer::Taken { by: next }) if next != by => by = next,
            Err(()) | Ok(TakeAnswer::Taken { .. } | TakeAnswer::Unknown) => break,
        }
    }
    Found::Taken
}

async fn ask(app: &App, instance: &InstanceId, take: TakeRequest) -> Result<TakeAnswer, ()> {
    if *instance == app.identity.instance {
        return Ok(app.hand_over(take).await);
    }
    let address = app.roster.peer_address(instance).ok_or(())?;
    let request = take.request.clone();
    let answer = app.parts.peers.take_journal(address, take);
    answer.await.map_err(|error| {
        tracing::warn!(request = &*request, %error, "a journal was not handed over");
    })
}

fn read_point(request: &Request, id: &str) -> Result<ResumePoint, Fault> {
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

fn unknown_stream() -> Fault {
    let message = "no stream of this account is held under this id; it ended more than a minute \
                   ago or never was; send the prompt again";
    Fault::new(StatusCode::NOT_FOUND, "unknown_stream", message)
}

/// Fault of a connection that lost its stream to another one.
pub(crate) fn taken_over() -> Fault {
    let message = "another connection resumed this stream; read it there";
    Fault::new(StatusCode::CONFLICT, "taken_over", message)
}

fn unreachable_holders() -> Fault {
    let message = "the instances that hold this stream do not answer; resume it again shortly";
    Fault::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "holders_unreachable",
        message,
    )
    .retry_after(Duration::from_secs(1))
}
