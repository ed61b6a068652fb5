//! The interface of callers and operators: sign-in, malformed input, calls, edits and probes.

mod support;

use {
    control::{CallQuery, Command, Event, OwnerStatus},
    entry::Settings,
    serde_json::Value,
    settings::parse,
    std::time::Duration,
    support::*,
    types::{
        CallOutcome, CallReply, Change, EditAnswer, FailureKind, Refusal, RefusalKind, hash_key,
    },
    wire::{Request, Response},
    yare::parameterized,
};

const KEY: (&str, &str) = ("authorization", "Bearer key-1");
const OPERATOR: (&str, &str) = ("authorization", "Bearer operator");

async fn kind(response: Response) -> String {
    let body: Value = serde_json::from_str(&read_all(response).await).expect("a JSON body");
    body["error"]["kind"].as_str().unwrap_or_default().into()
}

fn call(operation: &str, headers: &[(&str, &str)]) -> Request {
    let path = format!("/v1/services/travel/{operation}");
    request("POST", &path, headers, "{\"seat\":1}")
}

/// Guards against access without a key, with a key of another kind, or by a changed key.
#[parameterized(
    changed = { &["Bearer key-3"] },
    empty = { &["Bearer "] },
    hash_itself = { &["HASH"] },
    missing = { &[] },
    operator_key = { &["Bearer operator"] },
    other_scheme = { &["Basic key-1"] },
)]
#[test_macro(tokio::test)]
async fn unknown_keys_are_refused(keys: &[&str]) {
    let fixture = Fixture::new();
    let hash = format!("Bearer {}", hash_key("key-1"));
    let headers: Vec<(&str, &str)> = keys
        .iter()
        .map(|key| ("authorization", if *key == "HASH" { &*hash } else { *key }))
        .collect();
    for (method, path) in [
        ("GET", "/v1/addresses"),
        ("POST", "/v1/completions"),
        ("GET", "/v1/completions/r"),
        ("POST", "/v1/services/travel/book"),
    ] {
        let response = fixture.send(request(method, path, &headers, "{}")).await;
        assert_eq!(response.status(), 401, "{path}");
        assert_eq!(kind(response).await, "unknown_key");
    }
}

/// Guards against operators' access by callers' keys.
#[tokio::test]
async fn callers_are_not_operators() {
    let fixture = Fixture::new();
    for path in [
        "/admin/accounts",
        "/admin/plans/large",
        "/admin/status",
        "/admin",
    ] {
        let response = fixture.send(request("GET", path, &[KEY], "")).await;
        assert_eq!(response.status(), 401, "{path}");
    }
}

/// Guards against input that crashes a handler, is taken for something else, or gets a fault that
/// does not name its kind.
#[parameterized(
    field_of_wrong_type = { "POST", "/v1/completions", "{\"model\":\"m\",\"prompt\":1}", 400, "malformed" },
    forbidden_model = { "POST", "/v1/completions", "{\"model\":\"n\",\"prompt\":\"p\"}", 403, "model_not_in_plan" },
    missing_field = { "POST", "/v1/completions", "{\"model\":\"m\"}", 400, "malformed" },
    negative_tokens = { "POST", "/v1/completions", "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":-1}", 400, "malformed" },
    no_body = { "POST", "/v1/completions", "", 400, "malformed" },
    no_event_id = { "GET", "/v1/completions/r", "", 400, "invalid_event_id" },
    no_tokens = { "POST", "/v1/completions", "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}", 422, "invalid_max_tokens" },
    not_json = { "POST", "/v1/completions", "{", 400, "malformed" },
    not_utf8 = { "POST", "/v1/completions", "{\"model\":\"\\ud800\"}", 400, "malformed" },
    too_many_tokens = { "POST", "/v1/completions", "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":4097}", 422, "invalid_max_tokens" },
    unknown_field = { "POST", "/v1/completions", "{\"model\":\"m\",\"prompt\":\"p\",\"x\":1}", 400, "malformed" },
    unknown_model = { "POST", "/v1/completions", "{\"model\":\"x\",\"prompt\":\"p\"}", 404, "unknown_model" },
    unknown_operation = { "POST", "/v1/services/travel/x", "", 404, "unknown_operation" },
    unknown_path = { "GET", "/v1/x", "", 404, "unknown_path" },
    unknown_service = { "POST", "/v1/services/x/y", "", 404, "unknown_service" },
    unlisted_service = { "POST", "/v1/services/absent/y", "", 503, "no_target" },
    without_key = { "POST", "/v1/services/travel/book", "", 400, "missing_key" },
    wrong_method = { "PUT", "/v1/completions", "", 405, "wrong_method" },
)]
#[test_macro(tokio::test)]
async fn wrong_input_gets_a_typed_fault(
    method: &str,
    path: &str,
    body: &str,
    status: u16,
    expected: &str,
) {
    let fixture = Fixture::new();
    fixture.read_listing().await;
    let response = fixture.send(request(method, path, &[KEY], body)).await;
    assert_eq!(response.status(), status);
    assert_eq!(kind(response).await, expected);
}

