//! Guards against replies that a faulty target writes on a kept connection although they belong to an earlier
//! request: they arrive before the reply to the request that is sent there next.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    catalog::RepeatPolicy,
    layout::LayerRange,
    std::{sync::Arc, time::Duration},
    support::{
        CallerRequest, Setup, TestRouter,
        kept_target::{KeptTarget, Script, kept_target, refusal, reply, success},
        setup,
    },
    yare::parameterized,
};

/// Time that a target takes to run a request.
const RUN_TIME: Duration = Duration::from_millis(50);

/// Sends a request. Returns the status and the body of the answer.
async fn send(router: &TestRouter, id: &'static str) -> (u16, String) {
    let request = CallerRequest {
        id,
        method: "POST",
        ..CallerRequest::default()
    };
    let (status, _, body) = router.send(request).await;
    let body = body.unwrap_or_default();
    (status.as_u16(), String::from_utf8_lossy(&body).into())
}

/// Target that refuses the first request of each connection, and runs the others. It writes `copy` before the
/// reply to the second one.
async fn repeating_target(copy: impl Fn(&str) -> String + Send + Sync + 'static) -> KeptTarget {
    let copy = Arc::new(copy);
    kept_target(move |ids| {
        let own = ids.last().unwrap();
        match ids.len() {
            1 => Script::at_once(refusal(own, "")),
            2 => Script::at_once(copy(&ids[0])).then(RUN_TIME, success(own, own)),
            _ => Script::at_once(success(own, own)),
        }
    })
    .await
}

/// Router without retries, so that each request reaches a target once.
async fn start(target: &KeptTarget, repeat: RepeatPolicy) -> TestRouter {
    let setup = Setup {
        attempt_count: 1,
        ..setup(repeat, &[&target.target])
    };
    setup.start().await
}

fn chunked(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nx-id: {id}\r\nx-not-run: 1\r\ntransfer-encoding: chunked\r\n\r\n\
         4;x=y\r\nfull\r\n0\r\nx-trailer: 1\r\n\r\n"
    )
}

/// Guards against a caller that is told "not run" for a request that runs. A target wrote its refusal of an
/// earlier request once more, on the connection on which the next request was sent.
#[parameterized(
    plain_refusal = { |first| refusal(first, "") },
    refusal_in_chunks = { chunked },
    refusal_without_id = { |_| refusal("", "") },
    refusal_of_an_unknown_request = { |_| refusal("unknown", "") },
    two_refusals = { |first| refusal(first, "").repeat(2) },
    refusal_after_an_interim_head = { |first| format!("HTTP/1.1 102 Processing\r\n\r\n{}", refusal(first, "")) },
    success_of_another = { |first| success(first, "another's") },
    failure_of_another = { |first| reply("500 Internal Server Error", first, "x-signature: s\r\n", "no") },
    no_body = { |first| format!("HTTP/1.1 204 No Content\r\nx-id: {first}\r\nx-not-run: 1\r\n\r\n") },
)]
#[test_macro(tokio::test)]
async fn repeated_refusal_is_not_taken_for_that_of_the_next_request(copy: fn(&str) -> String) {
    let target = repeating_target(copy).await;
    let router = start(&target, RepeatPolicy::Once).await;
    assert_eq!(send(&router, "id1").await.0, 503);
    for id in ["id2", "id3", "id4"] {
        assert_eq!(send(&router, id).await, (200, id.to_owned()));
    }
    assert_eq!(target.ids(), ["id1", "id2", "id3", "id4"]);
}

/// Guards against an answer that is lost because a copy of an earlier reply arrives in the same packet as the
/// end of the reply before.
#[tokio::test]
async fn copy_behind_a_complete_reply_reaches_no_caller() {
    let target = kept_target(|ids| {
        let own = ids.last().unwrap();
        let copy = if ids.len() == 1 {
            refusal(own, "")
        } else {
            String::new()
        };
        Script::at_once(success(own, own) + &copy)
    })
    .await;
    let router = start(&target, RepeatPolicy::Once).await;
    for id in ["id1", "id2", "id3"] {
        assert_eq!(send(&router, id).await, (200, id.to_owned()));
    }
}

