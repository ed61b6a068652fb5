use super::*;

/// Answers `GET /metrics` in the text format of Prometheus.
pub(crate) fn metrics(handle: Option<&PrometheusHandle>) -> Response {
    let Some(handle) = handle else {
        return wire::text(StatusCode::OK, "");
    };
    handle.run_upkeep();
    wire::text(StatusCode::OK, handle.render())
}

/// Answers `GET /ready`: status 200 if callers should use this instance, otherwise 503.
pub(crate) async fn ready(app: &App) -> Result<Response, Fault> {
    let not_ready = |kind, message| Fault::new(StatusCode::SERVICE_UNAVAILABLE, kind, message);
    if app.leaving.load(Ordering::Relaxed) {
        return Err(not_ready(
            "draining",
            "this instance is about to stop; use another one",
        ));
    }
    match app.dependencies.control.status().await {
        Some(status) if status.ready => Ok(wire::text(StatusCode::OK, "ready\n")),
        _ => Err(not_ready(
            "not_ready",
            "this instance has not confirmed its configuration; use another one, or wait",
        )),
    }
}
