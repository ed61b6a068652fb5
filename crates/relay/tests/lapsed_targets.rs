//! Guards against targets that stay listed for good: an instance that goes from another one's list to the store did not
//! learn that an entry of that list had lapsed, because it had read past the removal before.

mod support;

use {
    forward::Error,
    futures::{FutureExt, future::BoxFuture},
    reconcile::{RelayedTargets, SharedState, TargetChange, TargetSource, follow_targets},
    std::{sync::Arc, time::Duration},
    support::{node, target, wait_until},
    tokio::time::sleep,
};

/// Store that lists one target, and whose changes since the last read are none.
#[derive(Default)]
struct Source {
    has_read: bool,
}

impl TargetSource for Source {
    fn read(&mut self, _: Duration) -> BoxFuture<'_, Result<TargetChange, Error>> {
        let change = match std::mem::replace(&mut self.has_read, true) {
            false => TargetChange::All(vec![target("left")]),
            true => TargetChange::Some(Vec::new(), Vec::new()),
        };
        async move {
            sleep(Duration::from_millis(10)).await;
            Ok(change)
        }
        .boxed()
    }

    fn restart(&mut self) {
        self.has_read = false;
    }

    fn era(&self) -> Option<u64> {
        Some(0)
    }
}

fn lists(shared: &SharedState, id: &str) -> bool {
    shared.targets().iter().any(|target| &*target.id == id)
}

#[tokio::test]
async fn lapsed_target_of_a_former_leader_is_dropped() {
    let node = node("a", ([127, 0, 0, 1], 1).into());
    let shared: Arc<SharedState> = node.shared.clone();
    tokio::spawn(follow_targets(
        node.router.clone(),
        Box::new(Source::default()),
        shared.clone(),
    ));
    wait_until(|| lists(&shared, "left")).await;
    // A leader lists a target whose entry lapsed in an outage, and then ends.
    let now = clock::now();
    let change = TargetChange::All(vec![target("lapsed"), target("left")]);
    let relayed = RelayedTargets {
        base_revision: 0,
        change: Some(change),
        confirmed_at: now,
        distance: 1,
        read_at: now,
        revision: 1,
        source: ([127, 0, 0, 1], 2).into(),
    };
    shared.apply_relayed(relayed);
    assert!(lists(&shared, "lapsed"));
    shared.discard_relayed_state();
    wait_until(|| !lists(&shared, "lapsed")).await;
    assert!(lists(&shared, "left"));
}
