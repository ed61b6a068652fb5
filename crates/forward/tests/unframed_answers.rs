//! Guards against answers that end with their connection, without length or chunks: one that was interrupted
//! must not look complete, and a complete one must reach its caller.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    catalog::RepeatPolicy,
    std::time::Duration,
    support::{CallerRequest, TestTarget, raw_target::raw_target, setup},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        time::sleep,
    },
    wire::hyper::StatusCode,
    yare::parameterized,
};

/// Time between the bytes of an answer and the reset of its connection, so that the bytes arrive first.
const RESET_DELAY: Duration = Duration::from_millis(50);

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
