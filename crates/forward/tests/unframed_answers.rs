//! Guards against answers that end with their connection, without length or chunks: one that was interrupted
//! must not look complete, and a complete one must reach its caller.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    catalog::RepeatPolicy,
    std::{sync::Arc, time::Duration},
    support::{CallerRequest, TestTarget, raw_target::raw_target, setup},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        sync::Notify,
        time::{sleep, timeout},
    },
    wire::hyper::StatusCode,
    yare::parameterized,
};

/// Time between the bytes of an answer and the reset of its connection, so that the bytes arrive first.
const RESET_DELAY: Duration = Duration::from_millis(50);

/// Time within which a target receives a request, unless the request goes to another one.
const BEGIN_LIMIT: Duration = Duration::from_millis(500);

/// How a target ends a connection.
#[derive(Clone, Copy, Eq, PartialEq)]
enum End {
    Closed,
    Reset,
}

/// Target that sends a head without length or chunks and `body`, and then ends the connection.
async fn unframed_target(body: &'static str, end: End) -> TestTarget {
    raw_target(move |mut stream| async move {
        // The request is short enough to arrive in a single read.
        let _ = stream.read(&mut [0; 4_096]).await;
        let head = "HTTP/1.1 200 OK\r\nx-id: id1\r\nx-signature: s\r\n\r\n";
        let _ = stream.write_all(head.as_bytes()).await;
        let _ = stream.write_all(body.as_bytes()).await;
        if end == End::Reset {
            sleep(RESET_DELAY).await;
            stream.set_zero_linger().unwrap();
        }
    })
    .await
}

/// Sends a request to a target that is killed after it has sent `body`, and to `others` if it is sent again. Returns
/// the body if the answer was complete.
async fn send_to_killed(
    repeat: RepeatPolicy,
    body: &'static str,
    others: &[&TestTarget],
) -> Option<String> {
    let (begun, killed) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (has_begun, is_killed) = (begun.clone(), killed.clone());
    let target = raw_target(move |mut stream| {
        let (has_begun, is_killed) = (has_begun.clone(), is_killed.clone());
        async move {
            let _ = stream.read(&mut [0; 4_096]).await;
            let head = "HTTP/1.1 200 OK\r\nx-id: id1\r\nx-signature: s\r\n\r\n";
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = stream.write_all(body.as_bytes()).await;
            has_begun.notify_one();
            is_killed.notified().await;
        }
    })
    .await;
    let mut targets = vec![&target];
    targets.extend(others);
    let router = setup(repeat, &targets).start().await;
    let call = tokio::spawn(async move { router.send(CallerRequest::default()).await });
    if timeout(BEGIN_LIMIT, begun.notified()).await.is_ok() {
        drop(target);
        // The listener ends in a task of its own.
        sleep(RESET_DELAY).await;
        killed.notify_one();
    }
    let (status, _, body) = call.await.unwrap();
    let body = body.ok().filter(|_| status == StatusCode::OK)?;
    Some(String::from_utf8(body.to_vec()).unwrap())
}

/// Sends a request to a router with these targets. Returns the body if the answer was complete.
async fn send(repeat: RepeatPolicy, targets: &[&TestTarget]) -> Option<String> {
    let router = setup(repeat, targets).start().await;
    let (status, _, body) = router.send(CallerRequest::default()).await;
    let body = body.ok().filter(|_| status == StatusCode::OK)?;
    Some(String::from_utf8(body.to_vec()).unwrap())
}

#[parameterized(
    plain = { RepeatPolicy::Once, "sound" },
    empty = { RepeatPolicy::Once, "" },
    one_event = { RepeatPolicy::Stream, "id: 1\ndata: x\n\n" },
    several_events = { RepeatPolicy::ResumableStream, "id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn complete_answer_is_delivered(repeat: RepeatPolicy, body: &'static str) {
    let target = unframed_target(body, End::Closed).await;
    assert_eq!(send(repeat, &[&target]).await.as_deref(), Some(body));
}

#[parameterized(
    reset = { RepeatPolicy::Once, "sound", End::Reset },
    stream_reset = { RepeatPolicy::Stream, "id: 1\ndata: x\n\n", End::Reset },
    inside_an_event = { RepeatPolicy::Stream, "id: 1\ndata: x\n\nid: 2\nda", End::Closed },
    before_the_blank_line = { RepeatPolicy::Stream, "id: 1\ndata: x\n", End::Closed },
    before_the_first_event = { RepeatPolicy::Stream, "", End::Closed },
)]
#[test_macro(tokio::test)]
async fn interrupted_answer_does_not_look_complete(
    repeat: RepeatPolicy,
    body: &'static str,
    end: End,
) {
    let target = unframed_target(body, end).await;
    assert_eq!(send(repeat, &[&target]).await, None);
}

