use super::*;

/// JSON form of an address answer.
#[derive(Serialize)]
struct AddressBody<T> {
    addresses: T,
    time_to_live_ms: u64,
}

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

/// Fault of a request that came while the control thread ends.
pub(crate) fn draining_fault() -> Fault {
    let message = "this instance is about to stop; send the request to another address";
    Fault::new(StatusCode::SERVICE_UNAVAILABLE, "draining", message)
        .retry_after(Duration::from_secs(1))
}

pub(crate) fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
