//! Guards against callers that are told to use one instance only: an instance that had stood still took all others for
//! dead, although they had no time to report since.

mod support;

use {
    forward::{Error, Instance},
    futures::{FutureExt, future::BoxFuture},
    reconcile::{
        InstanceRow, LeaderRow, LeaderTable, LeaderView, RelayHandler, follow_instances,
        observe_time, run_leadership,
    },
    std::{sync::Arc, time::Duration},
    support::{Node, leader, node, query},
    tokio::time::sleep,
};

/// Longer than the time without a report after which an instance counts as dead.
const FREEZE_TIME: Duration = Duration::from_millis(3_700);

/// Table without a leader, which cannot be written.
struct EmptyTable;

impl LeaderTable for EmptyTable {
    fn read(&mut self) -> BoxFuture<'_, Result<LeaderView, Error>> {
        async { Ok(LeaderView::default()) }.boxed()
    }

    fn write(&mut self, _: LeaderRow, _: u64) -> BoxFuture<'_, Result<Option<u64>, Error>> {
        async { Ok(None) }.boxed()
    }
}

fn lists_other(node: &Node) -> bool {
    let listed: Vec<Instance> = node.router.instances();
    listed.iter().any(|instance| &*instance.id == "other")
}

#[tokio::test]
async fn others_stay_listed_until_they_had_time_to_report() {
    let node = node("own", ([127, 0, 0, 1], 1).into());
    let other = InstanceRow {
        id: "other".into(),
        start: "other.1".into(),
        ..node.row.clone()
    };
    node.shared
        .with_membership(|members| members.record_contact(clock::now(), other));
    tokio::spawn(observe_time(node.shared.clone()));
    tokio::spawn(follow_instances(
        node.router.clone(),
        node.row.clone(),
        Arc::clone(&node.shared),
        node.leadership.clone(),
    ));
    tokio::spawn(run_leadership(
        node.router.clone(),
        Box::new(EmptyTable),
        node.row.clone(),
        Arc::clone(&node.shared),
        node.leadership.clone(),
    ));
    support::wait_until(|| lists_other(&node)).await;
    // Blocks the only thread, so that no part of the instance runs.
    std::thread::sleep(FREEZE_TIME);
    sleep(Duration::from_millis(600)).await;
    assert!(lists_other(&node), "dropped before it could report");
    support::wait_until(|| !lists_other(&node)).await;
}

/// A leader that had stood still read queries that had arrived meanwhile, and took their senders for active although
/// they had been lost since.
#[tokio::test]
async fn queries_read_after_waking_do_not_make_their_senders_look_active() {
    let (leader, _task) = leader().await;
    let handler = RelayHandler::new(
        leader.router.clone(),
        leader.row.clone(),
        leader.shared.clone(),
        leader.leadership.clone(),
    );
    tokio::spawn(observe_time(leader.shared.clone()));
    sleep(Duration::from_millis(300)).await;
    std::thread::sleep(FREEZE_TIME);
    let mut lost = query(&node("lost", ([127, 0, 0, 1], 1).into()));
    lost.wait = Duration::ZERO;
    handler.answer(lost).await.expect("a reply");
    let silence = leader
        .shared
        .with_membership(|members| members.silence(clock::now(), "lost"));
    let silence = silence.expect("a sender");
    assert!(silence >= FREEZE_TIME, "active {silence:?} ago");
}
