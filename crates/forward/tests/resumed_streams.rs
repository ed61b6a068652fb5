//! Guards against streams in which another target continues and the caller gets something else than the missing
//! events, or takes an interrupted stream for a complete one.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    catalog::RepeatPolicy,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    support::{
        CallerRequest, LIMIT, Setup, TestTarget, kept_target::reply, raw_target::raw_target, setup,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        sync::Notify,
    },
    yare::parameterized,
};

/// Time after a caller has left within which its target must be left too.
const LEAVING_TIME: Duration = Duration::from_millis(500);

/// Targets that close the connection of a request after one of several answers. The first request that
/// reaches any of them gets the first answer.
async fn targets(answers: &[String]) -> Vec<TestTarget> {
    let count = Arc::new(AtomicUsize::new(0));
    let answers: Arc<[String]> = answers.into();
    let mut targets = Vec::new();
    for _ in answers.iter() {
        let (answers, count) = (answers.clone(), count.clone());
        let target = raw_target(move |mut stream| {
            let (answers, count) = (answers.clone(), count.clone());
            async move {
                // The request is short enough to arrive in a single read.
                if stream.read(&mut [0; 4_096]).await.unwrap_or_default() == 0 {
                    return;
                }
                let index = count.fetch_add(1, Ordering::Relaxed);
                let answer = answers.get(index).map_or("", String::as_str);
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        });
        targets.push(target.await);
    }
    targets
}

/// Part of a stream that reached the caller, and whether the stream looked complete.
async fn receive(repeat: RepeatPolicy, answers: &[String]) -> (String, bool) {
    receive_for(CallerRequest::default(), repeat, answers).await
}

async fn receive_for(
    request: CallerRequest,
    repeat: RepeatPolicy,
    answers: &[String],
) -> (String, bool) {
    let targets = targets(answers).await;
    let setup = Setup {
        attempt_count: u32::try_from(answers.len()).unwrap(),
        ..setup(repeat, &targets.iter().collect::<Vec<_>>())
    };
    let router = setup.start().await;
    let mut reply = router.open(request).await.unwrap();
    assert_eq!(reply.status.as_u16(), 200);
    let mut received = String::new();
    loop {
        match reply.chunk(LIMIT).await {
            Err(_) => return (received, false),
            Ok(None) => return (received, true),
            Ok(Some(chunk)) => received.push_str(std::str::from_utf8(&chunk).unwrap()),
        }
    }
}

fn event(id: u32) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

fn events(ids: std::ops::Range<u32>) -> String {
    ids.map(event).collect()
}

/// Answer without a length or chunks.
fn unframed(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nx-id: id1\r\nx-signature: s\r\n\r\n{body}")
}

/// Answer with a length.
fn framed(body: &str) -> String {
    let headers = "x-signature: s\r\ncontent-type: text/event-stream\r\n";
    reply("200 OK", "id1", headers, body)
}

fn signed(kind: &str, body: &str) -> String {
    let headers = format!("x-signature: s\r\ncontent-type: {kind}\r\n");
    reply("200 OK", "id1", &headers, body)
}

/// Guards against a stream that looks complete although the target that resumed it closed the connection before
/// its first event. An answer without a length or chunks does not show that it was interrupted there.
#[tokio::test]
async fn resumed_stream_without_an_event_or_an_end_is_resumed_again() {
    let interrupted = unframed(&(events(0..2) + "id: 2\nda"));
    let answers = [interrupted, unframed(""), unframed(&events(2..4))];
    for (answers, expected) in [
        (&answers[..], (events(0..4), true)),
        (&answers[..2], (events(0..2), false)),
    ] {
        let received = receive(RepeatPolicy::ResumableStream, answers).await;
        assert_eq!(received, expected);
    }
}

/// Guards against an interruption of a stream whose last event was delivered before: its target was lost between
/// that event and the end, and the next one has nothing left to send.
#[tokio::test]
async fn resumed_stream_with_nothing_left_is_complete() {
    let interrupted = unframed(&(events(0..2) + "id: 2\nda"));
    let received = receive(RepeatPolicy::ResumableStream, &[interrupted, framed("")]).await;
    assert_eq!(received, (events(0..2), true));
}

/// Guards against the text of an error in the middle of a stream, and against an error that ends the stream as if
/// it were complete. The target that should resume the stream answers with something else than events.
#[parameterized(
    empty_page = { signed("text/html", "") },
    error_of_the_target = { reply("500 Internal Server Error", "id1", "x-signature: s\r\n", "no\n\n") },
    json = { signed("application/json", "{\"error\":\"no memory\"}\n\n") },
    no_content = { "HTTP/1.1 204 No Content\r\nx-id: id1\r\nx-signature: s\r\n\r\n".into() },
    not_found = { reply("404 Not Found", "id1", "", "no route\n\n") },
    refusal = { support::kept_target::refusal("id1", "") },
    text = { signed("text/plain", "error: no memory\n\n") },
    text_without_type = { unframed("error: no memory\n\n") },
    unavailable = { reply("503 Service Unavailable", "id1", "", "full\n\n") },
    unsigned = { reply("200 OK", "id1", "", &event(2)) },
)]
#[test_macro(tokio::test)]
async fn answer_without_events_does_not_resume_a_stream(error: String) {
    let interrupted = unframed(&(events(0..2) + "id: 2\nda"));
    let answers = [interrupted, error, unframed(&events(2..4))];
    for (answers, expected) in [
        (&answers[..], (events(0..4), true)),
        (&answers[..2], (events(0..2), false)),
    ] {
        let received = receive(RepeatPolicy::ResumableStream, answers).await;
        assert_eq!(received, expected);
    }
}

