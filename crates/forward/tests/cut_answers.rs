//! Guards against an answer that looks complete although its target closed the connection in the middle of it, and
//! against a caller that is told "not run", or a second send, after such an answer.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    catalog::RepeatPolicy,
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    support::{
        CallerRequest, LIMIT, TestTarget,
        kept_target::{Script, kept_target, refusal, reply, success},
        raw_target::raw_target,
        setup,
    },
    tokio::io::{AsyncReadExt, AsyncWriteExt},
    yare::parameterized,
};

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: id1\r\nx-signature: s\r\n";
const INTERIM_HEAD: &str = "HTTP/1.1 102 Processing\r\n\r\n";
const PLAIN: &str = "sound body";
/// Length of each event of `STREAM`.
const EVENT_BYTES: usize = STREAM.len() / 2;
const STREAM: &str = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";

/// How a target ends a connection.
#[derive(Clone, Copy, Eq, PartialEq)]
enum End {
    Closed,
    Reset,
}

/// How the end of an answer is marked.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Framing {
    Chunks,
    Connection,
    Length,
}

/// What a caller gets.
#[derive(Debug)]
struct Received {
    body: String,
    is_complete: bool,
    status: u16,
}

fn answer(framing: Framing, body: &str) -> String {
    match framing {
        Framing::Chunks => {
            let (one, other) = body.split_at(body.len() / 2);
            let mut answer = format!("{HEAD}transfer-encoding: chunked\r\n\r\n");
            for chunk in [one, other] {
                if !chunk.is_empty() {
                    answer += &format!("{:x}\r\n{chunk}\r\n", chunk.len());
                }
            }
            answer + "0\r\n\r\n"
        }
        Framing::Connection => format!("{HEAD}\r\n{body}"),
        Framing::Length => format!("{HEAD}content-length: {}\r\n\r\n{body}", body.len()),
    }
}

/// Target that ends the connection of the first request after `cut`, and answers the others with the rest of `body`
/// behind the last event that they name. Two targets share `request_count`.
async fn cutting_target(
    cut: &str,
    (framing, body): (Framing, &'static str),
    end: End,
    request_count: &Arc<AtomicUsize>,
) -> TestTarget {
    let (cut, request_count) = (Arc::<str>::from(cut), request_count.clone());
    raw_target(move |mut stream| {
        let (cut, request_count) = (cut.clone(), request_count.clone());
        async move {
            let mut buffer = [0; 4_096];
            // The request is short enough to arrive in a single read.
            let count = stream.read(&mut buffer).await.unwrap_or_default();
            if count == 0 {
                return;
            }
            if request_count.fetch_add(1, Ordering::Relaxed) == 0 {
                let _ = stream.write_all(cut.as_bytes()).await;
                if end == End::Reset {
                    stream.set_zero_linger().unwrap();
                }
                return;
            }
            let request = String::from_utf8_lossy(&buffer[..count]);
            let mut lines = request.lines();
            let last = lines.find_map(|line| line.strip_prefix("last-event-id: "));
            let sent_count = last.map_or(0, |last| last.parse().unwrap());
            let rest = &body[sent_count * EVENT_BYTES..];
            let _ = stream.write_all(answer(framing, rest).as_bytes()).await;
        }
    })
    .await
}

/// Sends a request to a router with two targets, the first of which answers with `cut` only. Returns what the caller
/// gets and how many requests reached a target.
async fn send(
    repeat: RepeatPolicy,
    cut: &str,
    whole: (Framing, &'static str),
    end: End,
) -> (Received, usize) {
    let count = Arc::default();
    let one = cutting_target(cut, whole, end, &count).await;
    let other = cutting_target(cut, whole, end, &count).await;
    let router = setup(repeat, &[&one, &other]).start().await;
    let mut reply = router.open(CallerRequest::default()).await.unwrap();
    let mut received = Received {
        body: String::new(),
        is_complete: false,
        status: reply.status.as_u16(),
    };
    while let Ok(chunk) = reply.chunk(LIMIT).await {
        let Some(chunk) = chunk else {
            received.is_complete = true;
            break;
        };
        received.body.push_str(std::str::from_utf8(&chunk).unwrap());
    }
    (received, count.load(Ordering::Relaxed))
}

/// Places where an answer is cut: at its start, and in the middle, before the last byte and at the end of each line.
/// Not at each byte, because each case takes local ports that stay in use for a minute.
fn cuts(answer: &str) -> Vec<usize> {
    let mut cuts = vec![0];
    let mut start = 0;
    for line in answer.split_inclusive('\n') {
        let end = start + line.len();
        cuts.extend([start + line.len() / 2, end - 1, end]);
        start = end;
    }
    cuts.retain(|cut| *cut < answer.len());
    cuts.dedup();
    cuts
}

fn head_bytes(answer: &str) -> usize {
    answer.find("\r\n\r\n").unwrap() + 4
}

/// Sends a stream of which the first target sends only `cut`. It must not look complete, and must not be sent again.
async fn assert_interrupted(cut: &str, framing: Framing, end: End) {
    let (received, count) = send(RepeatPolicy::Stream, cut, (framing, STREAM), end).await;
    assert_eq!(count, 1, "{cut:?}: {received:?}");
    if received.status != 200 {
        assert_eq!(received.status, 502, "{cut:?}");
        return;
    }
    assert!(!received.is_complete, "{cut:?}: {received:?}");
    assert!(STREAM.starts_with(&received.body));
    assert_eq!(received.body.len() % EVENT_BYTES, 0, "{received:?}");
}

/// Sends a resumable stream of which the first target sends only `cut`. All events must arrive.
async fn assert_resumed(cut: &str, framing: Framing, end: End) {
    let whole = (framing, STREAM);
    let (received, count) = send(RepeatPolicy::ResumableStream, cut, whole, end).await;
    assert_eq!((received.status, count), (200, 2), "{cut:?}: {received:?}");
    assert!(received.is_complete, "{cut:?}: {received:?}");
    assert_eq!(received.body, STREAM, "{cut:?}");
}

/// Guards against a cut answer that reaches the caller of a plain request, and against a second run of a request
/// that must run once.
#[parameterized(
    chunks = { Framing::Chunks, End::Closed, "" },
    chunks_reset = { Framing::Chunks, End::Reset, "" },
    connection = { Framing::Connection, End::Closed, "" },
    connection_reset = { Framing::Connection, End::Reset, "" },
    interim_head = { Framing::Length, End::Closed, INTERIM_HEAD },
    length = { Framing::Length, End::Closed, "" },
    length_reset = { Framing::Length, End::Reset, "" },
)]
#[test_macro(tokio::test)]
async fn cut_plain_answer_is_a_lost_answer(framing: Framing, end: End, interim: &str) {
    let whole = interim.to_owned() + &answer(framing, PLAIN);
    let visible = match framing {
        Framing::Chunks | Framing::Length => &*whole,
        Framing::Connection => &whole[..head_bytes(&whole)],
    };
    for cut in cuts(visible) {
        let cut = &whole[..cut];
        let (received, count) = send(RepeatPolicy::Once, cut, (framing, PLAIN), end).await;
        assert_eq!((received.status, count), (502, 1), "{cut:?}: {received:?}");
        let (received, count) = send(RepeatPolicy::Idempotent, cut, (framing, PLAIN), end).await;
        assert_eq!((received.status, count), (200, 2), "{cut:?}: {received:?}");
        assert_eq!(received.body, PLAIN);
        assert!(received.is_complete);
    }
}

