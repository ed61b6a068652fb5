//! Calls of services: idempotency keys, outcomes, and queries between instances about a call.

mod support;

use {
    control::{CallQuery, Command, Event, OwnerStatus},
    serde_json::Value,
    std::time::Duration,
    support::*,
    types::{CallOutcome, CallReply, FailureKind, Refusal, RefusalKind},
    wire::Request,
    yare::parameterized,
};

fn call(operation: &str, headers: &[(&str, &str)]) -> Request {
    let path = format!("/v1/services/travel/{operation}");
    request("POST", &path, headers, "{\"seat\":1}")
}

/// Guards against a key that could address the table row of another account or call.
#[tokio::test]
async fn invalid_idempotency_keys_are_rejected() {
    let fixture = Fixture::new();
    fixture.read_listing().await;
    let long = "k".repeat(129);
    for key in ["", "a/b", "a b", &long] {
        let headers = [KEY, ("idempotency-key", key)];
        let call = call("book", &headers);
        fixture.expect_fault(call, 400, "invalid_key").await;
    }
}

fn refused(kind: RefusalKind) -> CallOutcome {
    let retry_after = Duration::from_secs(3);
    CallOutcome::NotRun(Refusal { kind, retry_after })
}

fn reply() -> CallReply {
    reply_with(201)
}

fn reply_with(status: u16) -> CallReply {
    CallReply {
        body: "{\"seat\":1}".into(),
        status,
    }
}

/// Guards against outcomes that a caller cannot tell apart, against a refusal that hides that earlier submissions may
/// have run, because the record of the key was not read, and against a record with an invalid status that is answered
/// as a success.
#[parameterized(
    invalid_status = { CallOutcome::Ran(reply_with(0)), 502, Some("ran"), "" },
    invalid_status_above_599 = { CallOutcome::Ran(reply_with(999)), 502, Some("ran"), "" },
    mismatch = { CallOutcome::KeyMismatch, 422, None, "" },
    not_run = { refused(RefusalKind::Limit), 503, Some("not_run"), "" },
    ran = { CallOutcome::Ran(reply()), 201, Some("ran"), "" },
    store_down = { refused(RefusalKind::StoreUnavailable), 503, Some("not_run"), "unknown" },
    unknown = { CallOutcome::Unknown, 502, Some("unknown"), "" },
)]
#[test_macro(tokio::test)]
async fn each_outcome_has_its_own_status_and_headers(
    outcome: CallOutcome,
    status: u16,
    header: Option<&str>,
    earlier: &str,
) {
    let fixture = Fixture::new();
    fixture.read_listing().await;
    let headers = [KEY, ("idempotency-key", "k")];
    let response = tokio::spawn(fixture.send(call("book", &headers)));
    let request = fixture.submitted_call().await;
    fixture
        .app
        .execute(Command::AnswerCall { outcome, request });
    let response = response.await.unwrap();
    assert_eq!(response.status(), status);
    let reported = response.headers().get("x-outcome");
    assert_eq!(reported.and_then(|value| value.to_str().ok()), header);
    assert_eq!(
        response.headers().contains_key("retry-after"),
        header == Some("not_run")
    );
    let body: Value = serde_json::from_str(&read_all(response).await).unwrap();
    let reported = body["error"].get("earlier_submissions");
    assert_eq!(
        reported.and_then(Value::as_str).unwrap_or_default(),
        earlier
    );
    assert_eq!(reported.is_some(), !earlier.is_empty());
}

/// Guards against reporting that a key has never run, because the service is no longer listed.
#[parameterized(
    with_key = { &[KEY, ("idempotency-key", "k")], true },
    without_key = { &[KEY], false },
)]
#[test_macro(tokio::test)]
async fn an_unlisted_service_reports_earlier_submissions_as_unknown(
    headers: &[(&str, &str)],
    is_reported: bool,
) {
    let fixture = Fixture::new();
    fixture.read_listing().await;
    let call = request("POST", "/v1/services/absent/y", headers, "");
    let response = fixture.send(call).await;
    assert_eq!(response.headers()["x-outcome"], "not_run");
    let text = read_all(response).await;
    assert_eq!(
        text.contains("\"earlier_submissions\":\"unknown\""),
        is_reported,
        "{text}"
    );
}

/// Guards against a reply or failure that is not reported to the node, because the caller has
/// disconnected or has been answered `unknown`.
#[tokio::test]
async fn a_dispatched_call_is_reported_after_its_caller_disconnects() {
    let fixture = Fixture::new();
    fixture.read_listing().await;
    let headers = [KEY, ("idempotency-key", "k")];
    let response = tokio::spawn(fixture.send(call("book", &headers)));
    let request = fixture.submitted_call().await;
    response.abort();
    let gone = Event::CallerGone {
        request: request.clone(),
    };
    assert_eq!(fixture.event().await, gone);
    let replies = [Ok(reply()), Err(FailureKind::Broken)];
    fixture.targets.replies.lock().unwrap().extend(replies);
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

/// Guards against a peer that confuses a query about a key with one about a claim, and against an
/// answer that is not attributed to that peer.
#[parameterized(
    key = { CallQuery::Key { body_hash: "h".into(), key: "call/lagoon/k".into() }, "b", OwnerStatus::Running },
    lost_peer = { CallQuery::Nonce("n".into()), "z", OwnerStatus::NoReply },
    nonce = { CallQuery::Nonce("n".into()), "b", OwnerStatus::UnknownClaim },
)]
#[test_macro(tokio::test)]
async fn call_queries_reach_the_named_peer(query: CallQuery, owner: &str, status: OwnerStatus) {
    let network = Network::default();
    let (requester, _upstream) = (Fixture::on(&network, "a"), Fixture::on(&network, "b"));
    requester.app.execute(Command::AskOwner {
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
    assert_eq!(requester.event().await, answer);
}
