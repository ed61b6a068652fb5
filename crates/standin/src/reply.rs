use super::*;

pub(crate) fn bad_request(error: &wire::Error) -> Response {
    Fault::new(StatusCode::BAD_REQUEST, "bad_request", error.to_string()).into_response()
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic that poisoned the lock fails its own test; the state stays readable for the logs.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn not_found(request: &Request) -> Response {
    let message = format!("there is no {} {}", request.method, request.path);
    Fault::new(StatusCode::NOT_FOUND, "not_found", message).into_response()
}

/// Reply with status 503 that marks the request as not run.
pub(crate) fn service_unavailable(kind: &str, message: &str) -> Response {
    let mut response = Fault::new(StatusCode::SERVICE_UNAVAILABLE, kind, message)
        .retry_after(Duration::from_secs(1))
        .into_response();
    response
        .headers_mut()
        .insert("x-outcome", HeaderValue::from_static("not-run"));
    response
}

/// Sleeps for `duration`. Skips the timer for a zero duration, because it rounds up to whole
/// milliseconds.
pub(crate) async fn sleep_unless_zero(duration: Duration) {
    if !duration.is_zero() {
        sleep(duration).await;
    }
}
