//! Guards against running streams that are moved off an engine because it refused other requests for lack of
//! memory. Each move makes engines process a prompt again, so that under load all streams become slower.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    catalog::RepeatPolicy,
    layout::LayerRange,
    std::{net::SocketAddr, time::Duration},
    support::{CallerRequest, Setup, TestTarget, ready, setup, signed, target},
    wire::hyper::{StatusCode, header::HeaderValue},
    yare::parameterized,
};

/// First stage that refuses all requests with a status after a delay, and blames the stage at `blamed`.
async fn refusing_target(blamed: SocketAddr, status: StatusCode, delay: Duration) -> TestTarget {
    target(move |request| {
        let mut response = signed(request, wire::text(status, "refused"));
        let headers = response.headers_mut();
        headers.insert("x-not-run", HeaderValue::from_static("1"));
        headers.insert(
            "x-fault-at",
            HeaderValue::try_from(blamed.to_string()).unwrap(),
        );
        Box::pin(async move {
            tokio::time::sleep(delay).await;
            response
        })
    })
    .await
}

#[parameterized(
    short_of_memory = { StatusCode::SERVICE_UNAVAILABLE, Duration::ZERO, false },
    lost = { StatusCode::SERVICE_UNAVAILABLE, Duration::from_millis(600), true },
    without_its_layers = { StatusCode::MISDIRECTED_REQUEST, Duration::ZERO, true },
)]
#[test_macro(tokio::test)]
async fn only_a_stage_that_cannot_go_on_is_replaced(
    status: StatusCode,
    delay: Duration,
    is_replaced: bool,
) {
    let later = target(|request| ready(signed(request, wire::text(StatusCode::OK, "")))).await;
    let first = refusing_target(later.address, status, delay).await;
    let setup = Setup {
        attempt_count: 1,
        held: vec![
            LayerRange::new(0, 4).unwrap(),
            LayerRange::new(4, 8).unwrap(),
        ],
        ..setup(RepeatPolicy::ResumableStream, &[&first, &later])
    };
    let router = setup.start().await;
    assert_eq!(
        router.send(CallerRequest::default()).await.0,
        StatusCode::SERVICE_UNAVAILABLE
    );
    let fleet = router.router.fleet();
    let key = fleet.key_of("t1", 0).unwrap();
    let stage = fleet.stage(key, LayerRange::new(4, 8));
    assert_eq!(fleet.needs_replacement(clock::now(), &stage), is_replaced);
}
