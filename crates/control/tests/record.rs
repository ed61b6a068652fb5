//! Single failures of the record of non-repeatable calls: store outages, lost replies, pauses,
//! restarts and full memory.

#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    control::{Command, OwnerStatus, RecordEffect, RecordSettings},
    std::time::Duration,
    support::{
        heartbeat, members, ms,
        records::{Instance, done, id, is_not_run, outcome, refusal, start, submission},
        table::Table,
    },
    types::{CallOutcome, StoreFailure},
    yare::parameterized,
};

/// Guards against a dispatch before the claim is durable or after the dispatch window.
#[test]
fn dispatch_needs_a_durable_claim_and_an_open_window() {
    let (mut a, mut table) = start();
    assert_eq!(a.submit("r", "k"), []);
    assert!(!a.records.may_dispatch(a.context.now, &id("r")));
    assert_eq!(
        a.exchange(&mut table),
        [RecordEffect::ClaimConfirmed { request: id("r") }]
    );
    assert!(a.records.may_dispatch(ms(2_000), &id("r")));
    assert!(!a.records.may_dispatch(ms(2_001), &id("r")));
}

/// Guards against a dispatch by a process that was paused between its claim and the reply.
#[test]
fn paused_owner_answers_not_run_and_frees_the_key() {
    let (mut a, mut table) = start();
    a.submit("r", "k");
    a.context.now += ms(2_500);
    assert!(is_not_run(&a.exchange(&mut table)));
    assert_eq!(table.field("call/shop/k", "state"), "\"not_run\"");
    a.submit("r2", "k");
    assert_eq!(
        a.exchange(&mut table),
        [RecordEffect::ClaimConfirmed { request: id("r2") }]
    );
}

/// Guards against callers that wait for a claim that the store refuses.
#[test]
fn outage_before_the_claim_is_refused_at_once() {
    let mut a = Instance::new("a", RecordSettings::default());
    a.submit("r", "k");
    let (ticket, _) = a.sent().remove(0);
    assert!(is_not_run(&a.fail(ticket, StoreFailure::Unavailable)));
    assert_eq!(a.records.count(), 0);
}

/// Guards against losing a claim that took effect although its reply was lost.
#[parameterized(took_effect = { true }, did_not = { false })]
fn lost_reply_is_read_back(took_effect: bool) {
    let (mut a, mut table) = start();
    a.submit("r", "k");
    let (ticket, request) = a.sent().remove(0);
    if took_effect {
        table.run(&request);
    }
    a.fail(ticket, StoreFailure::Ambiguous);
    assert_eq!(
        a.exchange(&mut table),
        [RecordEffect::ClaimConfirmed { request: id("r") }]
    );
}

/// Guards against the loss of an outcome when the store is down after the dispatch.
#[test]
fn outage_after_dispatch_delays_only_the_row() {
    let (mut a, mut table) = start();
    a.submit("r", "k");
    a.exchange(&mut table);
    let effects = a.records.call_completed(&mut a.context, &id("r"), done());
    assert_eq!(outcome(&effects), CallOutcome::Ran(done()));
    a.tick(ms(10));
    for _ in 0..5 {
        for (ticket, _) in a.sent() {
            a.fail(ticket, StoreFailure::Unavailable);
        }
        a.tick(ms(3_000));
    }
    a.exchange(&mut table);
    assert_eq!(table.field("call/shop/k", "state"), "\"ran\"");
}

/// Guards against the loss of the other outcomes of a batch when one of them has a conflict.
#[test]
fn conflicting_batch_falls_back_to_single_writes() {
    let (mut a, mut table) = start();
    for key in ["k1", "k2", "k3"] {
        a.submit(key, key);
        a.exchange(&mut table);
        a.records.call_completed(&mut a.context, &id(key), done());
    }
    assert_eq!(a.records.flush_at(), Some(ms(10)));
    // Another instance took this process to be gone and marked its claim as unknown.
    let (key, mut row) = table
        .rows
        .get_key_value("call/shop/k2")
        .map(|(key, row)| (key.clone(), row.clone()))
        .unwrap();
    row.value = row.value.replace("started", "unknown").into();
    row.version += 100;
    table.rows.insert(key, row);
    a.tick(ms(10));
    assert_eq!(a.context.commands.len(), 1);
    a.exchange(&mut table);
    a.tick(ms(50));
    a.exchange(&mut table);
    for key in ["call/shop/k1", "call/shop/k2", "call/shop/k3"] {
        assert_eq!(table.field(key, "state"), "\"ran\"");
    }
}

