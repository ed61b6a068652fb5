//! Guards against instances that do not agree on the use of a limit: the owner unreachable, other instances that
//! know a newer limit, and callers that leave while they wait.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    catalog::RepeatPolicy,
    forward::{Error, Instance, PermitPeers, Router},
    futures::{FutureExt, future::BoxFuture},
    ratelimit::{Permit, PermitQuery, PermitReply},
    std::{sync::Arc, time::Duration},
    support::{CallerRequest, TestRouter, TestTarget, ready, setup, signed, target},
    tracing_mutex::stdsync::Mutex,
    wire::hyper::{StatusCode, header::HeaderValue},
};

/// The other instance, which owns all limits.
#[derive(Default)]
struct Owner {
    queries: Mutex<Vec<PermitQuery>>,
    /// Reply to all queries; none while it does not answer.
    reply: Mutex<Option<PermitReply>>,
}

impl Owner {
    fn set_reply(&self, permit: Permit, rate_per_s: Option<f64>) {
        *self.reply.lock().unwrap() = Some(PermitReply {
            announcement_age: Duration::ZERO,
            permit: Some(permit),
            rate_per_s,
        });
    }

    fn queries(&self) -> Vec<PermitQuery> {
        self.queries.lock().unwrap().clone()
    }
}

impl PermitPeers for Owner {
    fn ask(&self, _: &Instance, query: PermitQuery) -> BoxFuture<'_, Result<PermitReply, Error>> {
        self.queries.lock().unwrap().push(query);
        let reply = self.reply.lock().unwrap().clone();
        async move { reply.ok_or_else(|| Error::Unknown("silent".into())) }.boxed()
    }
}

/// Target that limits its requests to 2 per second.
async fn limited() -> TestTarget {
    target(|request| {
        let mut response = signed(request, wire::text(StatusCode::OK, "limited"));
        let value = HeaderValue::from_static("2");
        response.headers_mut().insert("x-rate-limit", value);
        ready(response)
    })
    .await
}

/// Starts a router that knows one other instance, which owns all limits, and lets it learn of the limit.
async fn router_with_owner(target: &TestTarget) -> (TestRouter, Arc<Owner>) {
    let router = setup(RepeatPolicy::Once, &[target]).start().await;
    let owner = Arc::new(Owner::default());
    owner.set_reply(Permit::Granted(Duration::ZERO), Some(2.0));
    router.router.permits().set_peers(owner.clone());
    let instance = Instance {
        address: ([127, 0, 0, 1], 1).into(),
        domain: "a".into(),
        id: "owner".into(),
    };
    router.router.set_instances(vec![instance]);
    assert_eq!(status(&router).await, StatusCode::OK);
    (router, owner)
}

async fn status(router: &TestRouter) -> StatusCode {
    router.send(CallerRequest::default()).await.0
}

fn query(router: &Router, rate_per_s: Option<f64>, age: Duration) -> PermitReply {
    router.answer_permit(&PermitQuery {
        announcement_age: age,
        incarnation: 0,
        max_wait: Duration::ZERO,
        rate_per_s,
        target: "t0".into(),
        wants_permit: true,
    })
}

#[tokio::test]
async fn owner_decides_whether_a_request_is_sent() {
    let limited = limited().await;
    let (router, owner) = router_with_owner(&limited).await;
    owner.set_reply(Permit::Granted(Duration::ZERO), Some(2.0));
    for _ in 0..20 {
        assert_eq!(status(&router).await, StatusCode::OK);
    }
    owner.set_reply(Permit::Denied(Duration::from_secs(7)), Some(2.0));
    let (refused, headers, _) = router.send(CallerRequest::default()).await;
    assert_eq!(refused, StatusCode::SERVICE_UNAVAILABLE);
    let seconds: f64 = headers["retry-after"].to_str().unwrap().parse().unwrap();
    assert!((6.5..=8.0).contains(&seconds), "{seconds}");
    assert_eq!(limited.ids().len(), 21);
    // A denial is remembered.
    let count = owner.queries().len();
    assert_eq!(status(&router).await, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(owner.queries().len(), count);
}

#[tokio::test]
async fn limit_is_not_exceeded_while_its_owner_does_not_answer() {
    let limited = limited().await;
    let (router, owner) = router_with_owner(&limited).await;
    *owner.reply.lock().unwrap() = None;
    let started_at = clock::now();
    for _ in 0..20 {
        status(&router).await;
    }
    let allowed = 2.0 * 1.5 * (clock::now() - started_at).as_secs_f64() + 5.0;
    let count = limited.ids().len();
    assert!(count as f64 <= allowed, "{count}");
    // It is not asked again for each request.
    assert!(owner.queries().len() <= 4, "{}", owner.queries().len());
}

/// Guards against a limit that only some instances know to have ended.
#[tokio::test]
async fn instance_learns_from_the_owner_that_a_limit_has_ended() {
    let limited = limited().await;
    let (router, owner) = router_with_owner(&limited).await;
    owner.set_reply(Permit::Denied(Duration::from_secs(60)), None);
    assert_eq!(status(&router).await, StatusCode::OK);
}

#[tokio::test]
async fn owner_is_told_of_a_new_limit_without_a_request_for_a_permit() {
    let limited = limited().await;
    let (_router, owner) = router_with_owner(&limited).await;
    let reported = async {
        while owner.queries().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(support::LIMIT, reported)
        .await
        .unwrap();
    let query = owner.queries().remove(0);
    assert_eq!((query.rate_per_s, query.wants_permit), (Some(2.0), false));
    assert_eq!(&*query.target, "t0");
}

/// Guards against an owner that applies an older limit than the one that another instance knows.
#[tokio::test]
async fn owner_uses_the_later_one_of_two_limits() {
    let limited = limited().await;
    let router = setup(RepeatPolicy::Once, &[&limited]).start().await.router;
    let long_ago = Duration::from_secs(30).min(clock::now() / 2);
    assert_eq!(
        query(&router, Some(4.0), Duration::ZERO).rate_per_s,
        Some(4.0)
    );
    assert_eq!(query(&router, Some(9.0), long_ago).rate_per_s, Some(4.0));
    assert_eq!(query(&router, None, Duration::ZERO).rate_per_s, None);
}

/// Guards against two owners that give out the whole limit each after the list of instances has changed.
#[tokio::test]
async fn instance_that_is_not_the_owner_gives_out_no_permit() {
    let limited = limited().await;
    let (router, _) = router_with_owner(&limited).await;
    let reply = query(&router.router, Some(2.0), Duration::ZERO);
    assert_eq!(reply.permit, None);
}

/// Guards against a malformed reply of another instance that ends the process or holds a request for ever.
#[tokio::test]
async fn reply_with_an_endless_wait_is_survived() {
    let limited = limited().await;
    let (router, owner) = router_with_owner(&limited).await;
    for permit in [
        Permit::Granted(Duration::MAX),
        Permit::Denied(Duration::MAX),
    ] {
        owner.set_reply(permit, Some(2.0));
        let answer = tokio::time::timeout(support::LIMIT, status(&router)).await;
        assert_eq!(answer, Ok(StatusCode::SERVICE_UNAVAILABLE));
    }
    owner.set_reply(Permit::Granted(Duration::ZERO), Some(f64::NAN));
    let answer = tokio::time::timeout(support::LIMIT, status(&router)).await;
    assert!(answer.is_ok());
    let reply = query(&router.router, Some(f64::INFINITY), Duration::MAX);
    assert_eq!(reply.permit, None);
}