/// Guards against a failure or a refusal that is accepted before its head is complete, or whose text is cut.
#[parameterized(
    failure = { reply("500 Internal Server Error", "id1", "x-signature: s\r\n", "failed"), true },
    failure_without_signature = { reply("503 Service Unavailable", "id1", "", "failed"), true },
    not_run = { refusal("id1", ""), false },
)]
#[test_macro(tokio::test)]
async fn cut_failure_is_a_lost_answer(whole: String, has_needed_body: bool) {
    let needed = match has_needed_body {
        false => &whole[..head_bytes(&whole)],
        true => &*whole,
    };
    for cut in cuts(needed) {
        let cut = &whole[..cut];
        for repeat in [RepeatPolicy::Once, RepeatPolicy::Stream] {
            let (received, count) = send(repeat, cut, (Framing::Length, STREAM), End::Closed).await;
            assert_eq!((received.status, count), (502, 1), "{cut:?}: {received:?}");
        }
    }
}

/// Guards against a second send of a request whose answer is cut on a kept connection, as if the target had closed an
/// idle connection.
#[tokio::test]
async fn cut_answer_on_a_kept_connection_is_a_lost_answer() {
    let whole = success("id2", PLAIN);
    for cut in cuts(&whole) {
        let cut = whole[..cut].to_owned();
        let target = kept_target(move |ids| match ids.len() {
            1 => Script::at_once(success("id1", PLAIN)),
            _ => Script::at_once(cut.clone()).close(),
        })
        .await;
        let router = setup(RepeatPolicy::Once, &[&target.target]).start().await;
        for (id, status) in [("id1", 200), ("id2", 502)] {
            let request = CallerRequest {
                id,
                ..CallerRequest::default()
            };
            assert_eq!(router.send(request).await.0.as_u16(), status);
        }
        assert_eq!(target.ids(), ["id1", "id2"]);
        // The router opens another connection to see whether the target crashed.
        assert_eq!(target.connections.lock().unwrap()[0], ["id1", "id2"]);
    }
}

/// Guards against a cut stream that looks complete or is not continued.
#[parameterized(
    chunks = { Framing::Chunks, End::Closed },
    chunks_reset = { Framing::Chunks, End::Reset },
    length = { Framing::Length, End::Closed },
    length_reset = { Framing::Length, End::Reset },
)]
#[test_macro(tokio::test)]
async fn cut_stream_is_interrupted(framing: Framing, end: End) {
    let whole = answer(framing, STREAM);
    for cut in cuts(&whole) {
        assert_interrupted(&whole[..cut], framing, end).await;
        assert_resumed(&whole[..cut], framing, end).await;
    }
}

/// Guards against a stream that ends with its connection and looks complete although it was cut in its head, before
/// its first event or within an event.
#[parameterized(
    closed = { End::Closed },
    reset = { End::Reset },
)]
#[test_macro(tokio::test)]
async fn cut_stream_without_a_length_is_interrupted(end: End) {
    let whole = answer(Framing::Connection, STREAM);
    let body_start = head_bytes(&whole);
    for cut in cuts(&whole) {
        if cut == body_start + EVENT_BYTES {
            continue;
        }
        assert_interrupted(&whole[..cut], Framing::Connection, end).await;
        assert_resumed(&whole[..cut], Framing::Connection, end).await;
    }
}

/// Guards against a stream that looks complete because its length or its last chunk is right, although its last event
/// is cut.
#[parameterized(
    chunks = { Framing::Chunks },
    length = { Framing::Length },
)]
#[test_macro(tokio::test)]
async fn stream_that_ends_within_an_event_is_interrupted(framing: Framing) {
    for cut in 0..STREAM.len() {
        if cut % EVENT_BYTES == 0 {
            continue;
        }
        let cut = answer(framing, &STREAM[..cut]);
        assert_interrupted(&cut, framing, End::Closed).await;
        assert_resumed(&cut, framing, End::Closed).await;
    }
}
