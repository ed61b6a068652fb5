//! Edits and reads of the accounts and plans by operators.

mod support;

use {
    control::{Command, Event},
    std::time::Duration,
    support::*,
    types::{Change, EditAnswer},
    yare::parameterized,
};

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

/// Guards against answers from which an operator concludes wrongly that an edit was or was not
/// accepted.
#[tokio::test]
async fn edit_answers_map_to_status_and_body() {
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

/// Guards against accounts that no key can authenticate to, and ids that are invalid in paths and
/// row keys.
#[parameterized(
    hash = { "/admin/accounts/x", "{\"plan\":\"large\",\"key_hashes\":[\"key\"]}", &[], 422, "invalid_key_hash" },
    id = { "/admin/plans/a%2Fb", "{}", &[], 400, "invalid_id" },
    json = { "/admin/plans/p", "{\"x\":1}", &[], 400, "malformed" },
    operation = { "/admin/plans/p", "{}", &[("operation-id", "a b")], 400, "invalid_operation_id" },
    version = { "/admin/plans/p", "{}", &[("if-match", "*")], 400, "invalid_version" },
)]
#[test_macro(tokio::test)]
async fn invalid_edits_are_rejected(
    path: &str,
    body: &str,
    headers: &[(&str, &str)],
    status: u16,
    expected: &str,
) {
    let fixture = Fixture::new();
    let headers: Vec<(&str, &str)> = headers.iter().copied().chain([OPERATOR]).collect();
    let request = request("PUT", path, &headers, body);
    fixture.expect_fault(request, status, expected).await;
}

/// Guards against replies without the version that the next edit has to name.
#[tokio::test]
async fn reads_return_the_version_as_etag() {
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
