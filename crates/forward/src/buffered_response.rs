use super::*;

/// Reads a complete answer and then forwards it. Returns none if the answer was interrupted and the
/// request must be sent again.
pub(crate) async fn respond(exchange: &mut Exchange, attempt: Attempt) -> Option<Response> {
    let status = attempt.reply.status;
    let target_headers = attempt.reply.headers.clone();
    let headers = headers::end_to_end(&target_headers);
    let target = attempt.first().clone();
    let router = exchange.router.clone();
    let left = exchange.admitted.time_left();
    let id = exchange.admitted.metadata.id.clone();
    let body = match timeout(left, attempt.read(&router)).await {
        Ok(Ok(body)) => body,
        Ok(Err(ReadError::Failed(error))) => {
            return handle_interrupted(exchange, &target, &error).await;
        }
        Ok(Err(ReadError::BudgetExceeded(error))) => {
            tracing::warn!(request = &*id, target = &*target.id, %error, "answer is given up");
            return send_again_or_refuse(exchange, &target);
        }
        Err(_) => return Some(exchange.refuse(Refusal::DeadlineExceeded)),
    };
    let admitted = &exchange.admitted;
    let end = answer_end::check(&router, admitted, &target, status, &target_headers);
    if let Err(error) = end.await {
        return handle_interrupted(exchange, &target, &error).await;
    }
    Some(forward(exchange, &target, status, headers, body))
}

/// Answers the caller with a complete answer.
fn forward(
    exchange: &Exchange,
    target: &Stage,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let (admitted, router) = (&exchange.admitted, &exchange.router);
    let promises_not_run = matches!(
        status,
        StatusCode::MISDIRECTED_REQUEST
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
    );
    // Callers read these statuses as "the request has not run", which this target does not guarantee.
    if promises_not_run && !admitted.route.repeat.is_retryable() {
        return exchange.refuse(Refusal::AnswerLost);
    }
    router.suspects().record_success(admitted.fingerprint);
    if status.is_success() {
        router
            .prompt_parts
            .record_completion(clock::now(), admitted);
    }
    tracing::info!(
        request = &*admitted.metadata.id,
        target = &*target.id,
        status = status.as_u16(),
        attempts = exchange.attempt_count,
        bytes = body.len(),
        "answered"
    );
    let mut response = wire::text(status, body);
    *response.headers_mut() = headers;
    response
}

/// Records an interrupted answer. Returns none if the request must be sent again.
async fn handle_interrupted(
    exchange: &mut Exchange,
    target: &Stage,
    error: &wire::Error,
) -> Option<Response> {
    exchange
        .router
        .record_failure(&exchange.admitted, target, error);
    if matches!(error, wire::Error::Broken { .. }) {
        let phase = CrashPhase::BeforeFirstEvent;
        prompt_parts::record_interruption(&exchange.router, &exchange.admitted, target, phase)
            .await;
    }
    send_again_or_refuse(exchange, target)
}

/// Refuses a request whose answer was not read to its end. Returns none if the request must be sent to another
/// target.
fn send_again_or_refuse(exchange: &mut Exchange, target: &Stage) -> Option<Response> {
    exchange.demand.excluded.push(target.key);
    if exchange.may_try_again() && exchange.try_retry() {
        return None;
    }
    Some(exchange.refuse(Refusal::AnswerLost))
}
