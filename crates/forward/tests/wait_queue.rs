//! Guards against refusing a request although an engine is about to have capacity for it.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    catalog::RepeatPolicy,
    layout::LayerRange,
    std::{sync::Arc, time::Duration},
    support::{CallerRequest, SMALL, Setup, TestRouter, TestTarget, setup, signed, target},
    tokio::sync::Notify,
    wire::hyper::StatusCode,
};

/// Prompt tokens of a request that fills more than half of the memory of an engine.
const LARGE_TOKENS: f64 = 10_000.0;

/// Target that finishes one answer per notification.
async fn engine(end: Arc<Notify>) -> TestTarget {
    target(move |request| {
        let response = signed(request, wire::text(StatusCode::OK, "done"));
        let end = end.clone();
        Box::pin(async move {
            end.notified().await;
            response
        })
    })
    .await
}

async fn router(engine: &TestTarget) -> Arc<TestRouter> {
    let setup = Setup {
        hardware: SMALL,
        held: vec![LayerRange { end: 8, start: 0 }],
        usual_tokens: LARGE_TOKENS,
        ..setup(RepeatPolicy::Once, &[engine])
    };
    Arc::new(setup.start().await)
}

fn large() -> CallerRequest {
    let mut sending = CallerRequest::default();
    sending.headers.push(("x-tokens-unknown", "1"));
    sending
}

async fn until_count(engine: &TestTarget, count: usize) {
    while engine.ids().len() < count {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test]
async fn request_is_served_when_the_one_before_it_ends() {
    let end = Arc::new(Notify::new());
    let engine = engine(end.clone()).await;
    let router = router(&engine).await;
    let send = |router: Arc<TestRouter>| tokio::spawn(async move { router.send(large()).await.0 });
    let first = send(router.clone());
    until_count(&engine, 1).await;
    let second = send(router.clone());
    // Lets the second request reach the router while the engine is full.
    tokio::time::sleep(Duration::from_millis(20)).await;
    end.notify_one();
    assert_eq!(first.await.unwrap(), StatusCode::OK);
    until_count(&engine, 2).await;
    end.notify_one();
    assert_eq!(second.await.unwrap(), StatusCode::OK);
}

#[tokio::test]
async fn request_is_refused_when_no_capacity_frees_up() {
    let end = Arc::new(Notify::new());
    let engine = engine(end.clone()).await;
    let router = router(&engine).await;
    let first = router.clone();
    let first = tokio::spawn(async move { first.send(large()).await.0 });
    until_count(&engine, 1).await;
    let (status, headers, _) = router.send(large()).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(headers.contains_key("retry-after"));
    end.notify_one();
    assert_eq!(first.await.unwrap(), StatusCode::OK);
    assert_eq!(engine.ids().len(), 1, "a refused request was run");
}
