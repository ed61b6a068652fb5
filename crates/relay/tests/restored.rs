//! Guards against an older copy of the configuration that confirms a newer one: keys that were withdrawn in a version
//! that an instance has not seen would stay valid.

mod support;

use {
    catalog::{Catalog, CatalogParts},
    forward::Error,
    futures::{FutureExt, future::BoxFuture},
    reconcile::{CatalogRead, CatalogSource, follow_catalog},
    std::{sync::Arc, time::Duration},
    support::{Node, follow, leader, node, publish, version, wait_until},
    tokio::time::{sleep, timeout},
};

const LIMIT: Duration = Duration::from_secs(20);
/// Time within which an instance would confirm its configuration.
const SHORT_TIME: Duration = Duration::from_millis(500);

/// Store that holds one version of the configuration.
struct Source(u64);

impl CatalogSource for Source {
    fn read(&mut self, _: Duration) -> BoxFuture<'_, Result<CatalogRead, Error>> {
        let parts = CatalogParts {
            version: self.0,
            ..CatalogParts::default()
        };
        let read = CatalogRead {
            catalog: Some(Arc::new(Catalog::new(parts))),
            era: 0,
            is_current: true,
            sent_at: clock::now(),
            version: self.0,
        };
        async move {
            sleep(Duration::from_millis(10)).await;
            Ok(read)
        }
        .boxed()
    }
}

fn confirmed_at(node: &Node) -> Option<Duration> {
    node.router.catalog().confirmed_at()
}

/// Whether the configuration is confirmed after `before` within a while.
async fn is_confirmed_again(node: &Node, before: Option<Duration>, limit: Duration) -> bool {
    let again = async {
        while confirmed_at(node) <= before {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(limit, again).await.is_ok()
}

#[tokio::test]
async fn read_of_an_older_copy_does_not_confirm_the_configuration() {
    let node = node("a", ([127, 0, 0, 1], 1).into());
    publish(&node, 5);
    let before = confirmed_at(&node);
    let copy = Box::new(Source(4));
    let shared = node.shared.clone();
    let reading = tokio::spawn(follow_catalog(node.router.clone(), copy, shared.clone()));
    assert!(!is_confirmed_again(&node, before, SHORT_TIME).await);
    assert_eq!(version(&node), 5);
    reading.abort();
    // The operator has written it again.
    let written = Box::new(Source(5));
    tokio::spawn(follow_catalog(node.router.clone(), written, shared));
    assert!(is_confirmed_again(&node, before, LIMIT).await);
}

#[tokio::test]
async fn leader_with_an_older_copy_does_not_confirm_the_configuration() {
    let (leader, _task) = leader().await;
    let node = node("b", ([127, 0, 0, 1], 1).into());
    publish(&node, 5);
    let before = confirmed_at(&node);
    // Longer than the time by which a confirmation is dated back on its way.
    sleep(Duration::from_millis(100)).await;
    publish(&leader, 1);
    follow(&node, &leader);
    assert!(!is_confirmed_again(&node, before, SHORT_TIME).await);
    assert_eq!(version(&node), 5);
    publish(&leader, 5);
    assert!(is_confirmed_again(&node, before, LIMIT).await);
}

/// Guards against an instance that starts before the operator has written again, and accepts keys that were
/// withdrawn after the copy.
#[tokio::test]
async fn started_instance_does_not_use_the_copy_while_another_one_knows_better() {
    let (leader, _task) = leader().await;
    publish(&leader, 5);
    let node = node("b", ([127, 0, 0, 1], 1).into());
    node.shared
        .with_store_trust(|trust| trust.record_leader_row(clock::now(), false));
    let copy = Box::new(Source(4));
    let reading = follow_catalog(node.router.clone(), copy, node.shared.clone());
    tokio::spawn(reading);
    sleep(SHORT_TIME).await;
    assert_eq!(version(&node), 0, "the copy is in use");
    follow(&node, &leader);
    wait_until(|| version(&node) == 5).await;
}

/// Guards against instances that never serve because no other one has a configuration.
#[tokio::test]
async fn copy_is_used_when_no_instance_knows_better() {
    let node = node("b", ([127, 0, 0, 1], 1).into());
    node.shared
        .with_store_trust(|trust| trust.record_leader_row(clock::now(), false));
    let copy = Box::new(Source(4));
    tokio::spawn(follow_catalog(
        node.router.clone(),
        copy,
        node.shared.clone(),
    ));
    wait_until(|| version(&node) == 4).await;
}