/// Copy of an earlier refusal.
const COPY: &str = "HTTP/1.1 503 Service Unavailable\r\nx-id: id0\r\nx-not-run: 1\r\ncontent-length: 4\r\n\r\nfull";

/// Guards against bytes in the middle of a stream that are not events. A target writes a reply to another request
/// or the text of an error behind events of an answer that ends with its connection.
#[parameterized(
    copy = { COPY.into() },
    copy_in_a_comment = { format!(": x{COPY}") },
    copy_in_a_field_name = { format!("id: 2\nda{COPY}") },
    copy_in_a_value = { format!("id: 2\ndata: tok{COPY}") },
    copy_in_an_id = { format!("id: 2{COPY}") },
    copy_of_a_stream = { unframed(&events(2..5)) },
    copy_with_carriage_returns = { format!("id: 2\r\ndata: tok{COPY}") },
    copy_within_an_event = { format!("id: 2\n{COPY}") },
    json = { "{\"error\":\"no memory\"}\n\n".into() },
    text = { "full\n\n".into() },
    text_in_a_field_name = { "id: 2\ndafull\n\n".into() },
    text_like_a_field = { "error: no memory\n\n".into() },
)]
#[test_macro(tokio::test)]
async fn bytes_that_are_not_events_interrupt_a_stream(bytes: String) {
    for interrupted in [unframed, framed] {
        let answers = [
            interrupted(&(events(0..2) + &bytes)),
            unframed(&events(2..4)),
        ];
        let received = receive(RepeatPolicy::ResumableStream, &answers).await;
        assert_eq!(received, (events(0..4), true));
        let received = receive(RepeatPolicy::Stream, &answers).await;
        assert_eq!(received, (events(0..2), false));
    }
}

/// Guards against a stream that looks complete although the target that resumed it sent only a comment before it
/// closed the connection.
#[tokio::test]
async fn comment_is_not_taken_for_an_event() {
    let interrupted = unframed(&(events(0..2) + "id: 2\nda"));
    let answers = [interrupted, unframed(": ping\n\n")];
    let received = receive(RepeatPolicy::ResumableStream, &answers).await;
    assert_eq!(received, (events(0..2) + ": ping\n\n", false));
}

/// Guards against events that reach a caller twice: a target ignores the id of the last event and starts from the
/// first one, or writes an event once more.
#[parameterized(
    all_events = { events(0..4) },
    last_event = { events(1..4) },
    older_event = { event(2) + &event(0) },
)]
#[test_macro(tokio::test)]
async fn event_that_was_delivered_is_not_delivered_again(repeated: String) {
    let interrupted = unframed(&(events(0..2) + "id: 2\nda"));
    let first = if repeated.starts_with(&event(2)) {
        3
    } else {
        2
    };
    let answers = [
        interrupted,
        unframed(&repeated),
        unframed(&events(first..4)),
    ];
    let received = receive(RepeatPolicy::ResumableStream, &answers).await;
    assert_eq!(received, (events(0..4), true));
    let received = receive(RepeatPolicy::ResumableStream, &answers[..2]).await;
    assert_eq!(received, (events(0..first), false));
}

/// Guards against a stream that is interrupted because the ids of its events are not numbers.
#[tokio::test]
async fn ids_that_are_not_numbers_need_no_order() {
    let body = "id: b\ndata: x\n\nid: a\ndata: y\n\nid: 7\ndata: z\n\nid: a-1\ndata: z\n\n";
    let answers = [unframed(body)];
    let received = receive(RepeatPolicy::ResumableStream, &answers).await;
    assert_eq!(received, (body.to_owned(), true));
}