/// Guards against an owner that overwrites another instance's claim. The owner wrote `not_run`, and
/// before it learned of the success the other instance claimed the key.
#[test]
fn overtaken_not_run_does_not_claim_over_another() {
    let (mut a, mut table) = start();
    let mut b = Instance::new("bb", RecordSettings::default());
    a.submit("r1", "k");
    a.exchange(&mut table);
    a.records.call_not_run(&mut a.context, &id("r1"), refusal());
    a.tick(ms(10));
    let (ticket, request) = a.sent().remove(0);
    table.run(&request);
    b.submit("r2", "k");
    assert_eq!(
        b.exchange(&mut table),
        [RecordEffect::ClaimConfirmed { request: id("r2") }]
    );
    a.fail(ticket, StoreFailure::Ambiguous);
    a.tick(ms(200));
    a.exchange(&mut table);
    a.submit("r3", "k");
    assert_eq!(a.exchange(&mut table), []);
    assert_eq!(table.field("call/shop/k", "owner"), "\"bb\"");
}

/// Guards against taking a restarted owner for the process that made the claim, and against
/// dropping a reply that arrives late.
#[test]
fn restarted_owner_is_gone_and_a_late_reply_still_counts() {
    let (mut a, mut table) = start();
    let mut b = Instance::new("bb", RecordSettings::default());
    a.submit("r1", "k");
    a.exchange(&mut table);
    b.submit("r2", "k");
    b.exchange(&mut table);
    let mut beat = heartbeat("a");
    beat.incarnation = 2;
    b.members.heartbeat_received(&mut b.context, &beat);
    b.tick(ms(50));
    assert_eq!(outcome(&b.exchange(&mut table)), CallOutcome::Unknown);
    a.records.call_completed(&mut a.context, &id("r1"), done());
    a.tick(ms(10));
    a.exchange(&mut table);
    a.tick(ms(50));
    a.exchange(&mut table);
    assert_eq!(table.field("call/shop/k", "state"), "\"ran\"");
    b.submit("r3", "k");
    assert_eq!(outcome(&b.exchange(&mut table)), CallOutcome::Ran(done()));
}

/// Guards against a caller at another instance that gets no answer although the owner is live.
#[test]
fn live_owner_is_asked_until_the_call_ends() {
    let (mut a, mut table) = start();
    let mut b = Instance::new("bb", RecordSettings::default());
    a.submit("r1", "k");
    a.exchange(&mut table);
    b.submit("r2", "k");
    b.exchange(&mut table);
    for expected in [
        OwnerStatus::Running,
        OwnerStatus::Ended(CallOutcome::Ran(done())),
    ] {
        b.tick(ms(500));
        let asked = b
            .context
            .commands
            .drain(..)
            .find_map(|command| match command {
                Command::AskOwner { query, .. } => Some(query),
                _ => None,
            });
        let status = a.records.owner_status(&asked.unwrap());
        assert_eq!(status, expected);
        let effects = b
            .records
            .owner_answered(&mut b.context, &"a".into(), &id("r2"), status);
        assert_eq!(effects.len(), usize::from(expected != OwnerStatus::Running));
        a.records.call_completed(&mut a.context, &id("r1"), done());
    }
}

/// Guards against one key with two bodies, and against a second run when a key is repeated while
/// its call runs at the same instance.
#[test]
fn repeated_key_waits_and_another_body_is_refused() {
    let (mut a, mut table) = start();
    a.submit("r1", "k");
    a.exchange(&mut table);
    assert_eq!(a.submit("r2", "k"), []);
    let mut other = submission("r3", "k");
    other.body_hash = "other".into();
    let effects = a.records.submit(&mut a.context, &other);
    assert_eq!(outcome(&effects), CallOutcome::KeyMismatch);
    let effects = a.records.call_completed(&mut a.context, &id("r1"), done());
    assert_eq!(effects.len(), 2);
    assert_eq!(outcome(&a.submit("r4", "k")), CallOutcome::Ran(done()));
}

/// Guards against memory that grows without bound, and against eviction of a running call.
#[test]
fn full_memory_refuses_new_calls_and_keeps_running_ones() {
    let settings = RecordSettings {
        max_count: 2,
        ..RecordSettings::default()
    };
    let (mut a, mut table) = (Instance::new("a", settings), Table::default());
    a.submit("r1", "k1");
    a.submit("r2", "k2");
    a.exchange(&mut table);
    assert!(is_not_run(&a.submit("r3", "k3")));
    a.records.call_completed(&mut a.context, &id("r1"), done());
    a.tick(ms(10));
    a.exchange(&mut table);
    assert_eq!(a.submit("r4", "k4"), []);
    assert!(a.records.may_dispatch(a.context.now, &id("r2")));
}

/// Guards against rows that are never deleted, and against deletion of a row before its expiry.
#[test]
fn sweep_deletes_only_expired_rows() {
    let (mut a, mut table) = start();
    a.members = members("a", &["a"], &[]);
    a.submit("r1", "old");
    a.exchange(&mut table);
    a.context.wall += Duration::from_secs(6 * 24 * 3_600);
    a.submit("r2", "new");
    a.exchange(&mut table);
    a.context.wall += Duration::from_secs(26 * 3_600);
    a.tick(ms(60_000));
    a.exchange(&mut table);
    let keys: Vec<&str> = table.rows.keys().map(|key| &**key).collect();
    assert_eq!(keys.len(), 2);
    assert!(keys.iter().all(|key| key.ends_with("new")));
}