/// Guards against an answer to another request that is believed where connections cannot tell answers apart, because
/// targets do not repeat the header that they compare.
#[parameterized(
    other_id = { "x-id: id0\r\n" },
    no_id = { "" },
)]
#[test_macro(tokio::test)]
async fn answer_is_believed_only_with_the_id_of_the_request(ids: &'static str) {
    let target = kept_target(move |_| Script::at_once(refusal("", ids))).await;
    let router = Setup {
        attempt_count: 1,
        id_header: "x-unused",
        ..setup(RepeatPolicy::Once, &[&target.target])
    };
    assert_eq!(send(&router.start().await, "id1").await.0, 502);
}

/// Guards against state of a target that is taken from a reply to another request: that it is leaving, asks for a
/// pause, limits its requests, or that a target on the path failed.
#[parameterized(
    leaving_target = { "x-leaving: 1\r\n" },
    paused_target = { "x-return-after-ms: 60000\r\n" },
    limited_target = { "x-rate-limit: 0.001\r\n" },
)]
#[test_macro(tokio::test)]
async fn reply_to_another_request_changes_nothing_about_the_target(announced: &'static str) {
    let target = repeating_target(move |first| refusal(first, announced)).await;
    let router = start(&target, RepeatPolicy::Once).await;
    assert_eq!(send(&router, "id1").await.0, 503);
    for id in ["id2", "id3", "id4"] {
        assert_eq!(send(&router, id).await, (200, id.to_owned()));
    }
}

/// Guards against an engine that is avoided because a reply to another request names it as the one that failed.
#[tokio::test]
async fn reply_to_another_request_blames_no_engine() {
    let later = kept_target(|_| Script::default()).await;
    let address = later.target.address;
    let first =
        repeating_target(move |first| refusal(first, &format!("x-fault-at: {address}\r\n"))).await;
    let setup = Setup {
        attempt_count: 1,
        held: vec![
            LayerRange { start: 0, end: 4 },
            LayerRange { start: 4, end: 8 },
        ],
        ..setup(RepeatPolicy::Once, &[&first.target, &later.target])
    };
    let router = setup.start().await;
    assert_eq!(send(&router, "id1").await.0, 503);
    for id in ["id2", "id3", "id4"] {
        assert_eq!(send(&router, id).await, (200, id.to_owned()));
    }
}

/// Guards against a caller that is told "not run" after a reply to another request and no further one: the
/// request may have run.
#[parameterized(
    once = { RepeatPolicy::Once, 502 },
    idempotent = { RepeatPolicy::Idempotent, 502 },
)]
#[test_macro(tokio::test)]
async fn connection_that_ends_behind_a_copy_promises_nothing(repeat: RepeatPolicy, status: u16) {
    let target = kept_target(|ids| match ids.len() {
        1 => Script::at_once(refusal(&ids[0], "")),
        _ => Script::at_once(refusal(&ids[0], "")).close(),
    })
    .await;
    let router = start(&target, repeat).await;
    assert_eq!(send(&router, "id1").await.0, 503);
    assert_eq!(send(&router, "id2").await.0, status);
}

/// Guards against a caller that is told "not run" because its request meets a copy of its own refusal. The caller
/// sent the refused request again under the same id, and the target runs it this time.
#[tokio::test]
async fn request_is_not_sent_again_on_the_connection_of_its_refusal() {
    let target = repeating_target(|first| refusal(first, "")).await;
    let router = start(&target, RepeatPolicy::Once).await;
    for _ in 0..3 {
        assert_eq!(send(&router, "id1").await.0, 503);
    }
    assert_eq!(
        *target.connections.lock().unwrap(),
        [["id1"], ["id1"], ["id1"]]
    );
}

/// Guards against requests that reach the former process of a target which was restarted under its id: its
/// connections stayed in use as long as it answered.
#[parameterized(
    other_address = { true },
    same_address = { false },
)]
#[test_macro(tokio::test)]
async fn restarted_target_gets_requests_on_new_connections(moves: bool) {
    let answer = |ids: &[String]| Script::at_once(success(ids.last().unwrap(), "sound"));
    let (former, restarted) = (kept_target(answer).await, kept_target(answer).await);
    let router = start(&former, RepeatPolicy::Once).await;
    assert_eq!(send(&router, "id1").await.0, 200);
    let mut listing = setup(RepeatPolicy::Once, &[&former.target]).listing();
    listing[0].incarnation += 1;
    if moves {
        listing[0].address = restarted.target.address;
    }
    router.router.set_targets(&listing);
    assert_eq!(send(&router, "id2").await.0, 200);
    let expected: &[&[&str]] = if moves {
        &[&["id1"]]
    } else {
        &[&["id1"], &["id2"]]
    };
    assert_eq!(*former.connections.lock().unwrap(), expected);
}
