//! Guards against streams with missing, repeated or partial events, and against streams that stay on
//! engines that have failed.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    bytes::Bytes,
    catalog::RepeatPolicy,
    fleet::SharedLoad,
    forward::EngineState,
    futures::{FutureExt, future::BoxFuture},
    layout::LayerRange,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    support::{CallerRequest, LIMIT, Setup, TestTarget, setup, signed, target},
    tokio::{sync::Notify, time::timeout},
    wire::{BodySender, Request, Response, hyper::StatusCode},
};

fn event(id: u32) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

fn events(ids: std::ops::Range<u32>) -> Bytes {
    ids.map(event).collect::<String>().into()
}

/// Answers with a stream. `write` gets its sender and the id of the first event to send.
fn stream<W, F>(request: &Request, write: W) -> BoxFuture<'static, Response>
where
    W: FnOnce(BodySender, u32) -> F + Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let (sender, response) = wire::stream(StatusCode::OK, "text/event-stream");
    let response = signed(request, response);
    let last = request
        .header("last-event-id")
        .and_then(|id| id.parse::<u32>().ok());
    tokio::spawn(write(sender, last.map_or(0, |last| last + 1)));
    async move { response }.boxed()
}

/// Target whose stream is interrupted in the middle of event 3, and continues to event 9 when resumed.
async fn interrupted_target() -> TestTarget {
    target(|request| {
        stream(request, |sender, first| async move {
            if first > 0 {
                sender.send(events(first..10)).await;
                return;
            }
            sender.send(events(0..3)).await;
            sender.send(event(3)[..7].to_owned()).await;
            sender.disconnect().await;
        })
    })
    .await
}

#[tokio::test]
async fn stream_that_breaks_off_is_resumed_after_the_last_whole_event() {
    let (one, other) = (interrupted_target().await, interrupted_target().await);
    let router = setup(RepeatPolicy::ResumableStream, &[&one, &other])
        .start()
        .await;
    let (status, headers, body) = router.send(CallerRequest::default()).await;
    assert_eq!(status, StatusCode::OK);
    assert!(headers.contains_key("x-signature"));
    assert_eq!(body.unwrap(), events(0..10));
    assert_eq!(one.ids().len() + other.ids().len(), 2);
}

#[tokio::test]
async fn stream_that_must_not_be_repeated_ends_incomplete() {
    let (one, other) = (interrupted_target().await, interrupted_target().await);
    let router = setup(RepeatPolicy::Stream, &[&one, &other]).start().await;
    let (status, _, body) = router.send(CallerRequest::default()).await;
    assert_eq!(status, StatusCode::OK);
    assert!(body.is_err(), "an interrupted stream looks complete");
    assert_eq!(one.ids().len() + other.ids().len(), 1);
}

#[tokio::test]
async fn stream_that_ends_inside_an_event_is_not_complete() {
    let one = target(|request| {
        stream(request, |sender, _| async move {
            sender.send(events(0..2)).await;
            sender.send("id: 2\nda").await;
        })
    })
    .await;
    let router = setup(RepeatPolicy::Stream, &[&one]).start().await;
    let (_, _, body) = router.send(CallerRequest::default()).await;
    assert!(body.is_err());
}

#[tokio::test]
async fn caller_that_leaves_frees_the_target() {
    let left = Arc::new(Notify::new());
    let seen = left.clone();
    let one = target(move |request| {
        let left = left.clone();
        stream(request, |sender, _| async move {
            sender.send(events(0..1)).await;
            sender.closed().await;
            left.notify_one();
        })
    })
    .await;
    let router = setup(RepeatPolicy::ResumableStream, &[&one]).start().await;
    let mut reply = router.open(CallerRequest::default()).await.unwrap();
    assert_eq!(reply.chunk(LIMIT).await.unwrap(), Some(events(0..1)));
    drop(reply);
    timeout(LIMIT, seen.notified())
        .await
        .expect("the target was not notified that the caller left");
}

/// Target that sends three complete events and then `piece` again and again until the connection is
/// closed. A stream that is resumed there continues to event 9.
async fn partial_event_target(piece: Bytes, pause: Duration, sent: Arc<AtomicUsize>) -> TestTarget {
    target(move |request| {
        let (piece, sent) = (piece.clone(), sent.clone());
        stream(request, move |sender, first| async move {
            if first > 0 {
                sender.send(events(first..10)).await;
                return;
            }
            sender.send(events(0..3)).await;
            while sender.send(piece.clone()).await {
                sent.fetch_add(piece.len(), Ordering::Relaxed);
                tokio::time::sleep(pause).await;
            }
        })
    })
    .await
}

