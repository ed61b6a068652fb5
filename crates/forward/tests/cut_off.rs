//! Guards against refused requests, and targets blamed, while an instance is cut off from all targets that
//! other instances reach.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    catalog::RepeatPolicy,
    forward::{ForwardSettings, Instance, TunnelError, TunnelQuery, Tunnels},
    futures::future::BoxFuture,
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    support::{
        CallerRequest, Setup, TestRouter, TestTarget,
        cut::{Fault, Links},
        ready, settings, setup, signed, target,
    },
    tokio::{net::TcpListener, time::sleep},
    tunnel::TunnelClient,
    wire::{BoxedStream, hyper::StatusCode},
    yare::parameterized,
};

/// Time within which an instance must have found a way around a cut.
const DETECTION_LIMIT: Duration = Duration::from_secs(3);
/// Number of targets.
const TARGET_COUNT: usize = 4;
/// Events of a stream.
const EVENTS: &str = "id: 1\ndata:\n\nid: 2\ndata:\n\n";

async fn targets() -> Vec<TestTarget> {
    let mut targets = Vec::new();
    for _ in 0..TARGET_COUNT {
        let started = target(|request| {
            let mut response = wire::text(StatusCode::OK, EVENTS);
            let kind = "text/event-stream".parse().unwrap();
            response.headers_mut().insert("content-type", kind);
            ready(signed(request, response))
        });
        targets.push(started.await);
    }
    targets
}

/// Number of times that each request was received.
fn arrivals(targets: &[TestTarget]) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for id in targets.iter().flat_map(TestTarget::ids) {
        *counts.entry(id).or_default() += 1;
    }
    counts
}

/// Starts an instance whose links to all targets can be cut.
async fn instance(
    id: &str,
    repeat: RepeatPolicy,
    targets: &[TestTarget],
) -> (TestRouter, Arc<Links>) {
    let links = Arc::new(Links::default());
    let targets: Vec<&TestTarget> = targets.iter().collect();
    let started = Setup {
        connector: links.clone(),
        settings: ForwardSettings {
            instance_id: id.into(),
            ..settings()
        },
        time_limit: Duration::from_secs(2),
        ..setup(repeat, &targets)
    };
    (started.start().await, links)
}

/// Tunnels through the instances of a test, which differ in their ports instead of their addresses.
struct TestTunnels(HashMap<Arc<str>, TunnelClient>);

impl Tunnels for TestTunnels {
    fn open(
        &self,
        instance: &Instance,
        query: TunnelQuery,
    ) -> BoxFuture<'_, Result<BoxedStream, TunnelError>> {
        self.0[&instance.id].open(instance, query)
    }

    fn report_pause(
        &self,
        instance: &Instance,
        target: TunnelQuery,
        wait: Duration,
    ) -> BoxFuture<'_, ()> {
        self.0[&instance.id].report_pause(instance, target, wait)
    }
}

/// Lets instances know each other, and accept tunnels.
async fn introduce(instances: &[(&str, &TestRouter)]) {
    let mut clients = HashMap::new();
    for (id, one) in instances {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let port = listener.local_addr().unwrap().port();
        clients.insert(Arc::from(*id), TunnelClient::new(port));
        tokio::spawn(tunnel::serve(listener, one.router.clone(), one.stopped()));
        tokio::spawn(forward::check_links(one.router.clone()));
    }
    let tunnels = Arc::new(TestTunnels(clients));
    let list: Vec<Instance> = instances
        .iter()
        .map(|(id, router)| Instance {
            address: router.address,
            domain: "a".into(),
            id: (*id).into(),
        })
        .collect();
    for (_, router) in instances {
        router.router.set_instances(list.clone());
        router.router.set_tunnels(tunnels.clone());
    }
}

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
