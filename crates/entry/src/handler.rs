use super::*;

/// HTTP interface for callers and operators.
struct HttpInterface {
    app: Arc<App>,
    /// Rendered at `/metrics`; none if metrics are not recorded.
    metrics: Option<PrometheusHandle>,
}

/// Creates the handler for requests of callers and operators. `/metrics` renders `metrics`.
#[must_use]
pub fn handler(app: Arc<App>, metrics: Option<PrometheusHandle>) -> Arc<dyn wire::Handler> {
    Arc::new(HttpInterface { app, metrics })
}

impl wire::Handler for HttpInterface {
    fn handle(self: Arc<Self>, request: Request) -> BoxFuture<'static, Response> {
        async move {
            let area = area(&request);
            let response = match self.route(request).await {
                Err(fault) => fault.into_response(),
                Ok(response) => response,
            };
            let status = response.status().as_u16().to_string();
            metrics::counter!("entry_requests_total", "area" => area, "status" => status)
                .increment(1);
            response
        }
        .boxed()
    }
}

impl HttpInterface {
    /// Dispatches a request by path and method. Requests below `/admin` need an operator key.
    async fn route(&self, request: Request) -> Result<Response, Fault> {
        let path = request.path.clone();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        let (app, method) = (&self.app, request.method.clone());
        match (segments.as_slice(), method.as_str()) {
            (["health"], "GET") => Ok(wire::text(StatusCode::OK, "alive\n")),
            (["ready"], "GET") => probes::ready(app).await,
            (["metrics"], "GET") => Ok(probes::metrics(self.metrics.as_ref())),
            (["v1", "addresses"], "GET") => addresses::list_addresses(app, &request).await,
            (["v1", "completions"], "POST") => completions::submit(app, &request).await,
            (["v1", "completions", id], "GET") => resume::resume(app, &request, id).await,
            (["v1", "services", service, operation], "POST") => {
                calls::submit(app, &request, service, operation).await
            }
            (["admin", rest @ ..], _) => {
                authenticate_operator(&app.settings.operator_key_hashes, &request)?;
                admin::route(app, &request, rest).await
            }
            (
                ["health" | "ready" | "metrics"]
                | ["v1", "addresses" | "completions"]
                | ["v1", "completions", _]
                | ["v1", "services", _, _],
                _,
            ) => Err(wrong_method(&request)),
            _ => Err(unknown_path(&request)),
        }
    }
}

/// Returns the value of the metric label `area`. The values are a fixed set, because callers must
/// not be able to create new label values.
fn area(request: &Request) -> &'static str {
    match request.segments().as_slice() {
        ["admin", ..] => "admin",
        ["v1", "addresses", ..] => "addresses",
        ["v1", "completions", ..] => "completions",
        ["v1", "services", ..] => "services",
        ["health" | "metrics" | "ready", ..] => "probes",
        _ => "other",
    }
}

pub(crate) fn unknown_path(request: &Request) -> Fault {
    let message = format!("there is nothing at `{}`; check the path", request.path);
    Fault::new(StatusCode::NOT_FOUND, "unknown_path", message)
}

pub(crate) fn wrong_method(request: &Request) -> Fault {
    let message = format!(
        "`{}` does not take {}; see the list of requests",
        request.path, request.method
    );
    Fault::new(StatusCode::METHOD_NOT_ALLOWED, "wrong_method", message)
}
