//! Guards against requests that reach a service or run for an account that the configuration does
//! not name.

use {
    catalog::{Account, Backend, Catalog, CatalogParts, LatestCatalog, RepeatPolicy, Route},
    std::{sync::Arc, time::Duration},
    yare::parameterized,
};

fn route(name: &str, path_prefix: &str) -> Route {
    Route {
        attempt_count: 2,
        backends: vec![Backend {
            service: name.into(),
            weight: 1,
        }],
        gap_goal: None,
        host: "a.example".into(),
        is_public: false,
        latency_goal: Duration::from_millis(100),
        name: name.into(),
        path_prefix: path_prefix.into(),
        rank: 0,
        repeat: RepeatPolicy::Once,
        time_limit: Duration::from_secs(1),
    }
}

fn catalog(version: u64) -> Catalog {
    Catalog::new(CatalogParts {
        accounts: Some(vec![Account {
            keys: vec!["old".into(), "new".into()],
            name: "office".into(),
            rank: Some(1),
        }]),
        routes: vec![route("wide", "/a/"), route("narrow", "/a/b/")],
        version,
        ..CatalogParts::default()
    })
}

#[parameterized(
    longest = { "a.example", "/a/b/c", Some("narrow") },
    shorter = { "a.example", "/a/x", Some("wide") },
    prefix_without_slash = { "a.example", "/ab", None },
    other_host = { "b.example", "/a/x", None },
    other_path = { "a.example", "/x", None },
)]
fn longest_matching_prefix_is_selected(host: &str, path: &str, expected: Option<&str>) {
    let catalog = catalog(1);
    let route = catalog.route(host, path).map(|route| &*route.name);
    assert_eq!(route, expected);
}

#[parameterized(
    no_accounts = { &[], 2 },
    account_without_a_rank = { &[None], 2 },
    more_urgent_account = { &[None, Some(1)], 1 },
    less_urgent_accounts_only = { &[Some(5), Some(4)], 4 },
)]
fn most_urgent_rank_considers_accounts_and_routes(ranks: &[Option<u32>], expected: u32) {
    let accounts = ranks.iter().map(|rank| Account {
        keys: Vec::new(),
        name: "office".into(),
        rank: *rank,
    });
    let ranked = |name, rank| Route {
        backends: vec![Backend {
            service: "s".into(),
            weight: 1,
        }],
        rank,
        ..route(name, "/")
    };
    let catalog = Catalog::new(CatalogParts {
        accounts: Some(accounts.collect()),
        routes: vec![ranked("one", 3), ranked("other", 2)],
        ..CatalogParts::default()
    });
    assert_eq!(catalog.most_urgent_rank("s"), expected);
}

#[test]
fn each_current_key_identifies_the_account() {
    let catalog = catalog(1);
    for key in ["old", "new"] {
        assert_eq!(&*catalog.account(key).unwrap().name, "office");
    }
    assert!(catalog.account("gone").is_none());
}

#[parameterized(
    first = { 0.0, "a" },
    within_first = { 0.89, "a" },
    second = { 0.91, "b" },
    end = { 1.0, "b" },
)]
fn backend_is_selected_by_weight(draw: f64, expected: &str) {
    let backend = |service: &str, weight| Backend {
        service: service.into(),
        weight,
    };
    let route = Route {
        backends: vec![backend("a", 90), backend("b", 10), backend("off", 0)],
        ..route("split", "/")
    };
    assert_eq!(&**route.service(draw).unwrap(), expected);
}

#[test]
fn older_catalog_never_replaces_a_newer_one() {
    let mut latest = LatestCatalog::default();
    assert!(latest.offer(Arc::new(catalog(7))));
    assert!(
        !latest.offer(Arc::new(catalog(6))),
        "an older catalog replaced a newer one"
    );
    assert!(!latest.offer(Arc::new(catalog(7))));
    assert_eq!(latest.catalog().unwrap().version(), 7);
}

#[test]
fn freshness_is_measured_from_when_the_read_was_sent() {
    let (limit, sent_at) = (Duration::from_secs(5), Duration::from_secs(100));
    let mut latest = LatestCatalog::default();
    latest.offer(Arc::new(catalog(7)));
    assert!(!latest.is_fresh(sent_at, limit), "never confirmed");
    latest.confirm(7, sent_at);
    assert!(latest.is_fresh(sent_at + Duration::from_millis(4_999), limit));
    assert!(!latest.is_fresh(sent_at + limit, limit));
}

#[test]
fn confirming_an_older_version_does_not_confirm_a_newer_one() {
    let mut latest = LatestCatalog::default();
    latest.offer(Arc::new(catalog(7)));
    latest.confirm(6, Duration::from_secs(100));
    assert_eq!(latest.confirmed_at(), None);
}

#[test]
fn late_confirmation_does_not_reduce_freshness() {
    let mut latest = LatestCatalog::default();
    latest.offer(Arc::new(catalog(7)));
    latest.confirm(7, Duration::from_secs(100));
    latest.confirm(7, Duration::from_secs(90));
    assert_eq!(latest.confirmed_at(), Some(Duration::from_secs(100)));
}
