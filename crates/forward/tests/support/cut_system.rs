//! Instances in front of the same targets, with links that can be cut and tunnels between them.

use {
    super::{Setup, TestRouter, TestTarget, cut::Links, ready, settings, setup, signed, target},
    catalog::RepeatPolicy,
    forward::{ForwardSettings, Instance, TunnelError, TunnelQuery, Tunnels},
    futures::future::BoxFuture,
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::TcpListener,
    tunnel::TunnelClient,
    wire::{BoxedStream, hyper::StatusCode},
};

/// Number of targets.
pub const TARGET_COUNT: usize = 4;
/// Events of a stream.
pub const EVENTS: &str = "id: 1\ndata:\n\nid: 2\ndata:\n\n";

pub async fn targets() -> Vec<TestTarget> {
    let mut targets = Vec::new();
    for _ in 0..TARGET_COUNT {
        let started = target(|request| {
            let mut response = wire::text(StatusCode::OK, EVENTS);
            let kind = "text/event-stream".parse().expect("test support works");
            response.headers_mut().insert("content-type", kind);
            ready(signed(request, response))
        });
        targets.push(started.await);
    }
    targets
}

/// Number of times that each request was received.
pub fn arrivals(targets: &[TestTarget]) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for id in targets.iter().flat_map(TestTarget::ids) {
        *counts.entry(id).or_default() += 1;
    }
    counts
}

/// Starts an instance whose links to all targets can be cut.
pub async fn instance(
    id: &str,
    repeat: RepeatPolicy,
    targets: &[TestTarget],
) -> (TestRouter, Arc<Links>) {
    let addresses = targets.iter().map(|target| target.address).collect();
    instance_before(id, repeat, addresses).await
}

/// Starts such an instance in front of the targets at `addresses`.
pub async fn instance_before(
    id: &str,
    repeat: RepeatPolicy,
    addresses: Vec<SocketAddr>,
) -> (TestRouter, Arc<Links>) {
    let links = Arc::new(Links::default());
    let started = Setup {
        connector: links.clone(),
        settings: ForwardSettings {
            instance_id: id.into(),
            // Nobody confirms the configuration of a test.
            max_catalog_age: Duration::from_secs(3_600),
            ..settings()
        },
        targets: addresses,
        time_limit: Duration::from_secs(2),
        ..setup(repeat, &[])
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
pub async fn introduce(instances: &[(&str, &TestRouter)]) {
    let mut clients = HashMap::new();
    for (id, one) in instances {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("test support works");
        let port = listener.local_addr().expect("test support works").port();
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
