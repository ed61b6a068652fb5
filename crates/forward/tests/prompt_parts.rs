//! Guards against requests that have only one part of their prompts in common, which crashes each target that
//! begins to answer them: they must stop reaching targets, and sound requests of the same caller must be
//! served.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    catalog::RepeatPolicy,
    quarantine::{VictimReport, fingerprint},
    std::{sync::atomic::Ordering, time::Duration},
    support::{
        CallerRequest, TestRouter,
        crashing_target::{CrashingTarget, Framing, crashing_target},
        setup,
    },
    tokio::time::sleep,
    wire::hyper::StatusCode,
    yare::parameterized,
};

/// Part that crashes each target.
const CRASHING_PART: &str = "d1";
/// Parts of a sound request. The crashing ones have the first part too.
const SOUND_PARTS: &str = "a1,b1";
const CRASHING_PARTS: &str = "a1,d1";
/// Crashes after which requests with the part must be recognized.
const MAX_CRASHES: usize = 5;
/// Bodies that make requests differ in everything except the shared parts.
const BODIES: [&str; 14] = [
    "0", "1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12", "13",
];

/// Starts as many targets as there are requests, so that some are left if each request crashes one.
async fn start(framing: Framing) -> (TestRouter, Vec<CrashingTarget>) {
    let mut targets = Vec::new();
    for _ in 0..=BODIES.len() {
        targets.push(crashing_target(CRASHING_PART, framing).await);
    }
    let listed: Vec<_> = targets.iter().map(|target| &target.target).collect();
    let router = setup(RepeatPolicy::ResumableStream, &listed).start().await;
    (router, targets)
}

/// Sends a request and returns whether its answer was complete.
async fn is_served(router: &TestRouter, body: &'static str, parts: &'static str) -> bool {
    let mut request = CallerRequest {
        body,
        id: body,
        method: "POST",
        ..CallerRequest::default()
    };
    request.headers.push(("x-shared-parts", parts));
    let (status, _, body) = router.send(request).await;
    status == StatusCode::OK && body.is_ok()
}

fn hit_count(targets: &[CrashingTarget]) -> usize {
    let counts = targets
        .iter()
        .map(|target| target.hit_count.load(Ordering::Relaxed));
    counts.sum()
}

/// The quarantine of whole requests does not see that requests with different bodies crash targets for the
/// same reason.
#[parameterized(chunked = { Framing::Chunks }, without_length = { Framing::None })]
#[test_macro(tokio::test)]
async fn requests_with_a_crashing_part_stop_reaching_targets(framing: Framing) {
    let (router, targets) = start(framing).await;
    for body in BODIES {
        assert!(!is_served(&router, body, CRASHING_PARTS).await);
    }
    assert!(
        hit_count(&targets) <= MAX_CRASHES,
        "{}",
        hit_count(&targets)
    );
}

/// A quarantine that suspects the parts next to the crashing one refuses sound requests of the same caller.
#[parameterized(chunked = { Framing::Chunks }, without_length = { Framing::None })]
#[test_macro(tokio::test)]
async fn sound_requests_are_served_beside_a_crashing_part(framing: Framing) {
    let (router, _targets) = start(framing).await;
    for body in BODIES {
        is_served(&router, body, CRASHING_PARTS).await;
        assert!(is_served(&router, body, SOUND_PARTS).await, "{body}");
        assert!(is_served(&router, body, "a1").await, "{body}");
    }
}

/// An instance that has just started knows none of the crashes that others have seen.
#[tokio::test]
async fn first_request_waits_for_the_crashes_that_others_know() {
    let (router, targets) = start(Framing::Chunks).await;
    let report = VictimReport {
        account: fingerprint(&[b"office"]),
        age_ms: 1_000,
        crash: "t#1".into(),
        is_request_cleared: false,
        parts: vec![(fingerprint(&[b"s", CRASHING_PART.as_bytes()]), false)],
        request: 1,
    };
    let parts = router.router.prompt_parts();
    let sync = async {
        sleep(Duration::from_millis(50)).await;
        parts.merge(clock::now(), &[report]);
        parts.mark_synced();
    };
    let (is_served, ()) = tokio::join!(is_served(&router, "0", CRASHING_PARTS), sync);
    assert!(!is_served);
    assert_eq!(hit_count(&targets), 0);
}