/// Guards against a key that would reach into the row of another account or call.
#[tokio::test]
async fn keys_cannot_name_other_rows() {
    let fixture = Fixture::new();
    fixture.read_listing().await;
    let long = "k".repeat(129);
    for key in ["", "a/b", "a b", &long] {
        let headers = [KEY, ("idempotency-key", key)];
        let response = fixture.send(call("book", &headers)).await;
        assert_eq!(kind(response).await, "invalid_key", "{key}");
    }
}

fn refused(kind: RefusalKind) -> CallOutcome {
    let retry_after = Duration::from_secs(3);
    CallOutcome::NotRun(Refusal { kind, retry_after })
}

fn reply() -> CallReply {
    CallReply {
        body: "{\"seat\":1}".into(),
        status: 201,
    }
}

/// Guards against an outcome that a caller can take for another one, and against a refusal without
/// a look at the record that seems to speak of earlier submissions.
#[parameterized(
    mismatch = { CallOutcome::KeyMismatch, 422, None, "" },
    not_run = { refused(RefusalKind::Limit), 503, Some("not_run"), "" },
    ran = { CallOutcome::Ran(reply()), 201, Some("ran"), "" },
    store_down = { refused(RefusalKind::StoreUnavailable), 503, Some("not_run"), "unknown" },
    unknown = { CallOutcome::Unknown, 502, Some("unknown"), "" },
)]
#[test_macro(tokio::test)]
async fn outcomes_are_told_apart(
    outcome: CallOutcome,
    status: u16,
    header: Option<&str>,
    earlier: &str,
) {
    let fixture = Fixture::new();
    fixture.read_listing().await;
    let headers = [KEY, ("idempotency-key", "k")];
    let response = tokio::spawn(fixture.send(call("book", &headers)));
    let Event::CallSubmitted(submission) = fixture.event().await else {
        panic!("the call is submitted");
    };
    let request = submission.request;
    fixture
        .app
        .execute(Command::AnswerCall { outcome, request });
    let response = response.await.unwrap();
    assert_eq!(response.status(), status);
    let told = response.headers().get("x-outcome");
    assert_eq!(told.and_then(|value| value.to_str().ok()), header);
    assert_eq!(
        response.headers().contains_key("retry-after"),
        header == Some("not_run")
    );
    let body: Value = serde_json::from_str(&read_all(response).await).unwrap();
    let told = body["error"].get("earlier_submissions");
    assert_eq!(told.and_then(Value::as_str).unwrap_or_default(), earlier);
    assert_eq!(told.is_some(), !earlier.is_empty());
}

/// Guards against a key that seems never to have run because the service left the list.
#[parameterized(
    with_key = { &[KEY, ("idempotency-key", "k")], true },
    without_key = { &[KEY], false },
)]
#[test_macro(tokio::test)]
async fn an_unlisted_service_tells_nothing_of_a_key(headers: &[(&str, &str)], is_told: bool) {
    let fixture = Fixture::new();
    fixture.read_listing().await;
    let call = request("POST", "/v1/services/absent/y", headers, "");
    let response = fixture.send(call).await;
    assert_eq!(response.headers()["x-outcome"], "not_run");
    let text = read_all(response).await;
    assert_eq!(
        text.contains("\"earlier_submissions\":\"unknown\""),
        is_told,
        "{text}"
    );
}

