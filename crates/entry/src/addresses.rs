use super::*;

/// JSON form of an address answer.
#[derive(Serialize)]
struct AddressBody<T> {
    addresses: T,
    time_to_live_ms: u64,
}

pub(crate) async fn answer(app: &App, request: &Request) -> Result<Response, Fault> {
    app.directory().sign_in(request)?;
    let query = AddressQuery {
        failure_domain: request.parameter("failure_domain").map(Into::into),
        model: request.parameter("model").map(Into::into),
    };
    let answer = app.parts.control.addresses(query).await;
    let answer = answer.ok_or_else(ending)?;
    let body = AddressBody {
        addresses: &answer.addresses,
        time_to_live_ms: milliseconds(answer.time_to_live),
    };
    Ok(wire::json(StatusCode::OK, &body))
}

/// Fault of a request that came while the control thread ends.
pub(crate) fn ending() -> Fault {
    let message = "this instance is about to stop; send the request to another address";
    Fault::new(StatusCode::SERVICE_UNAVAILABLE, "draining", message)
        .retry_after(Duration::from_secs(1))
}

pub(crate) fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