/// Guards against a faulty target that fills the memory of the instance with endless bytes that complete no
/// event.
#[tokio::test]
async fn event_without_an_end_is_not_kept_in_memory() {
    let sent = Arc::new(AtomicUsize::new(0));
    let piece = Bytes::from(vec![b'x'; 64 * 1024]);
    let one = partial_event_target(piece.clone(), Duration::ZERO, sent.clone()).await;
    let other = partial_event_target(piece, Duration::ZERO, sent.clone()).await;
    let router = setup(RepeatPolicy::ResumableStream, &[&one, &other])
        .start()
        .await;
    let (_, _, body) = router.send(CallerRequest::default()).await;
    assert_eq!(body.unwrap(), events(0..10));
    // The socket buffers hold bytes in addition to what the router buffers.
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < 16 * 1024 * 1024, "{sent} bytes were accepted");
}

/// Guards against a stalled stream that is never resumed because each byte of the target counts as activity.
#[tokio::test]
async fn stalled_stream_that_sends_occasional_bytes_is_resumed_elsewhere() {
    let sent = Arc::default();
    let pause = Duration::from_millis(50);
    let one = partial_event_target(Bytes::from_static(b"x"), pause, Arc::clone(&sent)).await;
    let other = partial_event_target(Bytes::from_static(b"x"), pause, sent).await;
    let router = setup(RepeatPolicy::ResumableStream, &[&one, &other])
        .start()
        .await;
    let (_, _, body) = router.send(CallerRequest::default()).await;
    assert_eq!(body.unwrap(), events(0..10));
}

/// Target whose stream pauses after the second of five events.
async fn pausing_target(pause: Duration) -> TestTarget {
    target(move |request| {
        stream(request, move |sender, _| async move {
            sender.send(events(0..2)).await;
            tokio::time::sleep(pause).await;
            sender.send(events(2..5)).await;
        })
    })
    .await
}

fn range(start: u32, end: u32) -> LayerRange {
    LayerRange::new(start, end).unwrap()
}

fn state(held: LayerRange, slowness: f64) -> EngineState {
    EngineState {
        held: Some(held),
        slowness,
        ..EngineState::default()
    }
}

/// Router with three engines: one with the first layers, and two with the other layers, of which one is in
/// the local failure domain and one in another.
async fn pipeline(first: &TestTarget) -> support::TestRouter {
    pipeline_setup(first).start().await
}

fn pipeline_setup(first: &TestTarget) -> Setup {
    let layers = [range(0, 4), range(4, 8), range(4, 8)];
    let setup = Setup {
        domains: vec!["a", "a", "b"],
        held: layers.to_vec(),
        repeat: RepeatPolicy::ResumableStream,
        targets: vec![
            first.address,
            ([127, 0, 0, 2], 1).into(),
            ([127, 0, 0, 3], 1).into(),
        ],
        ..Setup::default()
    };
    let settings = forward::ForwardSettings {
        local_domain: "a".into(),
        ..support::settings()
    };
    Setup { settings, ..setup }
}

#[yare::parameterized(
    lost = { None },
    slow = { Some(12.0) },
)]
#[test_macro(tokio::test)]
async fn silent_stream_is_rerouted_around_the_failed_stage(slowness: Option<f64>) {
    let moved = Arc::new(Notify::new());
    let go_on = moved.clone();
    let first = target(move |request| {
        let moved = moved.clone();
        stream(request, |sender, _| async move {
            sender.send(events(0..2)).await;
            moved.notified().await;
            sender.send(events(2..5)).await;
        })
    })
    .await;
    let router = pipeline(&first).await;
    {
        let mut states = router.engines.states.lock().unwrap();
        states.insert(first.address, state(range(0, 4), 1.0));
        states.insert(([127, 0, 0, 3], 1).into(), state(range(4, 8), 1.0));
        if let Some(slowness) = slowness {
            states.insert(([127, 0, 0, 2], 1).into(), state(range(4, 8), slowness));
        }
    }
    let engines = router.engines.clone();
    let release = async {
        while engines.moved.lock().unwrap().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        go_on.notify_one();
    };
    let ((_, _, body), ()) = tokio::join!(router.send(CallerRequest::default()), release);
    assert_eq!(body.unwrap(), events(0..5));
    let moved = engines.moved.lock().unwrap();
    assert_eq!(moved[0], ("id1".into(), ([127, 0, 0, 3], 1).into()));
    assert_eq!(first.ids().len(), 1, "moved, not sent again");
}

