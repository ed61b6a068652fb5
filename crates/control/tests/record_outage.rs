//! Keys that are submitted again while the store is down: peers are asked for the outcome.

#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    control::{CallQuery, Command, OwnerStatus, RecordEffect, RecordSettings},
    support::{
        ms,
        records::{Instance, done, id, is_not_run, outcome},
        table::Table,
    },
    types::{CallOutcome, RefusalKind, StoreFailure},
    yare::parameterized,
};

/// Instance `a`, which claimed the key `k` and may dispatch it, and instance `bb`, which has `a` as
/// a peer and does not know the key.
fn claimed_at_a() -> (Instance, Instance) {
    let mut a = Instance::new("a", RecordSettings::default());
    a.submit("r1", "k");
    a.exchange(&mut Table::default());
    let mut b = Instance::new("bb", RecordSettings::default());
    b.tick(ms(50));
    b.exchange(&mut Table::default());
    (a, b)
}

/// Submits the key at an instance whose store refuses the claim.
fn submit_in_outage(b: &mut Instance) -> Vec<RecordEffect> {
    assert_eq!(b.submit("r2", "k"), []);
    let (ticket, _) = b.sent().remove(0);
    let result = Err(StoreFailure::Unavailable);
    let replied = b.records.store_replied(&mut b.context, ticket, &result);
    replied.unwrap()
}

/// Passes the questions of `b` to `a` and the answers back.
fn ask(a: &Instance, b: &mut Instance) -> Vec<RecordEffect> {
    let mut effects = Vec::new();
    for command in std::mem::take(&mut b.context.commands) {
        let Command::AskOwner {
            owner,
            query,
            request,
            ..
        } = command
        else {
            continue;
        };
        assert_eq!((&*owner, &request), ("a", &id("r2")));
        let status = a.records.owner_status(&query);
        let (records, context) = (&mut b.records, &mut b.context);
        effects.extend(records.owner_answered(context, &owner, &request, status));
    }
    effects
}

/// Guards against the answer `not run` for a key that ran at a live peer.
#[parameterized(
    ran = { CallOutcome::Ran(done()) },
    unknown = { CallOutcome::Unknown },
)]
fn outcome_at_a_live_peer_is_the_answer(expected: CallOutcome) {
    let (mut a, mut b) = claimed_at_a();
    match &expected {
        CallOutcome::Ran(reply) => {
            a.records
                .call_completed(&mut a.context, &id("r1"), reply.clone())
        }
        _ => a.records.call_lost(&mut a.context, &id("r1")),
    };
    assert_eq!(submit_in_outage(&mut b), []);
    assert_eq!(outcome(&ask(&a, &mut b)), expected);
    assert_eq!(b.context.unexpected_count, 0);
}

/// Guards against the answer `not run` for a key that still runs at a live peer, and against an
/// endless wait when that peer is lost.
#[parameterized(
    completes = { true, CallOutcome::Ran(done()) },
    is_lost = { false, CallOutcome::Unknown },
)]
fn running_call_at_a_live_peer_is_followed(completes: bool, expected: CallOutcome) {
    let (mut a, mut b) = claimed_at_a();
    submit_in_outage(&mut b);
    assert_eq!(ask(&a, &mut b), []);
    assert_eq!(b.tick(ms(300)), []);
    match completes {
        false => a = Instance::new("a", RecordSettings::default()),
        true => {
            a.records.call_completed(&mut a.context, &id("r1"), done());
        }
    }
    assert_eq!(b.tick(ms(200)), []);
    assert_eq!(outcome(&ask(&a, &mut b)), expected);
    assert_eq!(b.context.unexpected_count, 0);
}

/// Guards against a refusal that does not name the store as its cause, and against one that comes
/// later than `ask_max_ms`.
#[test]
fn unknown_key_is_refused_when_no_peer_knows_it_or_answers() {
    let (_, mut b) = claimed_at_a();
    let stranger = Instance::new("a", RecordSettings::default());
    submit_in_outage(&mut b);
    let refused = outcome(&ask(&stranger, &mut b));
    let CallOutcome::NotRun(refusal) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(refusal.kind, RefusalKind::StoreUnavailable);
    let (_, mut b) = claimed_at_a();
    submit_in_outage(&mut b);
    assert_eq!(b.tick(ms(199)), []);
    assert!(is_not_run(&b.tick(ms(1))));
}

/// Guards against a wait for answers when there are no peers to ask.
#[test]
fn instance_without_peers_refuses_at_once() {
    let mut alone = Instance::new("bb", RecordSettings::default());
    assert!(is_not_run(&submit_in_outage(&mut alone)));
}

/// Guards against a peer that answers a submission with the result of another body.
#[test]
fn other_body_is_a_mismatch_at_the_peer_too() {
    let (a, _) = claimed_at_a();
    let query = CallQuery::Key {
        body_hash: "other".into(),
        key: "call/shop/k".into(),
    };
    let status = a.records.owner_status(&query);
    assert_eq!(status, OwnerStatus::Ended(CallOutcome::KeyMismatch));
}

/// Guards against the answer `not run` when the reply to a claim was lost and the row cannot be
/// read.
#[test]
fn unreadable_row_after_a_lost_reply_is_asked_for_at_peers() {
    let (mut a, mut b) = claimed_at_a();
    a.records.call_completed(&mut a.context, &id("r1"), done());
    b.submit("r2", "k");
    for failure in [StoreFailure::Ambiguous, StoreFailure::Unavailable] {
        let (ticket, _) = b.sent().remove(0);
        assert_eq!(b.fail(ticket, failure), []);
    }
    assert_eq!(outcome(&ask(&a, &mut b)), CallOutcome::Ran(done()));
}