/// Guards against a reply that is lost because its caller left or was told `unknown`, and against a
/// failure that is not reported.
#[tokio::test]
async fn a_dispatched_call_is_reported_without_its_caller() {
    let fixture = Fixture::new();
    fixture.read_listing().await;
    let headers = [KEY, ("idempotency-key", "k")];
    let response = tokio::spawn(fixture.send(call("book", &headers)));
    let Event::CallSubmitted(submission) = fixture.event().await else {
        panic!("the call is submitted");
    };
    response.abort();
    let request = submission.request;
    let gone = Event::CallerGone {
        request: request.clone(),
    };
    assert_eq!(fixture.event().await, gone);
    let replies = [Ok(reply()), Err(FailureKind::Broken)];
    fixture.calls.replies.lock().unwrap().extend(replies);
    for attempt in [1, 2] {
        fixture.app.execute(Command::DispatchCall {
            address: peer_address("s"),
            attempt,
            request: request.clone(),
            target: "s".into(),
        });
        match fixture.event().await {
            Event::AttemptFailed { failure, .. } => assert_eq!(failure.attempt, 1),
            Event::CallCompleted { attempt, .. } => assert_eq!(attempt, 2),
            event => panic!("{event:?}"),
        }
    }
}

/// Guards against a question about a key that a peer takes for one about a claim, or whose answer
/// does not name the peer.
#[parameterized(
    key = { CallQuery::Key { body_hash: "h".into(), key: "call/lagoon/k".into() }, "b", OwnerStatus::Running },
    lost_peer = { CallQuery::Nonce("n".into()), "z", OwnerStatus::NoReply },
    nonce = { CallQuery::Nonce("n".into()), "b", OwnerStatus::UnknownClaim },
)]
#[test_macro(tokio::test)]
async fn peers_are_asked_for_calls(query: CallQuery, owner: &str, status: OwnerStatus) {
    let network = Network::default();
    let (asking, _asked) = (Fixture::on(&network, "a"), Fixture::on(&network, "b"));
    asking.app.execute(Command::AskOwner {
        owner: owner.into(),
        peer_address: peer_address(owner),
        query,
        request: "r".into(),
    });
    let answer = Event::OwnerAnswered {
        owner: owner.into(),
        request: "r".into(),
        status,
    };
    assert_eq!(asking.event().await, answer);
}

fn edit_answers() -> [(EditAnswer, u16, &'static str); 5] {
    let retry_after = Duration::from_secs(1);
    [
        (EditAnswer::Accepted { version: 8 }, 200, "\"accepted\""),
        (
            EditAnswer::Conflict { current: 9 },
            409,
            "\"current_version\":9",
        ),
        (
            EditAnswer::Invalid {
                message: "no".into(),
            },
            422,
            "invalid_edit",
        ),
        (EditAnswer::Unavailable { retry_after }, 503, "unavailable"),
        (EditAnswer::Unknown { retry_after }, 202, "\"unknown\""),
    ]
}

/// Guards against an operator who takes an edit for accepted, or for lost, when it is not.
#[tokio::test]
async fn edits_tell_what_became_of_them() {
    for (answer, status, part) in edit_answers() {
        let fixture = Fixture::new();
        let headers = [OPERATOR, ("if-match", "\"7\""), ("operation-id", "op-1")];
        let edit = request("DELETE", "/admin/accounts/other", &headers, "");
        let response = tokio::spawn(fixture.send(edit));
        let expected = Event::EditSubmitted {
            base_version: Some(7),
            change: Change::DeleteAccount { id: "other".into() },
            operation: "op-1".into(),
        };
        assert_eq!(fixture.event().await, expected);
        let operation = "op-1".into();
        fixture
            .app
            .execute(Command::AnswerEdit { answer, operation });
        let response = response.await.unwrap();
        assert_eq!(response.status(), status);
        assert_eq!(response.headers()["operation-id"], "op-1");
        let text = read_all(response).await;
        assert!(text.contains(part), "{text}");
    }
}

/// Guards against entries that no key can sign in to, or whose id breaks paths and rows.
#[parameterized(
    hash = { "/admin/accounts/x", "{\"plan\":\"large\",\"key_hashes\":[\"key\"]}", &[], 422, "invalid_key_hash" },
    id = { "/admin/plans/a%2Fb", "{}", &[], 400, "invalid_id" },
    json = { "/admin/plans/p", "{\"x\":1}", &[], 400, "malformed" },
    operation = { "/admin/plans/p", "{}", &[("operation-id", "a b")], 400, "invalid_operation_id" },
    version = { "/admin/plans/p", "{}", &[("if-match", "*")], 400, "invalid_version" },
)]
#[test_macro(tokio::test)]
async fn wrong_edits_are_refused(
    path: &str,
    body: &str,
    headers: &[(&str, &str)],
    status: u16,
    expected: &str,
) {
    let fixture = Fixture::new();
    let headers: Vec<(&str, &str)> = headers.iter().copied().chain([OPERATOR]).collect();
    let response = fixture.send(request("PUT", path, &headers, body)).await;
    assert_eq!(response.status(), status);
    assert_eq!(kind(response).await, expected);
}

