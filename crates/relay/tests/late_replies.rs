//! Guards against an answer to an earlier query that is taken for that of the next one on a connection.

#[path = "../../peer/tests/support/repeating_proxy.rs"]
mod repeating_proxy;
mod support;

use {
    forward::{Instance, PermitPeers},
    ratelimit::PermitQuery,
    relay::{PermitClient, RelayClient},
    repeating_proxy::RepeatingProxy,
    std::time::Duration,
    support::{answer, leader, node, publish, query},
};

/// Guards against an instance that uses the configuration of an earlier answer, because a copy of that answer arrived
/// before the answer to its next query.
#[tokio::test]
async fn copy_of_an_earlier_answer_is_not_that_of_the_next_query() {
    let (leader, _task) = leader().await;
    let proxy = RepeatingProxy::start(leader.row.relay_address, Duration::ZERO).await;
    let requester = node("y", ([127, 0, 0, 1], 1).into());
    let client = RelayClient::default();
    for version in 2..6 {
        publish(&leader, version);
        let answer = answer(&client, proxy.address, query(&requester)).await;
        let catalog = answer.catalog.expect("the configuration");
        assert_eq!(catalog.version, version);
    }
    assert_eq!(proxy.connection_count(), 1);
}

/// Guards against a permit that counts as given, because a copy of the answer with an earlier permit arrived before the
/// answer to the next query.
#[tokio::test]
async fn copy_of_an_earlier_permit_is_not_that_of_the_next_query() {
    let (node, _task) = leader().await;
    let proxy = RepeatingProxy::start(node.row.relay_address, Duration::ZERO).await;
    let instance = Instance {
        address: ([127, 0, 0, 1], 80).into(),
        domain: "a".into(),
        id: node.row.id.clone(),
    };
    node.router.set_instances(vec![instance.clone()]);
    let client = PermitClient::new(proxy.address.port());
    for rate_per_s in [1.0, 2.0, 3.0, 4.0] {
        let query = PermitQuery {
            announcement_age: Duration::ZERO,
            incarnation: 0,
            max_wait: Duration::ZERO,
            rate_per_s: Some(rate_per_s),
            target: format!("t{rate_per_s}").into(),
            wants_permit: true,
        };
        let reply = client.ask(&instance, query).await.expect("a reply");
        assert_eq!(reply.rate_per_s, Some(rate_per_s));
    }
    assert_eq!(proxy.connection_count(), 1);
}
