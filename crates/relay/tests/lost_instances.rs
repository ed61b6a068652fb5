//! Guards against callers that are told of lost instances, and against live instances that callers are no longer
//! told of, while the instances that others follow are lost in series.

mod support;

use {
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    support::{instance_group::InstanceGroup, wait_until},
    tokio::time::sleep,
};

/// Time after the loss of an instance from which callers must not be told of it any more.
const FORGET_TIME: Duration = Duration::from_secs(6);
/// Time between the losses of instances that others follow.
const LOSS_INTERVAL: Duration = Duration::from_millis(3_200);
/// Number of instances that others follow and that are lost after the first instance.
const LOSS_COUNT: u32 = 3;
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

/// Each change of source made the lists of the lost one as new as if they had just been built.
#[tokio::test]
async fn lost_instances_are_forgotten_and_live_ones_are_not_while_leaders_are_lost() {
    let mut group = InstanceGroup::default();
    for number in 0..9 {
        let domain = ["a", "b", "c"][number % 3];
        group.start(&format!("i{number}"), domain, 250);
    }
    wait_until(|| lists_all(&group)).await;
    let mut lost = BTreeMap::new();
    for _ in 0..=LOSS_COUNT {
        let source = group.source();
        group.lose(&source);
        let now = clock::now();
        lost.insert(source, now);
        check_lists(&group, &lost, now + LOSS_INTERVAL).await;
    }
    check_lists(&group, &lost, clock::now() + FORGET_TIME).await;
}
