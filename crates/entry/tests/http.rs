//! The HTTP interface for callers and operators: authentication, malformed requests, entry
//! addresses, probes and settings.

mod support;

use {
    control::Command, entry::Settings, settings::parse, support::*, types::hash_key,
    yare::parameterized,
};

/// Guards against access without a key, with a key of another kind, or with a modified key.
#[parameterized(
    changed = { &["Bearer key-3"] },
    empty = { &["Bearer "] },
    hash_itself = { &["HASH"] },
    missing = { &[] },
    operator_key = { &["Bearer operator"] },
    other_scheme = { &["Basic key-1"] },
)]
#[test_macro(tokio::test)]
async fn unknown_keys_are_rejected(keys: &[&str]) {
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
        let request = request(method, path, &headers, "{}");
        fixture.expect_fault(request, 401, "unknown_key").await;
    }
}

/// Guards against operator access with the key of a caller.
#[tokio::test]
async fn caller_keys_do_not_authenticate_operators() {
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

/// Guards against requests that crash a handler, are misinterpreted, or get an error answer of the
/// wrong kind.
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
async fn invalid_requests_get_typed_errors(
    method: &str,
    path: &str,
    body: &str,
    status: u16,
    expected: &str,
) {
    let fixture = Fixture::new();
    fixture.read_listing().await;
    let request = request(method, path, &[KEY], body);
    fixture.expect_fault(request, status, expected).await;
}

/// Guards against callers that cannot read the entry addresses or whose failure domain is ignored,
/// and against probes that need a key.
#[tokio::test]
async fn addresses_need_a_key_and_probes_do_not() {
    let fixture = Fixture::new();
    for (query, domain) in [
        ("model=m", "z"),
        ("model=m&failure_domain=zone-b", "zone-b"),
    ] {
        let addresses = request("GET", &format!("/v1/addresses?{query}"), &[KEY], "");
        let text = read_all(fixture.send(addresses).await).await;
        // The fake returns the failure domain of the query in its answer.
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

/// Guards against an account that keeps its access after an edit has removed it.
#[tokio::test]
async fn published_lists_apply_immediately() {
    let fixture = Fixture::new();
    let addresses = || request("GET", "/v1/addresses", &[KEY], "");
    assert_eq!(fixture.send(addresses()).await.status(), 200);
    let mut lists = lists();
    lists.accounts.remove("lagoon");
    fixture.app.execute(Command::PublishLists(lists.into()));
    assert_eq!(fixture.send(addresses()).await.status(), 401);
}

/// Guards against settings without a peer secret or with a name that is invalid in event ids, and
/// against the secret in debug output.
#[tokio::test]
async fn settings_are_checked() {
    let valid = r#"{"peer":{"secret":"s3cret"},"platform":{"addresses":["127.0.0.1:1"]}}"#;
    let settings: Settings = parse("f", valid).unwrap();
    assert!(!format!("{settings:?}").contains("s3cret"));
    let invalid = r#"{"instance":"a.b","operator_key_hashes":["x"],"stream":{"idle_ms":0}}"#;
    let faults = parse::<Settings>("f", invalid).unwrap_err().to_string();
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