/// Guards against replies without the version that the next edit needs.
#[tokio::test]
async fn reads_carry_the_version() {
    let fixture = Fixture::new();
    for path in [
        "/admin/accounts",
        "/admin/accounts/lagoon",
        "/admin/plans/small",
    ] {
        let response = fixture.send(request("GET", path, &[OPERATOR], "")).await;
        assert_eq!(response.headers()["etag"], "\"7\"", "{path}");
    }
    let missing = request("GET", "/admin/plans/x", &[OPERATOR], "");
    assert_eq!(fixture.send(missing).await.status(), 404);
    let status = request("GET", "/admin/status", &[OPERATOR], "");
    let text = read_all(fixture.send(status).await).await;
    assert!(
        text.contains("version 7 in force on 2 of 3 instances"),
        "{text}"
    );
}

/// Guards against callers who cannot read the addresses, whose failure domain is ignored, and
/// probes that need a key.
#[tokio::test]
async fn addresses_and_probes() {
    let fixture = Fixture::new();
    for (query, domain) in [
        ("model=m", "z"),
        ("model=m&failure_domain=zone-b", "zone-b"),
    ] {
        let addresses = request("GET", &format!("/v1/addresses?{query}"), &[KEY], "");
        let text = read_all(fixture.send(addresses).await).await;
        // The fake puts the caller's failure domain into its answer.
        let entry =
            format!(r#"{{"address":"10.0.0.1:80","failure_domain":"{domain}","instance":"e"}}"#);
        let expected = format!(r#"{{"addresses":[{entry}],"time_to_live_ms":4500}}"#);
        assert_eq!(text, expected);
    }
    for path in ["/health", "/ready", "/metrics"] {
        let response = fixture.send(request("GET", path, &[], "")).await;
        assert_eq!(response.status(), 200, "{path}");
    }
}

/// Guards against an account that keeps its access after an edit is in force.
#[tokio::test]
async fn published_lists_are_in_force_at_once() {
    let fixture = Fixture::new();
    let addresses = || request("GET", "/v1/addresses", &[KEY], "");
    assert_eq!(fixture.send(addresses()).await.status(), 200);
    let mut lists = lists();
    lists.accounts.remove("lagoon");
    fixture.app.execute(Command::PublishLists(lists.into()));
    assert_eq!(fixture.send(addresses()).await.status(), 401);
}

/// Guards against settings that start an instance without protection or with a name that breaks
/// event ids, and against a secret in the log.
#[tokio::test]
async fn settings_are_checked() {
    let good = r#"{"peer":{"secret":"s3cret"},"platform":{"addresses":["127.0.0.1:1"]}}"#;
    let settings: Settings = parse("f", good).unwrap();
    assert!(!format!("{settings:?}").contains("s3cret"));
    let bad = r#"{"instance":"a.b","operator_key_hashes":["x"],"stream":{"idle_ms":0}}"#;
    let faults = parse::<Settings>("f", bad).unwrap_err().to_string();
    for path in [
        "instance",
        "operator_key_hashes",
        "peer.secret",
        "platform.addresses",
        "stream.idle_ms",
    ] {
        assert!(
            faults.contains(&format!("f: {path} = ")),
            "{path}: {faults}"
        );
    }
}
