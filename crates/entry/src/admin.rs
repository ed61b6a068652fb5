use super::*;

/// One of the two lists that operators edit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ListKind {
    Account,
    Plan,
}

/// JSON body of the answer to an edit.
#[derive(Serialize)]
struct EditBody<'a> {
    operation: &'a str,
    state: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<ConfigVersion>,
}

/// JSON body of the status of an instance. `in_force` summarizes on how many instances the
/// configuration is in force.
#[derive(Serialize)]
struct StatusBody<'a> {
    in_force: String,
    #[serde(flatten)]
    status: &'a Status,
}

/// Dispatches a request below `/admin`. `segments` are the path segments after `admin`.
pub(crate) async fn route(
    app: &Arc<App>,
    request: &Request,
    segments: &[&str],
) -> Result<Response, Fault> {
    let list = match segments.first() {
        Some(&"accounts") => ListKind::Account,
        Some(&"plans") => ListKind::Plan,
        Some(&"status") if segments.len() == 1 => return get_status(app, request).await,
        _ => return Err(unknown_path(request)),
    };
    match (&segments[1..], request.method.as_str()) {
        ([], "GET") => Ok(get_list(app, list)),
        ([id], "GET") => get_entry(app, list, id),
        ([id], "DELETE" | "PUT") => {
            let change = parse_change(list, id, request)?;
            edit(app, request, change).await
        }
        ([] | [_], _) => Err(wrong_method(request)),
        _ => Err(unknown_path(request)),
    }
}

async fn get_status(app: &App, request: &Request) -> Result<Response, Fault> {
    if request.method != Method::GET {
        return Err(wrong_method(request));
    }
    let status = app
        .dependencies
        .control
        .status()
        .await
        .ok_or_else(draining_fault)?;
    let version = status.config_version;
    let in_force = match (status.in_force_count, status.instance_count) {
        (Some(in_force), Some(total)) => {
            format!("version {version} in force on {in_force} of {total} instances")
        }
        _ => format!("version {version} in force here; the other instances are not known yet"),
    };
    let body = StatusBody {
        in_force,
        status: &status,
    };
    Ok(wire::json(StatusCode::OK, &body))
}

fn get_list(app: &App, list: ListKind) -> Response {
    let lists = app.directory().lists.clone();
    let body = match list {
        ListKind::Account => serde_json::json!({
            "accounts": lists.accounts, "version": lists.version
        }),
        ListKind::Plan => serde_json::json!({ "plans": lists.plans, "version": lists.version }),
    };
    with_version(wire::json(StatusCode::OK, &body), lists.version)
}

fn get_entry(app: &App, list: ListKind, id: &str) -> Result<Response, Fault> {
    let lists = app.directory().lists.clone();
    let (body, name) = match list {
        ListKind::Account => (
            lists.accounts.get(id).map(|account| {
                serde_json::json!({ "account": account, "id": id, "version": lists.version })
            }),
            "account",
        ),
        ListKind::Plan => (
            lists.plans.get(id).map(
                |plan| serde_json::json!({ "id": id, "plan": plan, "version": lists.version }),
            ),
            "plan",
        ),
    };
    let Some(body) = body else {
        let message = format!("there is no {name} `{id}`; list them to see their ids");
        let kind = format!("unknown_{name}");
        return Err(Fault::new(StatusCode::NOT_FOUND, &kind, message));
    };
    let response = wire::json(StatusCode::OK, &body);
    Ok(with_version(response, lists.version))
}

/// Reads the change of a `PUT` or `DELETE` request and checks its names and hashes.
fn parse_change(list: ListKind, id: &str, request: &Request) -> Result<Change, Fault> {
    if !is_name(id) {
        let message = "an id has 1 to 128 letters, digits, `-`, `_` or `.`; choose another id";
        return Err(Fault::new(StatusCode::BAD_REQUEST, "invalid_id", message));
    }
    let id: Arc<str> = id.into();
    if request.method == Method::DELETE {
        return Ok(match list {
            ListKind::Account => Change::DeleteAccount { id },
            ListKind::Plan => Change::DeletePlan { id },
        });
    }
    match list {
        ListKind::Account => {
            let account: Account = request.json().map_err(|error| malformed_body(&error))?;
            for hash in &account.key_hashes {
                if !is_key_hash(hash) {
                    let message = "`key_hashes` must hold the 64 hex digits of BLAKE3 key hashes";
                    let status = StatusCode::UNPROCESSABLE_ENTITY;
                    return Err(Fault::new(status, "invalid_key_hash", message));
                }
            }
            Ok(Change::PutAccount { account, id })
        }
        ListKind::Plan => {
            let plan = request.json().map_err(|error| malformed_body(&error))?;
            Ok(Change::PutPlan { id, plan })
        }
    }
}

