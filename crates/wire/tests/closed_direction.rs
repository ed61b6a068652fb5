//! Guards against requests that are dropped because their caller has closed its sending direction, and against work for
//! callers that have left.

#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

use {
    futures::future::BoxFuture,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
        time::sleep,
    },
    wire::{ClosePolicy, Handler, Limits, Request, Response, hyper::StatusCode, serve, text},
    yare::parameterized,
};

const RUN_TIME: Duration = Duration::from_millis(800);
/// Time after which no work may be done for a caller that has left.
const WORK_LIMIT: Duration = Duration::from_millis(500);
/// Request whose body is not sent to its end.
const PART_OF_REQUEST: &str = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc";
const REQUEST_1_0: &str = "GET / HTTP/1.0\r\nhost: a\r\n\r\n";
const REQUEST_1_1: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const TWO_REQUESTS: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\nGET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Records whether its work was stopped.
#[derive(Default)]
struct Work {
    is_ended: AtomicBool,
}

struct SlowHandler {
    policy: ClosePolicy,
    work: Arc<Work>,
}

/// Records the end of the work when dropped.
struct WorkEnd(Arc<Work>);

impl Drop for WorkEnd {
    fn drop(&mut self) {
        self.0.is_ended.store(true, Ordering::Relaxed);
    }
}

impl Handler for SlowHandler {
    fn close_policy(&self) -> ClosePolicy {
        self.policy
    }

    fn handle(self: Arc<Self>, _request: Request) -> BoxFuture<'static, Response> {
        let end = WorkEnd(self.work.clone());
        Box::pin(async move {
            sleep(RUN_TIME).await;
            drop(end);
            text(StatusCode::OK, "done")
        })
    }
}

async fn connect(policy: ClosePolicy) -> (TcpStream, Arc<Work>, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let work = Arc::new(Work::default());
    let handler = Arc::new(SlowHandler {
        policy,
        work: work.clone(),
    });
    tokio::spawn(serve(listener, handler, Limits::default(), stopped));
    (TcpStream::connect(address).await.unwrap(), work, stop)
}

#[parameterized(
    at_once = { ClosePolicy::EndAtOnce, REQUEST_1_1, 0, 0 },
    after_grace = { ClosePolicy::EndAfterGrace, REQUEST_1_1, 1, 1 },
    after_grace_without_interim_answers = { ClosePolicy::EndAfterGrace, REQUEST_1_0, 0, 0 },
    after_grace_for_each_of_two = { ClosePolicy::EndAfterGrace, TWO_REQUESTS, 2, 1 },
    incomplete = { ClosePolicy::EndAfterGrace, PART_OF_REQUEST, 0, 0 },
    keep = { ClosePolicy::KeepRunning, REQUEST_1_1, 1, 0 },
    keep_without_interim_answers = { ClosePolicy::KeepRunning, REQUEST_1_0, 1, 0 },
)]
#[test_macro(tokio::test)]
async fn callers_that_still_read_are_answered(
    policy: ClosePolicy,
    request: &str,
    answers: usize,
    interim_answers: usize,
) {
    let (mut stream, _work, _stop) = connect(policy).await;
    stream.write_all(request.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut received = String::new();
    stream.read_to_string(&mut received).await.unwrap();
    assert_eq!(received.matches("200 OK").count(), answers, "{received}");
    let interim = received.matches("100 Continue").count();
    assert_eq!(interim, interim_answers, "{received}");
}

#[parameterized(
    at_once = { ClosePolicy::EndAtOnce, REQUEST_1_1, true },
    after_grace = { ClosePolicy::EndAfterGrace, REQUEST_1_1, true },
    after_grace_without_interim_answers = { ClosePolicy::EndAfterGrace, REQUEST_1_0, true },
    keep = { ClosePolicy::KeepRunning, REQUEST_1_1, false },
)]
#[test_macro(tokio::test)]
async fn work_for_callers_that_have_left_ends(policy: ClosePolicy, request: &str, ends: bool) {
    let (mut stream, work, _stop) = connect(policy).await;
    stream.write_all(request.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    drop(stream);
    sleep(WORK_LIMIT).await;
    assert_eq!(work.is_ended.load(Ordering::Relaxed), ends);
}
