//! Guards against permits that are lost between instances, and against connections that are used again after a
//! query on them got no reply.

mod support;

use {
    forward::{Instance, PermitPeers},
    ratelimit::PermitQuery,
    relay::PermitClient,
    std::time::Duration,
    support::{leader, serve},
    tokio::{
        net::TcpListener,
        time::{sleep, timeout},
    },
};

const LIMIT: Duration = Duration::from_secs(20);

fn query() -> PermitQuery {
    PermitQuery {
        announcement_age: Duration::ZERO,
        incarnation: 0,
        max_wait: Duration::ZERO,
        rate_per_s: Some(1.0),
        target: "t1".into(),
        wants_permit: true,
    }
}

#[tokio::test]
async fn permits_are_asked_for_again_after_the_owner_was_lost() {
    let (node, task) = leader().await;
    let id = node.row.id.clone();
    let instance = Instance {
        address: ([127, 0, 0, 1], 80).into(),
        domain: "a".into(),
        id,
    };
    node.router.set_instances(vec![instance.clone()]);
    let client = PermitClient::new(node.row.relay_address.port());
    // The node is not the owner by its own settings, so it gives out no permit but repeats the limit.
    let reply = client.ask(&instance, query()).await.expect("a reply");
    assert_eq!((reply.permit, reply.rate_per_s), (None, Some(1.0)));
    task.abort();
    // Connections that are open stay open, so another listener takes over only after they are closed.
    let address = node.row.relay_address;
    let listener = timeout(LIMIT, async {
        loop {
            match TcpListener::bind(address).await {
                Ok(listener) => return listener,
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
    });
    let listener = listener.await.expect("the address is free again");
    let client = PermitClient::new(address.port());
    let unanswered = timeout(Duration::from_millis(100), client.ask(&instance, query())).await;
    assert!(unanswered.is_err(), "nobody serves the connection");
    serve(&node, listener);
    let reply = timeout(LIMIT, client.ask(&instance, query())).await;
    let reply = reply.expect("a new connection").expect("a reply");
    assert_eq!(reply.rate_per_s, Some(1.0));
}

#[tokio::test]
async fn unreachable_owner_is_an_error() {
    let client = PermitClient::new(1);
    let instance = Instance {
        address: ([127, 0, 0, 1], 80).into(),
        domain: "a".into(),
        id: "x".into(),
    };
    assert!(client.ask(&instance, query()).await.is_err());
}
