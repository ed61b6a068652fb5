//! Guards against refused requests, and targets blamed, while an instance is cut off from all targets that
//! other instances reach.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    catalog::RepeatPolicy,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    support::{
        CallerRequest, TestRouter,
        cut::Fault,
        cut_system::{
            EVENTS, TARGET_COUNT, arrivals, instance, instance_before, introduce, targets,
        },
    },
    tokio::{net::TcpSocket, time::sleep},
    wire::hyper::StatusCode,
    yare::parameterized,
};

/// Time within which an instance must have found a way around a cut.
const DETECTION_LIMIT: Duration = Duration::from_secs(3);
async fn send(router: &TestRouter, id: &'static str) -> StatusCode {
    let request = CallerRequest {
        id,
        ..CallerRequest::default()
    };
    let Ok(mut reply) = router.open(request).await else {
        return StatusCode::BAD_GATEWAY;
    };
    let Ok(body) = reply.read(support::LIMIT, 1_000_000).await else {
        return StatusCode::BAD_GATEWAY;
    };
    if reply.status.is_success() {
        assert_eq!(body, EVENTS);
    }
    reply.status
}

/// Sends requests until one is served, at most for `DETECTION_LIMIT`.
async fn wait_until_served(router: &TestRouter) {
    let started_at = Instant::now();
    while send(router, "warm-up").await != StatusCode::OK {
        let waited = started_at.elapsed();
        assert!(waited < DETECTION_LIMIT, "no answer within {waited:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

const IDS: [&str; 12] = [
    "r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9", "r10", "r11",
];

#[parameterized(
    refused_once = { Fault::Refuse, RepeatPolicy::Once },
    refused_stream = { Fault::Refuse, RepeatPolicy::ResumableStream },
    reset_once = { Fault::Reset, RepeatPolicy::Once },
    reset_repeatable = { Fault::Reset, RepeatPolicy::Idempotent },
    hanging_once = { Fault::Hang, RepeatPolicy::Once },
    hanging_stream = { Fault::Hang, RepeatPolicy::ResumableStream },
)]
#[test_macro(tokio::test)]
async fn cut_off_instance_serves_through_another(fault: Fault, repeat: RepeatPolicy) {
    let targets = targets().await;
    let (one, links) = instance("one", repeat, &targets).await;
    let (other, _) = instance("other", repeat, &targets).await;
    introduce(&[("one", &one), ("other", &other)]).await;
    // A refusal concerns new connections only, so none may be open.
    if fault != Fault::Refuse {
        assert_eq!(send(&one, "before").await, StatusCode::OK);
    }
    links.set(fault);
    wait_until_served(&one).await;
    for id in IDS {
        assert_eq!(send(&one, id).await, StatusCode::OK, "{id}");
    }
    let arrivals = arrivals(&targets);
    for id in IDS {
        assert_eq!(arrivals.get(id), Some(&1), "{id}");
    }
}

/// A whole failure domain is cut off, so that most of the other instances cannot help.
#[parameterized(refused = { Fault::Refuse }, hanging = { Fault::Hang })]
#[test_macro(tokio::test)]
async fn cut_off_domain_serves_through_the_rest(fault: Fault) {
    let targets = targets().await;
    let repeat = RepeatPolicy::Once;
    let mut started = Vec::new();
    for id in ["one", "two", "three", "four"] {
        started.push((id, instance(id, repeat, &targets).await));
    }
    let list: Vec<(&str, &TestRouter)> = started.iter().map(|(id, one)| (*id, &one.0)).collect();
    introduce(&list).await;
    for (_, (_, links)) in &started[..3] {
        links.set(fault);
    }
    for (_, (router, _)) in &started[..3] {
        wait_until_served(router).await;
    }
    for (_, (router, _)) in &started[..3] {
        for id in IDS {
            assert_eq!(send(router, id).await, StatusCode::OK, "{id}");
        }
    }
}

/// The failures that an instance sees behind a cut say nothing about targets, so it reports none of them to
/// other instances and serves at once when the cut ends.
#[parameterized(
    refused = { Fault::Refuse },
    reset = { Fault::Reset },
    hanging = { Fault::Hang },
)]
#[test_macro(tokio::test)]
async fn cut_off_instance_blames_no_target(fault: Fault) {
    let targets = targets().await;
    let (one, links) = instance("one", RepeatPolicy::Idempotent, &targets).await;
    let (other, other_links) = instance("other", RepeatPolicy::Idempotent, &targets).await;
    introduce(&[("one", &one), ("other", &other)]).await;
    // A refusal concerns new connections only, so none may be open.
    if fault != Fault::Refuse {
        assert_eq!(send(&one, "before").await, StatusCode::OK);
    }
    links.set(fault);
    wait_until_served(&one).await;
    for id in IDS {
        assert_eq!(send(&one, id).await, StatusCode::OK, "{id}");
    }
    assert_eq!(one.router.fleet().own_loads(), Vec::new());
    let now = clock::now();
    assert_eq!(one.router.suspects().own_reports(now), Vec::new());
    assert_eq!(one.router.prompt_parts().reports(now).1, Vec::new());
    // After the cut, the instance needs no other one.
    links.set(Fault::None);
    other_links.set(Fault::Hang);
    sleep(Duration::from_secs(1)).await;
    for id in IDS {
        assert_eq!(send(&one, id).await, StatusCode::OK, "{id}");
    }
}

/// Guards against a target that has crashed and is chosen again and again behind a cut, because an instance
/// that is cut off counts no failures.
#[parameterized(refused = { Fault::Refuse }, hanging = { Fault::Hang })]
#[test_macro(tokio::test)]
async fn cut_off_instance_avoids_targets_that_others_do_not_reach(fault: Fault) {
    let targets = targets().await;
    let mut addresses: Vec<SocketAddr> = targets.iter().map(|target| target.address).collect();
    // A bound port that is not listened on refuses connections, and no other test can take it.
    let mut closed = Vec::new();
    for _ in 0..TARGET_COUNT {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        addresses.push(socket.local_addr().unwrap());
        closed.push(socket);
    }
    let repeat = RepeatPolicy::Once;
    let (one, links) = instance_before("one", repeat, addresses.clone()).await;
    let (other, _) = instance_before("other", repeat, addresses).await;
    introduce(&[("one", &one), ("other", &other)]).await;
    assert_eq!(send(&other, "before").await, StatusCode::OK);
    links.set(fault);
    wait_until_served(&one).await;
    let started_at = Instant::now();
    for id in IDS {
        assert_eq!(send(&one, id).await, StatusCode::OK, "{id}");
    }
    let elapsed = started_at.elapsed();
    assert!(elapsed < DETECTION_LIMIT, "{elapsed:?}");
}