/// Guards against events that reach a caller twice when it resumes a stream by itself and the target ignores the
/// id of the last event.
#[tokio::test]
async fn event_that_the_caller_has_is_not_delivered_again() {
    let answers = [unframed(&events(0..4)), unframed(&events(2..4))];
    for (repeat, expected) in [
        (RepeatPolicy::ResumableStream, events(2..4)),
        (RepeatPolicy::Stream, events(0..4)),
    ] {
        let mut request = CallerRequest::default();
        request.headers.push(("last-event-id", "1"));
        let received = receive_for(request, repeat, &answers).await;
        assert_eq!(received, (expected, true));
    }
}

/// Guards against bytes in the middle of a stream that are neither chunks nor events.
#[parameterized(
    between_chunks = { COPY.to_owned() },
    within_a_chunk = { format!("1000\r\nid: 2\ndata: tok{COPY}") },
    within_a_chunk_size = { format!("10{COPY}") },
)]
#[test_macro(tokio::test)]
async fn copy_in_chunks_interrupts_a_stream(bytes: String) {
    let part = events(0..2);
    let head =
        "HTTP/1.1 200 OK\r\nx-id: id1\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("{:x}\r\n{part}\r\n", part.len());
    let answers = [format!("{head}{chunk}{bytes}"), unframed(&events(2..4))];
    let received = receive(RepeatPolicy::ResumableStream, &answers).await;
    assert_eq!(received, (events(0..4), true));
    let received = receive(RepeatPolicy::Stream, &answers).await;
    assert_eq!(received, (part, false));
}

/// Guards against a silent stream that is abandoned for a target that answers with an error, although the first one
/// continues.
#[tokio::test]
async fn silent_stream_is_not_abandoned_for_an_error() {
    let (count, answered) = (Arc::new(AtomicUsize::new(0)), Arc::new(Notify::new()));
    let mut targets = Vec::new();
    for _ in 0..2 {
        let (count, answered) = (count.clone(), answered.clone());
        let target = raw_target(move |mut stream| {
            let (count, answered) = (count.clone(), answered.clone());
            async move {
                if stream.read(&mut [0; 4_096]).await.unwrap_or_default() == 0 {
                    return;
                }
                if count.fetch_add(1, Ordering::Relaxed) > 0 {
                    let error = reply("500 Internal Server Error", "id1", "", "no\n\n");
                    stream.write_all(error.as_bytes()).await.unwrap();
                    answered.notify_one();
                    return;
                }
                let part = unframed(&events(0..2));
                stream.write_all(part.as_bytes()).await.unwrap();
                answered.notified().await;
                let rest = events(2..4);
                stream.write_all(rest.as_bytes()).await.unwrap();
            }
        });
        targets.push(target.await);
    }
    let router = setup(RepeatPolicy::ResumableStream, &[&targets[0], &targets[1]]);
    let (_, _, body) = router.start().await.send(CallerRequest::default()).await;
    assert_eq!(body.unwrap(), events(0..4));
    assert_eq!(count.load(Ordering::Relaxed), 2);
}

/// Guards against an engine that goes on working for a caller who has left: a stream that was to be resumed did not
/// notice that while it waited for the answer of the other target.
#[tokio::test]
async fn target_that_is_to_resume_a_stream_is_left_with_the_caller() {
    let count = Arc::new(AtomicUsize::new(0));
    let (resumed, left) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let mut targets = Vec::new();
    for _ in 0..2 {
        let (count, resumed, left) = (count.clone(), resumed.clone(), left.clone());
        let target = raw_target(move |mut stream| {
            let (count, resumed, left) = (count.clone(), resumed.clone(), left.clone());
            async move {
                if stream.read(&mut [0; 4_096]).await.unwrap_or_default() == 0 {
                    return;
                }
                if count.fetch_add(1, Ordering::Relaxed) == 0 {
                    let interrupted = unframed(&(events(0..2) + "id: 2\nda"));
                    let _ = stream.write_all(interrupted.as_bytes()).await;
                    return;
                }
                resumed.notify_one();
                // Returns when the router closes the connection.
                let _ = stream.read(&mut [0; 16]).await;
                left.notify_one();
            }
        });
        targets.push(target.await);
    }
    let setup = setup(
        RepeatPolicy::ResumableStream,
        &targets.iter().collect::<Vec<_>>(),
    );
    let router = setup.start().await;
    let mut reply = router.open(CallerRequest::default()).await.unwrap();
    reply.chunk(LIMIT).await.unwrap();
    resumed.notified().await;
    drop(reply);
    let time = tokio::time::timeout(LEAVING_TIME, left.notified());
    assert!(time.await.is_ok(), "the target still has the request");
}
