//! Guards against parts of prompts that crash their targets before the head of the answer or after some of its events:
//! requests with them must stop reaching targets, and sound requests with the other parts must be served.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    catalog::RepeatPolicy,
    std::time::{Duration, Instant},
    support::{
        CallerRequest, TestRouter,
        crashing_target::{CrashPoint, CrashingTarget, Framing, crashing_target_at},
        setup,
    },
    tokio::time::sleep,
    wire::hyper::StatusCode,
    yare::parameterized,
};

/// Part that crashes each target.
const CRASHING_PART: &str = "d1";
/// Parts of the crashing requests. The sound ones have the first part too.
const CRASHING_PARTS: &str = "a1,d1";
const SOUND_PARTS: &str = "a1,b1";
/// Crashes after which requests with the part must be recognized.
const MAX_CRASHES: usize = 5;
/// Time within which they must be.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Requests with the part that may reach targets afterwards.
const MAX_LATE_REQUESTS: usize = 3;
/// Share of the sound requests that must be served.
const MIN_SERVED_SHARE: f64 = 0.95;
/// Time between two requests with the part.
const INTERVAL: Duration = Duration::from_millis(300);
const REQUEST_COUNT: usize = 20;
/// Enough that some are left if each request crashes as many as it may reach.
const TARGET_COUNT: usize = 2 * REQUEST_COUNT + 4;

async fn start(point: CrashPoint) -> (TestRouter, Vec<CrashingTarget>) {
    let mut targets = Vec::new();
    for _ in 0..TARGET_COUNT {
        targets.push(crashing_target_at(CRASHING_PART, Framing::Chunks, point).await);
    }
    let listed: Vec<_> = targets.iter().map(|target| &target.target).collect();
    let router = setup(RepeatPolicy::ResumableStream, &listed).start().await;
    (router, targets)
}

/// Sends a request that differs from all others in its body, and returns whether its answer was complete.
async fn is_served(router: &TestRouter, number: usize, parts: &'static str) -> bool {
    let id: &'static str = number.to_string().leak();
    let mut request = CallerRequest {
        body: id,
        id,
        method: "POST",
        ..CallerRequest::default()
    };
    request.headers.push(("x-shared-parts", parts));
    let (status, _, body) = router.send(request).await;
    status == StatusCode::OK && body.is_ok()
}

/// The first event of an answer cleared all parts of its prompt, also that which crashed the target a moment later.
/// Crashes before the head of the answer counted against no part.
#[parameterized(
    before_head = { CrashPoint::BeforeHead },
    behind_first_event = { CrashPoint::AfterEvents(1) },
    after_five_events = { CrashPoint::AfterEvents(5) },
    after_twenty_events = { CrashPoint::AfterEvents(20) },
)]
#[test_macro(tokio::test)]
async fn part_stops_reaching_targets_wherever_it_crashes_them(point: CrashPoint) {
    let (router, targets) = start(point).await;
    let (mut served, mut sound) = (0, 0);
    for round in 0..REQUEST_COUNT {
        let number = round * 10;
        assert!(!is_served(&router, number, CRASHING_PARTS).await);
        for (offset, parts) in [(1, SOUND_PARTS), (2, "a1"), (3, "b1")] {
            sound += 1;
            served += usize::from(is_served(&router, number + offset, parts).await);
        }
        sleep(INTERVAL).await;
        // As the leader does; an old configuration accepts no key.
        let mut catalog = router.router.catalog();
        let version = catalog.version();
        catalog.confirm(version, clock::now());
    }
    let mut hits: Vec<Instant> = Vec::new();
    for target in &targets {
        hits.extend(target.hits.lock().unwrap().iter());
    }
    hits.sort_unstable();
    if let Some(fifth) = hits.get(MAX_CRASHES - 1) {
        let late = hits.iter().filter(|at| **at > *fifth + STABLE_WINDOW);
        let late = late.count();
        assert!(late <= MAX_LATE_REQUESTS, "{late} of {}", hits.len());
    }
    let share = served as f64 / sound as f64;
    assert!(share >= MIN_SERVED_SHARE, "{share}");
}

/// A connection that breaks before the head of the answer says nothing about the prompt while its target goes on.
#[tokio::test]
async fn broken_connection_to_a_running_target_counts_against_no_part() {
    let (router, _targets) = start(CrashPoint::LinkOnly).await;
    for number in 0..REQUEST_COUNT {
        assert!(!is_served(&router, number, CRASHING_PARTS).await);
    }
    let (_, reports) = router.router.prompt_parts().phased_reports(clock::now());
    assert_eq!(reports, []);
}