/// Submits an edit to the node. The status is 200 when the edit has been committed as a version and
/// is in force on this instance, and 202 when it may still take effect; the operator then learns
/// the result by sending the same `Operation-Id` again.
async fn edit(app: &Arc<App>, request: &Request, change: Change) -> Result<Response, Fault> {
    let base_version = parse_base_version(request)?;
    let operation = parse_operation_id(request)?;
    let answer = app.registry.register_edit(&operation);
    app.report(Event::EditSubmitted {
        base_version,
        change,
        operation: operation.clone(),
    });
    let limit = Duration::from_millis(app.settings.edit_limit_ms);
    let answer = match timeout(limit, answer).await {
        Ok(Ok(answer)) => answer,
        _ => EditAnswer::Unknown {
            retry_after: Duration::from_secs(1),
        },
    };
    let mut response = edit_response(&operation, answer);
    if let Ok(value) = HeaderValue::try_from(&*operation) {
        response.headers_mut().insert("operation-id", value);
    }
    Ok(response)
}

fn edit_response(operation: &str, answer: EditAnswer) -> Response {
    let body = |state, version| EditBody {
        operation,
        state,
        version,
    };
    match answer {
        EditAnswer::Accepted { version } => {
            let response = wire::json(StatusCode::OK, &body("accepted", Some(version)));
            with_version(response, version)
        }
        EditAnswer::Conflict { current } => {
            let body = serde_json::json!({
                "current_version": current,
                "error": {
                    "kind": "conflict",
                    "message": format!(
                        "another edit came first; read version {current} and edit that"
                    ),
                },
            });
            with_version(wire::json(StatusCode::CONFLICT, &body), current)
        }
        EditAnswer::Invalid { message } => {
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            Fault::new(status, "invalid_edit", &*message).into_response()
        }
        EditAnswer::Unavailable { retry_after } => {
            let message = "the edit was not accepted and changed nothing; send it again later";
            Fault::new(StatusCode::SERVICE_UNAVAILABLE, "unavailable", message)
                .retry_after(retry_after)
                .into_response()
        }
        EditAnswer::Unknown { retry_after } => {
            let mut response = wire::json(StatusCode::ACCEPTED, &body("unknown", None));
            let after_s = retry_after.as_secs().max(1);
            let value = HeaderValue::from(after_s);
            response.headers_mut().insert(RETRY_AFTER, value);
            response
        }
    }
}

fn malformed_body(error: &wire::Error) -> Fault {
    Fault::new(StatusCode::BAD_REQUEST, "malformed", error.to_string())
}

/// Reads `Operation-Id`; a request without one gets a random id.
fn parse_operation_id(request: &Request) -> Result<OperationId, Fault> {
    if request.headers.get("operation-id").is_none() {
        return Ok(random_id());
    }
    let operation = request.header("operation-id").unwrap_or_default();
    if !is_name(operation) {
        let message = "`Operation-Id` must have 1 to 128 letters, digits, `-`, `_` or `.`";
        let kind = "invalid_operation_id";
        return Err(Fault::new(StatusCode::BAD_REQUEST, kind, message));
    }
    Ok(operation.into())
}

/// Reads `If-Match`; none if the edit applies to any version.
fn parse_base_version(request: &Request) -> Result<Option<ConfigVersion>, Fault> {
    if request.headers.get("if-match").is_none() {
        return Ok(None);
    }
    let text = request.header("if-match").unwrap_or_default();
    match text.trim().trim_matches('"').parse() {
        Err(_) => {
            let message = "`If-Match` must hold the version that the edit starts from, a number";
            Err(Fault::new(
                StatusCode::BAD_REQUEST,
                "invalid_version",
                message,
            ))
        }
        Ok(version) => Ok(Some(version)),
    }
}

/// Adds the version as `ETag`.
fn with_version(mut response: Response, version: ConfigVersion) -> Response {
    if let Ok(value) = HeaderValue::try_from(format!("\"{version}\"")) {
        response.headers_mut().insert("etag", value);
    }
    response
}
