//! Guards against requests that are sent to a target after it announced that it is leaving or asked for a
//! pause.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    catalog::RepeatPolicy,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    support::{CallerRequest, TestTarget, ready, setup, signed, target},
    wire::{
        Response,
        hyper::{StatusCode, header::HeaderValue},
    },
};

fn with(mut response: Response, name: &'static str, value: &'static str) -> Response {
    let value = HeaderValue::from_static(value);
    response.headers_mut().insert(name, value);
    response
}

async fn healthy_target() -> TestTarget {
    target(|request| ready(signed(request, wire::text(StatusCode::OK, "sound")))).await
}

async fn leaving() -> TestTarget {
    target(|request| {
        let response = signed(request, wire::text(StatusCode::OK, "last"));
        ready(with(response, "x-leaving", "1"))
    })
    .await
}

/// Target that refuses its first request and asks for a pause, and answers all later ones normally.
async fn busy() -> TestTarget {
    let is_first = Arc::new(AtomicBool::new(true));
    target(move |request| {
        if !is_first.swap(false, Ordering::Relaxed) {
            return ready(signed(request, wire::text(StatusCode::OK, "too early")));
        }
        let refusal = wire::text(StatusCode::SERVICE_UNAVAILABLE, "busy");
        let response = with(signed(request, refusal), "x-not-run", "1");
        ready(with(response, "x-return-after-ms", "60000"))
    })
    .await
}

#[tokio::test]
async fn leaving_target_gets_no_second_request() {
    let (leaving, healthy) = (leaving().await, healthy_target().await);
    let router = setup(RepeatPolicy::Idempotent, &[&leaving, &healthy])
        .start()
        .await;
    for _ in 0..12 {
        let (status, ..) = router.send(CallerRequest::default()).await;
        assert_eq!(status, StatusCode::OK);
    }
    assert!(leaving.ids().len() <= 1, "{:?}", leaving.ids());
    // The list of targets does not mark it as leaving yet.
    router
        .router
        .set_targets(&setup(RepeatPolicy::Idempotent, &[&leaving, &healthy]).listing());
    let before = leaving.ids().len();
    for _ in 0..12 {
        let _ = router.send(CallerRequest::default()).await;
    }
    assert_eq!(
        leaving.ids().len(),
        before,
        "the list of targets overrode the announcement"
    );
}

#[tokio::test]
async fn only_target_that_leaves_is_not_tried_again() {
    let leaving = leaving().await;
    let router = setup(RepeatPolicy::Idempotent, &[&leaving]).start().await;
    let (first, ..) = router.send(CallerRequest::default()).await;
    let (second, headers, _) = router.send(CallerRequest::default()).await;
    assert_eq!(
        (first, second),
        (StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE)
    );
    assert!(headers.contains_key("retry-after"));
    assert_eq!(leaving.ids().len(), 1);
}

#[tokio::test]
async fn stream_whose_head_says_that_the_target_leaves_is_delivered() {
    let leaving = target(|request| {
        let (sender, response) = wire::stream(StatusCode::OK, "text/event-stream");
        tokio::spawn(async move {
            for event in ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"] {
                tokio::time::sleep(Duration::from_millis(30)).await;
                sender.send(event).await;
            }
        });
        ready(with(signed(request, response), "x-leaving", "1"))
    })
    .await;
    let router = setup(RepeatPolicy::Stream, &[&leaving]).start().await;
    let (status, _, body) = router.send(CallerRequest::default()).await;
    assert_eq!(status, StatusCode::OK);
    assert!(
        body.unwrap().ends_with(b"data: b\n\n"),
        "the stream was cut"
    );
    let (status, ..) = router.send(CallerRequest::default()).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(leaving.ids().len(), 1);
}

#[tokio::test]
async fn paused_target_gets_no_request_before_its_time() {
    let (busy, healthy) = (busy().await, healthy_target().await);
    let router = setup(RepeatPolicy::Once, &[&busy, &healthy]).start().await;
    for _ in 0..12 {
        let (status, _, body) = router.send(CallerRequest::default()).await;
        assert_eq!((status, &*body.unwrap()), (StatusCode::OK, &b"sound"[..]));
    }
    assert!(busy.ids().len() <= 1, "{:?}", busy.ids());
}

#[tokio::test]
async fn caller_is_told_when_the_only_target_takes_requests_again() {
    let busy = busy().await;
    let router = setup(RepeatPolicy::Once, &[&busy]).start().await;
    for _ in 0..3 {
        let (status, headers, _) = router.send(CallerRequest::default()).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        let seconds: f64 = headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!((58.0..=61.0).contains(&seconds), "{seconds}");
    }
    assert_eq!(busy.ids().len(), 1);
}

/// Guards against new requests after a target asked for a pause while several requests were in flight.
#[tokio::test]
async fn no_request_follows_those_in_flight_when_a_target_pauses() {
    let busy = busy().await;
    let router = Arc::new(setup(RepeatPolicy::Once, &[&busy]).start().await);
    let mut together = Vec::new();
    for _ in 0..8 {
        let router = router.clone();
        together.push(tokio::spawn(async move {
            router.send(CallerRequest::default()).await.0
        }));
    }
    for one in together {
        one.await.unwrap();
    }
    let before = busy.ids().len();
    for _ in 0..8 {
        let (status, ..) = router.send(CallerRequest::default()).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(busy.ids().len(), before);
}