/// Guards against a part of a prompt that crashes a later stage and is never suspected, because the connection to the
/// first stage goes on.
#[tokio::test]
async fn crash_of_a_later_stage_counts_against_the_parts_of_the_prompt() {
    let first = pausing_target(Duration::from_millis(800)).await;
    let router = pipeline(&first).await;
    {
        let mut states = router.engines.states.lock().unwrap();
        states.insert(first.address, state(range(0, 4), 1.0));
        states.insert(([127, 0, 0, 3], 1).into(), state(range(4, 8), 1.0));
    }
    let mut request = CallerRequest::default();
    request.headers.push(("x-shared-parts", "a1,d1"));
    let (_, _, body) = router.send(request).await;
    assert_eq!(body.unwrap(), events(0..5));
    let moved = router.engines.moved.lock().unwrap();
    assert_eq!(moved[0], ("id1".into(), ([127, 0, 0, 3], 1).into()));
    let (_, reports) = router.router.prompt_parts().phased_reports(clock::now());
    let crashes = reports
        .iter()
        .map(|report| (&*report.victim.crash, report.victim.parts.len()));
    // The second engine with the later layers still runs.
    assert_eq!(crashes.collect::<Vec<_>>(), [("t1#0", 2)]);
}

#[tokio::test]
async fn no_engine_is_marked_unhealthy_when_none_answers() {
    let first = pausing_target(Duration::from_millis(400)).await;
    let router = pipeline(&first).await;
    let (_, _, body) = router.send(CallerRequest::default()).await;
    assert_eq!(body.unwrap(), events(0..5));
    assert_eq!(router.engines.moved.lock().unwrap().len(), 0);
    assert!(
        router
            .router
            .fleet()
            .engines_to_probe(clock::now())
            .is_empty()
    );
}

/// Guards against ending a stream whose engine is unreachable for a moment and then continues, when no other
/// engine has the layers. Found in a search for faults.
#[tokio::test]
async fn silent_stream_without_another_target_is_not_ended() {
    let first = pausing_target(Duration::from_millis(500)).await;
    let router = Setup {
        held: vec![range(0, 4), range(4, 8)],
        repeat: RepeatPolicy::ResumableStream,
        targets: vec![first.address, ([127, 0, 0, 2], 1).into()],
        ..Setup::default()
    };
    let router = router.start().await;
    {
        let mut states = router.engines.states.lock().unwrap();
        states.insert(first.address, state(range(0, 4), 1.0));
    }
    let (_, _, body) = router.send(CallerRequest::default()).await;
    assert_eq!(body.unwrap(), events(0..5));
    assert_eq!(first.ids().len(), 1);
}

/// Guards against moving a stream whose caller accepts long pauses. A move would make engines process the
/// prompt a second time without a benefit.
#[tokio::test]
async fn pause_within_the_goal_of_the_route_does_not_move_the_stream() {
    let first = pausing_target(Duration::from_millis(400)).await;
    let router = Setup {
        gap_goal: Some(Duration::from_secs(60)),
        ..pipeline_setup(&first)
    };
    let router = router.start().await;
    let healthy_state = state(range(0, 4), 1.0);
    let states = router.engines.clone();
    states
        .states
        .lock()
        .unwrap()
        .insert(first.address, healthy_state);
    let (_, _, body) = router.send(CallerRequest::default()).await;
    assert_eq!(body.unwrap(), events(0..5));
    assert!(router.engines.moved.lock().unwrap().is_empty());
}

/// Guards against counting requests without token counts as requests that take no memory, which would
/// overload engines. They count with the usual sizes of the service.
#[tokio::test]
async fn request_of_unknown_size_uses_the_usual_token_counts() {
    let first = pausing_target(Duration::ZERO).await;
    let router = Setup {
        usual_tokens: 1e12,
        ..pipeline_setup(&first)
    };
    let router = router.start().await;
    assert_eq!(
        router.send(CallerRequest::default()).await.0,
        StatusCode::OK
    );
    let mut unknown = CallerRequest::default();
    unknown.headers.push(("x-tokens-unknown", "1"));
    let (status, _, _) = router.send(unknown).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
}

/// A report of other instances that an engine does not answer makes this instance probe it; only the result
/// of its own probe counts.
#[tokio::test]
async fn engine_unreachable_for_other_instances_is_probed_before_the_first_request() {
    let first = pausing_target(Duration::ZERO).await;
    let router = pipeline(&first).await;
    {
        let mut states = router.engines.states.lock().unwrap();
        states.insert(first.address, state(range(0, 4), 1.0));
        states.insert(([127, 0, 0, 3], 1).into(), state(range(4, 8), 1.0));
    }
    tokio::spawn(forward::probe_engines(router.router.clone()));
    let silent = |id: &str| SharedLoad {
        id: id.into(),
        in_flight_count: 0,
        silent_count: 1,
        slow_count: 0,
        slowness_sum: 0.0,
        token_layers: 0.0,
    };
    router.router.set_peer_loads(&[silent("t1"), silent("t2")]);
    for _ in 0..4_000 {
        let own = router.router.fleet().own_loads();
        if own.iter().any(|load| load.silent_count > 0) {
            assert_eq!(own, [silent("t1")]);
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the unreachable engine was not detected");
}
