use super::*;

/// Converts a refusal of the node into an error answer. The submission was not run. For calls, only
/// `StoreUnavailable` can precede the reading of the record of the idempotency key; the node issues
/// every other refusal after it has read the record.
pub(crate) fn refusal_fault(refusal: &Refusal) -> Fault {
    let (status, kind, message) = match refusal.kind {
        RefusalKind::Deadline => (
            StatusCode::SERVICE_UNAVAILABLE,
            "deadline",
            "the answer would not be complete before the deadline; send it again later",
        ),
        RefusalKind::Draining => (
            StatusCode::SERVICE_UNAVAILABLE,
            "draining",
            "this instance is about to stop; send the request to another address",
        ),
        RefusalKind::Limit => (
            StatusCode::TOO_MANY_REQUESTS,
            "limit",
            "the account has as many requests as its plan allows; wait for some of them to end",
        ),
        RefusalKind::NoTarget => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no_target",
            "nothing that can run the request is live; send it again later",
        ),
        RefusalKind::Quarantined => (
            StatusCode::TOO_MANY_REQUESTS,
            "quarantined",
            "requests like this one crashed their targets; change the request, or wait",
        ),
        RefusalKind::RetriesExhausted => (
            StatusCode::SERVICE_UNAVAILABLE,
            "retries_exhausted",
            "every attempt failed; send it again later",
        ),
        RefusalKind::StaleConfig => (
            StatusCode::SERVICE_UNAVAILABLE,
            "stale_config",
            "this instance cannot confirm its configuration; send the request to another address",
        ),
        RefusalKind::StoreUnavailable => (
            StatusCode::SERVICE_UNAVAILABLE,
            "store_unavailable",
            "the record of the key cannot be read or written now, so this submission was not run; \
             earlier submissions are not known; send the same key again later",
        ),
    };
    let fault = Fault::new(status, kind, message).retry_after(refusal.retry_after);
    match refusal.kind {
        RefusalKind::StoreUnavailable => fault.with_unknown_earlier_submissions(),
        _ => fault,
    }
}

/// Whether the caller should retry at another instance.
pub(crate) fn should_try_elsewhere(refusal: &Refusal) -> bool {
    matches!(
        refusal.kind,
        RefusalKind::Draining | RefusalKind::StaleConfig
    )
}

/// Returns the response to a refused request. If a retry at another instance can help, it contains
/// the addresses of other instances in `X-Entry-Addresses`.
pub(crate) async fn refusal_response(app: &App, refusal: &Refusal) -> Response {
    let mut response = refusal_fault(refusal).into_response();
    if !should_try_elsewhere(refusal) {
        return response;
    }
    let query = AddressQuery::default();
    let Some(answer) = app.dependencies.control.addresses(query).await else {
        return response;
    };
    let mut others = Vec::new();
    for entry in &answer.addresses {
        if entry.address != app.identity.address {
            others.push(entry.address.to_string());
        }
    }
    if let Ok(value) = HeaderValue::try_from(others.join(", ")) {
        response.headers_mut().insert("x-entry-addresses", value);
    }
    response
}