#[parameterized(
    reset = { "id: 1\ndata: x\n\n", End::Reset },
    inside_an_event = { "id: 1\ndata: x\n\nid: 2\nda", End::Closed },
    before_the_first_event = { "", End::Closed },
)]
#[test_macro(tokio::test)]
async fn interrupted_stream_is_resumed(body: &'static str, end: End) {
    let interrupted = unframed_target(body, end).await;
    let rest = match body {
        "" => "id: 1\ndata: x\n\nid: 2\ndata: y\n\n",
        _ => "id: 2\ndata: y\n\n",
    };
    let other = unframed_target(rest, End::Closed).await;
    let mut has_resumed = false;
    // Either target may be chosen first; the other one needs no retry.
    for _ in 0..20 {
        let answer = send(RepeatPolicy::ResumableStream, &[&interrupted, &other]).await;
        let answer = answer.expect("a complete stream");
        has_resumed |= answer == "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";
        assert!(has_resumed || answer == rest, "{answer:?}");
    }
    assert!(has_resumed);
}

/// Guards against answers that look complete although their target was killed before their end: without a length or
/// chunks, the connection ends as that of a complete answer does.
#[parameterized(
    once = { RepeatPolicy::Once, "half of" },
    repeatable = { RepeatPolicy::Idempotent, "half of" },
    stream = { RepeatPolicy::Stream, "id: 1\ndata: x\n\n" },
    resumable = { RepeatPolicy::ResumableStream, "id: 1\ndata: x\n\n" },
)]
#[test_macro(tokio::test)]
async fn answer_of_a_killed_target_does_not_look_complete(
    repeat: RepeatPolicy,
    body: &'static str,
) {
    assert_eq!(send_to_killed(repeat, body, &[]).await, None);
}

/// Guards against callers that get no answer although another target could have been asked.
#[parameterized(
    repeatable = { RepeatPolicy::Idempotent, "half of", "whole", "whole" },
    resumable = { RepeatPolicy::ResumableStream, "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n", "id: 1\ndata: x\n\nid: 2\ndata: y\n\n" },
)]
#[test_macro(tokio::test)]
async fn request_of_a_killed_target_is_sent_again(
    repeat: RepeatPolicy,
    body: &'static str,
    rest: &'static str,
    whole: &str,
) {
    let other = unframed_target(rest, End::Closed).await;
    let mut answers = Vec::new();
    // Either target may be chosen first.
    for _ in 0..20 {
        let answer = send_to_killed(repeat, body, &[&other]).await;
        answers.push(answer.expect("a complete answer"));
    }
    assert!(
        answers
            .iter()
            .all(|answer| answer == whole || answer == rest),
        "{answers:?}"
    );
    assert!(answers.iter().any(|answer| answer == whole), "{answers:?}");
}

/// Guards against a stream that looks complete although its target closed the connection before the first event. A
/// transfer coding other than chunks does not mark the end of an answer.
#[parameterized(
    chunks_before_another_coding = { "transfer-encoding: chunked, gzip" },
    identity = { "transfer-encoding: identity" },
    length_and_another_coding = { "transfer-encoding: gzip\r\ncontent-length: 0" },
    unknown = { "Transfer-Encoding: x-other" },
)]
#[test_macro(tokio::test)]
async fn transfer_coding_without_chunks_marks_no_end(headers: &'static str) {
    let target = raw_target(move |mut stream| async move {
        let _ = stream.read(&mut [0; 4_096]).await;
        let head = format!("HTTP/1.1 200 OK\r\nx-id: id1\r\nx-signature: s\r\n{headers}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes()).await;
    })
    .await;
    assert_eq!(send(RepeatPolicy::Stream, &[&target]).await, None);
}

/// Guards against a connection that is reused after its answer has ended it.
#[tokio::test]
async fn next_request_gets_its_own_answer() {
    let target = unframed_target("sound", End::Closed).await;
    let router = setup(RepeatPolicy::Once, &[&target]).start().await;
    for _ in 0..5 {
        let (status, _, body) = router.send(CallerRequest::default()).await;
        assert_eq!((status, &*body.unwrap()), (StatusCode::OK, &b"sound"[..]));
    }
}
