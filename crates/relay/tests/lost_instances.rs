//! Guards against callers that are told of lost instances, and against live instances that callers are no longer
//! told of, while the instances that others follow are lost in series.

mod support;

use {
    bincode::Options,
    reconcile::{Answer, RelayHandler, RelayReply, RelayTree},
    serde::Deserialize,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    support::{
        instance_group::{InstanceGroup, Version},
        leader, node, query, wait_until,
    },
    tokio::time::sleep,
};

/// Time after the loss of an instance from which callers must not be told of it any more.
const FORGET_TIME: Duration = Duration::from_secs(6);
/// Time between the losses of instances that others follow.
const LOSS_INTERVAL: Duration = Duration::from_millis(3_200);
/// Time between checks of all lists.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

fn lists_all(group: &InstanceGroup) -> bool {
    let nodes = group.nodes();
    nodes
        .iter()
        .all(|node| node.router.instances().len() == nodes.len())
}

/// Checks the lists of all instances until `end`.
async fn check_lists(group: &InstanceGroup, lost: &BTreeMap<Arc<str>, Duration>, end: Duration) {
    loop {
        let now = clock::now();
        if now >= end {
            return;
        }
        for node in group.nodes() {
            let listed = node.router.instances();
            for (id, lost_at) in lost {
                let since = now.saturating_sub(*lost_at);
                let is_listed = listed.iter().any(|instance| instance.id == *id);
                assert!(
                    since < FORGET_TIME || !is_listed,
                    "{} names {id}, which was lost {since:?} ago",
                    node.row.id
                );
            }
            for other in group.nodes() {
                assert!(
                    listed.iter().any(|instance| instance.id == other.row.id),
                    "{} does not name {}, which is live",
                    node.row.id,
                    other.row.id
                );
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Loses instances that others follow in series, and checks all lists meanwhile.
async fn lose_sources(group: &mut InstanceGroup, loss_count: u32) {
    wait_until(|| lists_all(group)).await;
    let mut lost = BTreeMap::new();
    for _ in 0..loss_count {
        let source = group.source();
        group.lose(&source);
        let now = clock::now();
        lost.insert(source, now);
        check_lists(group, &lost, now + LOSS_INTERVAL).await;
    }
    check_lists(group, &lost, clock::now() + FORGET_TIME).await;
}

/// Each change of source made the lists of the lost one as new as if they had just been built.
#[tokio::test]
async fn lost_instances_are_forgotten_and_live_ones_are_not_while_leaders_are_lost() {
    let mut group = InstanceGroup::default();
    for number in 0..9 {
        let domain = ["a", "b", "c"][number % 3];
        group.start(&format!("i{number}"), domain, Version::Current);
    }
    lose_sources(&mut group, 4).await;
}

/// Lists of an earlier version do not tell when instances were active, and must neither end at once nor be passed on
/// as new.
#[tokio::test]
async fn lists_hold_beside_instances_of_an_earlier_version() {
    let mut group = InstanceGroup::default();
    for number in 0..9 {
        let domain = ["a", "b", "c"][number % 3];
        let version = [Version::Current, Version::Earlier][number % 2];
        group.start(&format!("i{number}"), domain, version);
    }
    lose_sources(&mut group, 2).await;
}

/// Reply as an earlier version decodes it.
#[derive(Deserialize)]
enum EarlierReply {
    Answer(Box<Answer>),
    Redirect(RelayTree),
}

fn encode(reply: &RelayReply) -> Vec<u8> {
    let options = bincode::DefaultOptions::new();
    options.serialize(reply).expect("an encoded reply")
}

/// An answer that an earlier version cannot decode would leave it without a source during an upgrade.
#[tokio::test]
async fn requester_of_an_earlier_version_gets_an_answer_that_it_decodes() {
    let (leader, _task) = leader().await;
    leader.router.set_instances(vec![leader.row.instance()]);
    let requester = node("y", ([127, 0, 0, 1], 1).into());
    let handler = RelayHandler::new(
        leader.router.clone(),
        leader.row.clone(),
        leader.shared.clone(),
        leader.leadership.clone(),
    );
    let undated = handler.answer(query(&requester)).await.expect("a reply");
    let decoded = bincode::DefaultOptions::new().deserialize(&encode(&undated));
    match decoded.expect("a reply of the earlier form") {
        EarlierReply::Answer(answer) => {
            let instances = answer.instances.expect("a list");
            assert_eq!(instances, [leader.row.instance()]);
        }
        EarlierReply::Redirect(tree) => panic!("redirected by {tree:?}"),
    }
    let mut query = query(&requester);
    query.accept_dated_answers();
    let dated = handler.answer(query).await.expect("a reply");
    assert!(matches!(dated, RelayReply::DatedAnswer(_, signs) if signs.ages.len() == 1));
}
