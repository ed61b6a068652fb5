use super::*;

/// JSON body of the answer to `GET /v1/addresses`.
#[derive(Serialize)]
struct AddressBody<T> {
    addresses: T,
    time_to_live_ms: u64,
}

/// Answers `GET /v1/addresses` with the entry addresses that the caller should use.
pub(crate) async fn list_addresses(app: &App, request: &Request) -> Result<Response, Fault> {
    app.directory().authenticate(request)?;
    let query = AddressQuery {
        failure_domain: request.parameter("failure_domain").map(Into::into),
        model: request.parameter("model").map(Into::into),
    };
    let answer = app.dependencies.control.addresses(query).await;
    let answer = answer.ok_or_else(draining_fault)?;
    let body = AddressBody {
        addresses: &answer.addresses,
        time_to_live_ms: to_millis(answer.time_to_live),
    };
    Ok(wire::json(StatusCode::OK, &body))
}

/// Error answer to a request that arrives while the control thread stops.
pub(crate) fn draining_fault() -> Fault {
    let message = "this instance is about to stop; send the request to another address";
    Fault::new(StatusCode::SERVICE_UNAVAILABLE, "draining", message)
        .retry_after(Duration::from_secs(1))
}

/// Converts a duration to whole milliseconds, saturating at `u64::MAX`.
pub(crate) fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
