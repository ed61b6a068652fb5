//! Guards against a leader that is queried by all instances, and against requests that are counted
//! by several instances.

mod support;

use {
    rand::SeedableRng,
    reconcile::{InstanceRow, Query, Relay, RelayReply, RelayTree, TreeVersion},
    relay::RelayClient,
    std::{sync::Arc, time::Duration},
    support::{
        Node, answer, follow, leader, make_leader, node, publish, query, serve, target, version,
        wait_until,
    },
    tokio::net::TcpListener,
};

/// 294 instances queried one leader, which answered none of them in time.
#[tokio::test]
async fn leader_of_many_assigns_relays_and_receives_their_reports() {
    let (leader, _task) = leader().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut relay = node("r", listener.local_addr().expect("an address"));
    relay.row.capacity = 500;
    let _relay_task = serve(&relay, listener);
    for number in 0..40 {
        let row = InstanceRow {
            capacity: 100,
            id: format!("z{number}").into(),
            relay_address: ([127, 0, 0, 2], 1_000 + number).into(),
            start: format!("z{number}.1").into(),
            ..leader.row.clone()
        };
        leader
            .shared
            .with_membership(|membership| membership.record_contact(clock::now(), row));
    }
    follow(&relay, &leader);
    let follower = node("y", ([127, 0, 0, 1], 1).into());
    follow(&follower, &leader);
    // The leader reads the stores and renews its leadership repeatedly.
    let lead_until = async |condition: &dyn Fn() -> bool| {
        wait_until(|| {
            make_leader(&leader);
            publish(&leader, 1);
            condition()
        })
        .await;
    };
    let now = clock::now;
    lead_until(&|| {
        follower.shared.uses_relayed_state(now()) && follower.shared.distance(now()) == 2
    })
    .await;
    // Long enough for the leader to drop the follower's direct query from its membership.
    let started_at = now();
    lead_until(&|| now().saturating_sub(started_at) > Duration::from_secs(5)).await;
    let live = leader
        .shared
        .with_membership(|membership| membership.live(now()));
    assert!(
        live.iter().any(|instance| &*instance.id == "y"),
        "the relay reports its followers"
    );
    publish(&leader, 2);
    leader.shared.notify_changed();
    wait_until(|| version(&follower) == 2).await;
}

/// The leader must not redirect instances to a lost relay that they have already avoided.
#[tokio::test]
async fn leader_answers_instances_whose_relays_do_not() {
    let (leader, _task) = leader().await;
    let now = clock::now();
    for number in 0..40 {
        let row = InstanceRow {
            id: format!("z{number:02}").into(),
            relay_address: ([127, 0, 0, 2], 1_000 + number).into(),
            start: format!("z{number:02}.1").into(),
            ..leader.row.clone()
        };
        leader
            .shared
            .with_membership(|membership| membership.record_contact(now, row));
    }
    let requester = node("zz", ([127, 0, 0, 1], 1).into());
    let client = RelayClient::default();
    let address = leader.row.relay_address;
    // The tree with relays is built shortly after the first one.
    let tree = loop {
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert!(clock::now() < now + Duration::from_secs(20), "no relays");
        let next_query = Query {
            wait: Duration::ZERO,
            ..query(&requester)
        };
        match client.ask(address, next_query).await.expect("a reply") {
            RelayReply::Redirect(tree) => break tree,
            RelayReply::Answer(_) | RelayReply::DatedAnswer(..) => {}
        }
    };
    let avoided = tree.relays_for(&requester.row);
    assert!(!avoided.is_empty());
    let next_query = Query {
        avoided,
        ..query(&requester)
    };
    assert!(answer(&client, address, next_query).await.catalog.is_some());
}

/// While the store was down, instances queried the leader and all stand-ins, and sent their loads
/// to each of them. These relayed the loads, and engines appeared to be full.
#[tokio::test]
async fn loads_are_counted_once_while_no_instance_is_current() {
    let (leader, _task) = leader().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let stand_in = node("a", listener.local_addr().expect("an address"));
    let _stand_in_task = serve(&stand_in, listener);
    let follower = node("y", ([127, 0, 0, 1], 1).into());
    let read_at = clock::now().saturating_sub(Duration::from_secs(60));
    for node in [&leader, &stand_in, &follower] {
        node.shared.set_targets(read_at, vec![target("t1")]);
    }
    let version = TreeVersion {
        fence: 1,
        number: 1,
    };
    let tree = RelayTree::build(&leader.row, &[&stand_in.row], version);
    for node in [&leader, &stand_in, &follower] {
        node.shared.set_tree(tree.clone(), node.row.relay_address);
    }
    follower.router.set_targets(&[target("t1")]);
    let path = {
        let fleet = follower.router.fleet();
        let demand = fleet::Demand::default();
        let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
        let path = fleet.choose_target(clock::now(), "s", &demand, &mut rng);
        path.expect("a target")
    };
    follower.router.fleet().add_request(clock::now(), &path);
    follow(&stand_in, &leader);
    follow(&follower, &leader);
    let count = |node: &Node| -> u32 {
        let no_instance = Arc::from("");
        let loads = node.shared.loads_excluding(clock::now(), &no_instance, &[]);
        loads.iter().map(|load| load.in_flight_count).sum()
    };
    wait_until(|| count(&leader) > 0).await;
    for _ in 0..60 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(count(&leader) <= 1, "{} for one request", count(&leader));
    }
}
