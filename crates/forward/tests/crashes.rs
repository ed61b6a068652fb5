//! Guards against a request that crashes one target after another, and against the refusal of other
//! requests that were not the cause.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    catalog::RepeatPolicy,
    fleet::Target,
    std::time::Duration,
    support::{CallerRequest, TestRouter, TestTarget, ready, setup, signed, target},
    wire::hyper::{
        StatusCode,
        header::{HeaderValue, RETRY_AFTER},
    },
    yare::parameterized,
};

const CRASHING: &str = "{\"prompt\":\"crash\"}";

/// Target that breaks the connection on a crashing request.
async fn crashing_target() -> TestTarget {
    target(|request| {
        if request.body == CRASHING {
            return ready(wire::disconnect());
        }
        ready(signed(request, wire::text(StatusCode::OK, "sound")))
    })
    .await
}

async fn send(router: &TestRouter, body: &'static str) -> (StatusCode, Option<String>) {
    let (status, headers, _) = router
        .send(CallerRequest {
            body,
            method: "POST",
            ..CallerRequest::default()
        })
        .await;
    let after = headers.get(RETRY_AFTER);
    (status, after.map(|value| value.to_str().unwrap().into()))
}

/// Replaces all targets by restarted ones with new ids.
fn restart(router: &TestRouter, listing: &[Target]) {
    let mut listing = listing.to_vec();
    for target in &mut listing {
        target.id = format!("{}.{}", target.id, clock::now().as_nanos()).into();
    }
    router.router.set_targets(&listing);
}

/// Replaces all targets by restarted ones that keep their ids.
fn restart_with_same_id(router: &TestRouter, listing: &[Target]) {
    let mut listing = listing.to_vec();
    for target in &mut listing {
        target.incarnation = clock::now().as_nanos() as u64;
    }
    router.router.set_targets(&listing);
}

#[parameterized(new_id = { restart }, same_id = { restart_with_same_id })]
#[test_macro(tokio::test)]
async fn request_that_ended_three_targets_is_refused(restart: fn(&TestRouter, &[Target])) {
    let target = crashing_target().await;
    let setup = setup(RepeatPolicy::Once, &[&target]);
    let listing = setup.listing();
    let router = setup.start().await;
    for _ in 0..3 {
        let (status, _) = send(&router, CRASHING).await;
        assert_eq!(status, StatusCode::BAD_GATEWAY);
        restart(&router, &listing);
    }
    let (status, after) = send(&router, CRASHING).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(after.unwrap().parse::<f64>().unwrap() > 60.0);
    assert_eq!(target.ids().len(), 3);
    assert_eq!(send(&router, "other").await.0, StatusCode::OK);
}

#[tokio::test]
async fn broken_connection_to_a_running_target_is_not_a_crash() {
    let target = crashing_target().await;
    let setup = setup(RepeatPolicy::Once, &[&target]);
    let listing = setup.listing();
    let router = setup.start().await;
    for _ in 0..5 {
        send(&router, CRASHING).await;
        send(&router, "other").await;
        restart(&router, &listing);
    }
    assert_eq!(send(&router, CRASHING).await.0, StatusCode::BAD_GATEWAY);
}

#[tokio::test]
async fn request_that_succeeds_between_losses_is_not_refused() {
    let target = target(|request| {
        if request.header("x-id") == Some("lost") {
            return ready(wire::disconnect());
        }
        ready(signed(request, wire::text(StatusCode::OK, "sound")))
    })
    .await;
    let setup = setup(RepeatPolicy::Once, &[&target]);
    let listing = setup.listing();
    let router = setup.start().await;
    let send = async |id| {
        let send = router.send(CallerRequest {
            id,
            ..CallerRequest::default()
        });
        send.await.0
    };
    for _ in 0..5 {
        assert_eq!(send("lost").await, StatusCode::BAD_GATEWAY);
        restart(&router, &listing);
        assert_eq!(send("good").await, StatusCode::OK);
    }
}

/// Guards against a crashing request that is sent to the instances in turn: each of them alone sees too few
/// crashes to refuse it.
#[tokio::test]
async fn crashes_seen_by_different_instances_add_up() {
    let target = crashing_target().await;
    let one = setup(RepeatPolicy::Once, &[&target]);
    let listing = one.listing();
    let (one, other) = (
        one.start().await,
        setup(RepeatPolicy::Once, &[&target]).start().await,
    );
    for round in 0..3 {
        let (from, to) = if round % 2 == 0 {
            (&one, &other)
        } else {
            (&other, &one)
        };
        assert_eq!(send(from, CRASHING).await.0, StatusCode::BAD_GATEWAY);
        restart(from, &listing);
        restart(to, &listing);
        let now = clock::now();
        let reports = from.router.suspects().own_reports(now);
        to.router
            .suspects()
            .merge_reports(now, &"peer".into(), &reports);
    }
    for router in [&one, &other] {
        let status = send(router, CRASHING).await.0;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    }
    let later = clock::now() + Duration::from_secs(601);
    assert_eq!(one.router.suspects().own_reports(later), []);
}

/// The address of an ended target belongs to another one while its entry is still listed. Requests that were sent there
/// were refused, and used up their attempts and the retry budget.
#[tokio::test]
async fn target_whose_address_belongs_to_another_one_gets_no_more_requests() {
    let other = target(|request| {
        let mut refusal = wire::text(StatusCode::MISDIRECTED_REQUEST, "another target");
        let headers = refusal.headers_mut();
        headers.insert("x-not-run", HeaderValue::from_static("1"));
        ready(signed(request, refusal))
    })
    .await;
    let sound = target(|request| ready(signed(request, wire::text(StatusCode::OK, "sound")))).await;
    let router = setup(RepeatPolicy::Idempotent, &[&other, &sound])
        .start()
        .await;
    for _ in 0..30 {
        assert_eq!(send(&router, "other").await.0, StatusCode::OK);
    }
    assert_eq!(other.ids().len(), 1);
    assert_eq!(sound.ids().len(), 30);
}
