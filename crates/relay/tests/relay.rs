//! Guards against followers whose state is incomplete, or is considered newer than the leader's.

mod support;

use {
    fleet::Departure,
    forward::Error,
    reconcile::{Query, Relay, TargetChange},
    relay::RelayClient,
    std::time::Duration,
    support::{answer, follow, leader, node, publish, query, serve, target, version, wait_until},
    tokio::net::TcpListener,
};

#[tokio::test]
async fn follower_receives_the_state_of_the_leader() {
    let (leader, _task) = leader().await;
    let follower = node("y", ([127, 0, 0, 1], 1).into());
    follow(&follower, &leader);
    wait_until(|| version(&follower) == 1 && follower.shared.targets().len() == 1).await;
    assert!(follower.shared.uses_relayed_state(clock::now()));
    publish(&leader, 2);
    leader.shared.notify_changed();
    wait_until(|| version(&follower) == 2).await;
    wait_until(|| &*follower.shared.targets()[0].id == "t2").await;
    let live = leader
        .shared
        .with_membership(|membership| membership.live(clock::now()));
    assert!(
        live.iter().any(|instance| &*instance.id == "y"),
        "an instance that queries is live"
    );
}

#[tokio::test]
async fn relayed_configuration_is_not_newer_than_the_leaders() {
    let (leader, _task) = leader().await;
    let confirmed_at = leader.router.catalog().confirmed_at();
    let follower = node("y", ([127, 0, 0, 1], 1).into());
    follow(&follower, &leader);
    wait_until(|| version(&follower) == 1).await;
    let relayed_at = follower.router.catalog().confirmed_at();
    assert!(
        relayed_at <= confirmed_at,
        "{relayed_at:?} after {confirmed_at:?}"
    );
}

#[tokio::test]
async fn instance_without_state_refuses_queries() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let empty = node("x", listener.local_addr().expect("an address"));
    let _task = serve(&empty, listener);
    let requester = node("y", ([127, 0, 0, 1], 1).into());
    let answer = RelayClient::default()
        .ask(empty.row.relay_address, query(&requester))
        .await;
    assert!(matches!(answer, Err(Error::Refused(_))), "{answer:?}");
}

/// A leader that is asked to stop releases the leadership but continues to run for its grace
/// period. If its answers kept the others current, none of them would take over the leadership.
#[tokio::test]
async fn leaving_instance_refuses_queries() {
    let (leader, _task) = leader().await;
    leader.router.leave();
    let requester = node("y", ([127, 0, 0, 1], 1).into());
    let answer = RelayClient::default()
        .ask(leader.row.relay_address, query(&requester))
        .await;
    assert!(matches!(answer, Err(Error::Refused(_))), "{answer:?}");
}

/// A leader that is refused by the store continues to answer. Its outdated state must not prevent
/// others from reading the store.
#[tokio::test]
async fn outdated_state_is_relayed_with_its_age() {
    let (leader, _task) = leader().await;
    let read_at = clock::now().saturating_sub(Duration::from_secs(2));
    leader.shared.set_targets(read_at, vec![target("t1")]);
    let follower = node("y", ([127, 0, 0, 1], 1).into());
    follow(&follower, &leader);
    wait_until(|| follower.shared.targets().len() == 1).await;
    assert!(!follower.shared.uses_relayed_state(clock::now()));
}

/// Without stand-ins, all instances read the store when the leader is lost: 84 of them sent 600
/// calls in one second.
#[tokio::test]
async fn stand_in_serves_the_followers_of_a_lost_leader() {
    let (leader, task) = leader().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let stand_in = node("a", listener.local_addr().expect("an address"));
    let _stand_in_task = serve(&stand_in, listener);
    let follower = node("y", ([127, 0, 0, 1], 1).into());
    follow(&stand_in, &leader);
    wait_until(|| version(&stand_in) == 1).await;
    follow(&follower, &leader);
    let sources = [&leader, &stand_in, &follower].map(|node| node.row.relay_address);
    wait_until(|| {
        let tree = follower.shared.tree().expect("a tree");
        [vec![tree.leader], tree.stand_ins].concat() == sources
    })
    .await;
    task.abort();
    leader
        .leadership
        .lock()
        .expect("the leadership")
        .record_fenced();
    wait_until(|| {
        // The stand-in reads the store repeatedly.
        publish(&stand_in, 2);
        version(&follower) == 2 && follower.shared.uses_relayed_state(clock::now())
    })
    .await;
    assert_eq!(&*follower.shared.targets()[0].id, "t2");
}

/// Sending the whole list for each change used all of the processor time of a leader of 84
/// instances.
#[tokio::test]
async fn answers_contain_only_changes() {
    let (leader, _task) = leader().await;
    let requester = node("y", ([127, 0, 0, 1], 1).into());
    let client = RelayClient::default();
    let address = leader.row.relay_address;
    let first = answer(&client, address, query(&requester)).await;
    assert_eq!(first.targets, Some(TargetChange::All(vec![target("t1")])));
    let listing = vec![target("t1"), target("t2")];
    leader.shared.set_targets(clock::now(), listing);
    let next = Query {
        catalog_version: 1,
        revision: first.revision,
        ..query(&requester)
    };
    let next = answer(&client, address, next).await;
    let change = TargetChange::Some(vec![target("t2")], Vec::new());
    assert_eq!(next.targets, Some(change));
    assert!(next.catalog.is_none());
}

#[tokio::test]
async fn follower_of_a_lost_leader_stops_using_relayed_state() {
    let (leader, task) = leader().await;
    let follower = node("y", ([127, 0, 0, 1], 1).into());
    follow(&follower, &leader);
    wait_until(|| follower.shared.uses_relayed_state(clock::now())).await;
    task.abort();
    wait_until(|| !follower.shared.uses_relayed_state(clock::now())).await;
    assert_eq!(version(&follower), 1, "the configuration is kept");
}

/// A leader that is refused by the store continues for a while to answer with outdated state.
#[tokio::test]
async fn older_list_of_the_leader_does_not_replace_a_newer_one() {
    let (leader, _task) = leader().await;
    let follower = node("y", ([127, 0, 0, 1], 1).into());
    let read_at = clock::now() + Duration::from_secs(60);
    follower.shared.set_targets(read_at, vec![target("own")]);
    follow(&follower, &leader);
    wait_until(|| version(&follower) == 1).await;
    assert_eq!(&*follower.shared.targets()[0].id, "own");
}

/// If a target announces its departure to one instance only, all others would continue to send it
/// requests until it is listed as leaving.
#[tokio::test]
async fn departure_announced_to_one_instance_reaches_all() {
    let (leader, _task) = leader().await;
    let followers = ["y", "z"].map(|id| node(id, ([127, 0, 0, 1], 1).into()));
    for follower in &followers {
        follow(follower, &leader);
    }
    for node in followers.iter().chain([&leader]) {
        node.router.set_targets(&[target("t1")]);
    }
    let departure = Departure {
        id: "t1".into(),
        incarnation: 0,
    };
    followers[0]
        .router
        .merge_departures(std::slice::from_ref(&departure));
    for node in followers.iter().chain([&leader]) {
        wait_until(|| node.router.fleet().unlisted_departures() == [departure.clone()]).await;
    }
}
