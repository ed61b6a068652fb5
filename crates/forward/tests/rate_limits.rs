//! Guards against targets that get more requests than the limit that they announce, and against callers that
//! wait in vain for a target that is limited.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    catalog::RepeatPolicy,
    layout::LayerRange,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    support::{CallerRequest, LIMIT, Setup, TestRouter, TestTarget, ready, setup, signed, target},
    wire::{
        Response,
        hyper::{StatusCode, header::HeaderValue},
    },
};

/// Requests by which a target may exceed one and a half times its limit.
const TOLERATED_EXCESS: f64 = 5.0;

fn with_limit(mut response: Response, limit: Option<&'static str>) -> Response {
    if let Some(limit) = limit {
        let value = HeaderValue::from_static(limit);
        response.headers_mut().insert("x-rate-limit", value);
    }
    response
}

/// Target that announces `limits`, one in each answer, and then none.
async fn limited(limits: &'static [&'static str]) -> TestTarget {
    let count = Arc::new(AtomicUsize::new(0));
    target(move |request| {
        let number = count.fetch_add(1, Ordering::Relaxed);
        let response = signed(request, wire::text(StatusCode::OK, "limited"));
        ready(with_limit(response, limits.get(number).copied()))
    })
    .await
}

/// Target that announces the same limit in each answer.
async fn always_limited(limit: &'static str) -> TestTarget {
    target(move |request| {
        let response = signed(request, wire::text(StatusCode::OK, "limited"));
        ready(with_limit(response, Some(limit)))
    })
    .await
}

async fn unlimited() -> TestTarget {
    target(|request| ready(signed(request, wire::text(StatusCode::OK, "unlimited")))).await
}

/// Sends requests one after the other. Returns the number of each status, and how long it took.
async fn send_all(router: &TestRouter, count: usize) -> (usize, usize, Duration) {
    let started_at = clock::now();
    let (mut answered, mut refused) = (0, 0);
    for _ in 0..count {
        let (status, headers, _) = router.send(CallerRequest::default()).await;
        match status {
            StatusCode::OK => answered += 1,
            StatusCode::SERVICE_UNAVAILABLE => {
                assert!(headers.contains_key("retry-after"), "no time to retry");
                refused += 1;
            }
            status => panic!("status {status}"),
        }
    }
    (answered, refused, clock::now() - started_at)
}

fn allowed(limit_per_s: f64, time: Duration) -> f64 {
    1.5 * limit_per_s * time.as_secs_f64() + TOLERATED_EXCESS
}

#[tokio::test]
async fn limited_target_of_a_service_gets_no_more_than_its_limit() {
    let (limited, other) = (always_limited("2").await, unlimited().await);
    let router = setup(RepeatPolicy::Once, &[&limited, &other]).start().await;
    let (answered, refused, time) = send_all(&router, 80).await;
    assert_eq!((answered, refused), (80, 0), "callers were refused");
    let count = limited.ids().len();
    assert!(count as f64 <= allowed(2.0, time), "{count} in {time:?}");
    assert!(count > 0);
}

#[tokio::test]
async fn limited_engine_gets_no_more_than_its_limit_as_first_stage() {
    let (limited, other) = (always_limited("2").await, unlimited().await);
    let all = LayerRange::new(0, 8).unwrap();
    let setup = Setup {
        held: vec![all, all],
        ..setup(RepeatPolicy::Idempotent, &[&limited, &other])
    };
    let router = setup.start().await;
    let (answered, refused, time) = send_all(&router, 80).await;
    assert_eq!((answered, refused), (80, 0), "callers were refused");
    let count = limited.ids().len();
    assert!(count as f64 <= allowed(2.0, time), "{count} in {time:?}");
}

/// Guards against requests that are held until their deadline although their only target is limited.
#[tokio::test]
async fn callers_of_an_only_target_that_is_limited_are_refused_in_time() {
    let limited = always_limited("1").await;
    let router = setup(RepeatPolicy::Once, &[&limited]).start().await;
    let (answered, refused, time) = send_all(&router, 20).await;
    let count = limited.ids().len();
    assert_eq!(answered, count, "a refused request has run");
    assert!(refused > 0);
    assert!(count as f64 <= allowed(1.0, time), "{count} in {time:?}");
    // The callers would have waited for 10 s each.
    assert!(time < Duration::from_secs(10), "{time:?}");
}

/// Guards against a limit that stays in force after the target has stopped announcing it.
#[tokio::test]
async fn target_that_ends_its_limit_gets_all_requests_again() {
    let limited = limited(&["0.5", "3"]).await;
    let router = setup(RepeatPolicy::Once, &[&limited]).start().await;
    let mut refused = 0;
    let third_request = async {
        while limited.ids().len() < 3 {
            refused += send_all(&router, 1).await.1;
        }
    };
    tokio::time::timeout(LIMIT, third_request).await.unwrap();
    assert!(refused > 0, "the limit was not kept");
    let (answered, refused, _) = send_all(&router, 40).await;
    assert_eq!((answered, refused), (40, 0));
}

/// Guards against the end of a limit that another target at the same address seems to announce.
#[tokio::test]
async fn misdirected_answer_does_not_end_a_limit() {
    let count = Arc::new(AtomicUsize::new(0));
    let limited = target(move |request| {
        let number = count.fetch_add(1, Ordering::Relaxed);
        if number == 1 {
            let response = wire::text(StatusCode::MISDIRECTED_REQUEST, "another target");
            let (name, value) = ("x-not-run", HeaderValue::from_static("1"));
            let mut response = signed(request, response);
            response.headers_mut().insert(name, value);
            return ready(response);
        }
        let response = signed(request, wire::text(StatusCode::OK, "limited"));
        ready(with_limit(response, Some("1")))
    })
    .await;
    let router = setup(RepeatPolicy::Once, &[&limited]).start().await;
    let (_, refused, time) = send_all(&router, 20).await;
    let count = limited.ids().len();
    assert!(refused > 0);
    assert!(count as f64 <= allowed(1.0, time), "{count} in {time:?}");
}
