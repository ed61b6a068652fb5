//! Tests of the replica of the operator lists, one failure each.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    control::{Command, ConfigReplica, ConfigSettings, Context, MemberSettings, Members},
    std::sync::Arc,
    support::{context, heartbeat, identity, members, ms, peer_listing, table::Table},
    types::{Change, EditAnswer, OperatorLists, Plan, StoreFailure, StoreReply},
    yare::parameterized,
};

struct Instance {
    config: ConfigReplica,
    context: Context,
    members: Members,
}

impl Instance {
    fn new(members: Members) -> Self {
        let mut config = ConfigReplica::new(ConfigSettings::default());
        config.set_majority(true);
        Self {
            config,
            context: context(1),
            members,
        }
    }

    /// Advances the time by `after` milliseconds and ticks twice. The table answers the requests;
    /// without a table, each of them fails. Returns the other commands.
    fn tick(&mut self, after: u64, mut table: Option<&mut Table>) -> Vec<Command> {
        self.context.now += ms(after);
        let mut others = Vec::new();
        for _ in 0..2 {
            self.config.tick(&mut self.context, &self.members);
            while !self.context.commands.is_empty() {
                for command in std::mem::take(&mut self.context.commands) {
                    let Command::Store { request, ticket } = &command else {
                        others.push(command);
                        continue;
                    };
                    let reply = table.as_mut().map(|table| table.run(request));
                    let result: Result<StoreReply, _> = reply.ok_or(StoreFailure::Unavailable);
                    self.config
                        .store_replied(&mut self.context, *ticket, &result);
                }
            }
        }
        others
    }

    fn edit(&mut self, name: &str, base: Option<u64>, table: &mut Table) -> Vec<Command> {
        let change = put(name);
        self.config
            .edit(&mut self.context, &name.into(), base, change);
        self.tick(0, Some(table))
    }
}

fn put(name: &str) -> Change {
    Change::PutPlan {
        id: name.into(),
        plan: Plan::default(),
    }
}

fn answer(commands: &[Command]) -> EditAnswer {
    let mut answers = commands.iter().filter_map(|command| match command {
        Command::AnswerEdit { answer, .. } => Some(answer.clone()),
        _ => None,
    });
    answers.next().unwrap()
}

fn single_instance() -> Instance {
    Instance::new(members("a", &["a"], &[]))
}

/// Guards against an edit that is pushed late, or answered before it is durable.
#[test]
fn accepted_edit_is_durable_and_pushed_at_once() {
    let mut table = Table::default();
    let mut a = Instance::new(members("a", &["a", "b"], &["b"]));
    a.tick(50, Some(&mut table));
    let commands = a.edit("p", None, &mut table);
    assert_eq!(answer(&commands), EditAnswer::Accepted { version: 1 });
    assert_eq!(&*table.rows["config/head"].value, "1");
    let is_push = |command: &Command| matches!(command, Command::PushChanges { .. });
    assert!(commands.iter().any(is_push));
}

/// Guards against an edit that overwrites one that its operator has not seen, and against a second
/// change by an operation id that is submitted again.
#[test]
fn stale_base_is_a_conflict_and_a_known_operation_is_not_repeated() {
    let mut table = Table::default();
    let mut a = single_instance();
    a.tick(50, Some(&mut table));
    a.edit("p1", Some(0), &mut table);
    let conflict = a.edit("p2", Some(0), &mut table);
    assert_eq!(answer(&conflict), EditAnswer::Conflict { current: 1 });
    let again = a.edit("p1", Some(0), &mut table);
    assert_eq!(answer(&again), EditAnswer::Accepted { version: 1 });
    let mut fresh = single_instance();
    fresh.tick(50, Some(&mut table));
    let elsewhere = fresh.edit("p1", None, &mut table);
    assert_eq!(answer(&elsewhere), EditAnswer::Accepted { version: 1 });
}

/// Guards against an invalid edit in the change log, and against an edit by an instance without a
/// majority.
#[test]
fn invalid_and_minority_edits_change_nothing() {
    let mut table = Table::default();
    let mut a = single_instance();
    a.tick(50, Some(&mut table));
    let change = Change::DeletePlan { id: "none".into() };
    a.config.edit(&mut a.context, &"x".into(), None, change);
    let commands = a.tick(0, Some(&mut table));
    assert!(matches!(answer(&commands), EditAnswer::Invalid { .. }));
    a.config.set_majority(false);
    a.config.edit(&mut a.context, &"y".into(), None, put("p"));
    let commands = a.tick(0, Some(&mut table));
    assert!(matches!(answer(&commands), EditAnswer::Unavailable { .. }));
    assert!(table.rows.is_empty());
}

/// Guards against the write of an edit by an instance that was paused or isolated after it received
/// the edit.
#[test]
fn majority_is_checked_again_before_a_write_is_repeated() {
    let mut table = Table::default();
    let mut a = single_instance();
    a.tick(50, Some(&mut table));
    a.config.edit(&mut a.context, &"p".into(), None, put("p"));
    let sent = std::mem::take(&mut a.context.commands);
    let [Command::Store { ticket, .. }] = sent[..] else {
        panic!("not one request: {sent:?}");
    };
    let lost = Err(StoreFailure::Ambiguous);
    a.config.store_replied(&mut a.context, ticket, &lost);
    a.config.set_majority(false);
    a.tick(1_000, Some(&mut table));
    a.tick(1_000, Some(&mut table));
    assert!(table.rows.is_empty());
    a.config.set_majority(true);
    let commands = a.tick(900, Some(&mut table));
    assert_eq!(answer(&commands), EditAnswer::Accepted { version: 1 });
}

/// Guards against a change log that grows without bound, a joining instance that cannot load a log
/// whose old changes were deleted, and one that applies an old operation id again.
#[test]
fn snapshot_and_trimming_keep_joiners_and_operation_ids() {
    let mut table = Table::default();
    let mut a = single_instance();
    a.tick(50, Some(&mut table));
    for number in 1..=1_400 {
        a.edit(&format!("p{number}"), None, &mut table);
        a.tick(20, Some(&mut table));
    }
    let changes = table
        .rows
        .keys()
        .filter(|key| key.starts_with("config/change/"));
    let count = changes.count();
    assert!((1_024..1_400).contains(&count), "{count}");
    let mut joiner = single_instance();
    joiner.tick(50, Some(&mut table));
    assert!(joiner.config.is_ready());
    assert_eq!(joiner.config.lists(), a.config.lists());
    let again = joiner.edit("p900", None, &mut table);
    assert_eq!(answer(&again), EditAnswer::Accepted { version: 900 });
}

/// Guards against an instance that becomes ready with an old version during an outage of the store,
/// because only a minority of its peers reported one, or because these peers are still joining
/// themselves.
#[parameterized(
    joining_peers = { &[("b", true), ("c", false), ("d", false)], false },
    majority = { &[("b", true), ("c", true)], true },
    minority = { &[("b", true)], false },
)]
fn joining_in_an_outage_needs_ready_peers(heard: &[(&str, bool)], expected: bool) {
    let mut a = Instance::new(members("a", &["a", "b", "c", "d"], &[]));
    for (name, ready) in heard {
        let mut beat = heartbeat(name);
        beat.ready = *ready;
        beat.config_version = if *ready { 3 } else { 0 };
        a.members.heartbeat_received(&mut a.context, &beat);
    }
    let commands = a.tick(50, None);
    let is_fetch = |command: &Command| matches!(command, Command::FetchChanges { .. });
    assert_eq!(commands.iter().any(is_fetch), expected);
    assert!(!a.config.is_ready());
    let lists = OperatorLists {
        version: 3,
        ..OperatorLists::default()
    };
    a.config.lists_received(&mut a.context, &Arc::new(lists));
    a.tick(50, None);
    assert_eq!(a.config.is_ready(), expected);
}

/// Guards against an instance that becomes ready during an outage of the store, before it has read
/// the list of instances.
#[test]
fn joining_in_an_outage_without_a_list_is_not_ready() {
    let members = Members::new(identity("a", 1), MemberSettings::default());
    let mut a = Instance::new(members);
    a.tick(50, None);
    a.tick(5_000, None);
    assert!(!a.config.is_ready());
}

/// Guards against an instance that stays behind its peers while the store is down, or goes back to
/// an older version.
#[test]
fn changes_come_from_a_peer_while_the_store_is_down_and_none_is_reverted() {
    let mut table = Table::default();
    let (mut a, mut b) = (single_instance(), single_instance());
    b.tick(50, Some(&mut table));
    a.tick(50, Some(&mut table));
    for name in ["p1", "p2"] {
        a.edit(name, None, &mut table);
    }
    b.tick(1_000, None);
    assert_eq!(b.config.confirmed_age(b.context.now), ms(1_000));
    let address = "127.0.0.1:1".parse().unwrap();
    b.config
        .peer_version_received(&mut b.context, &"a".into(), address, 2);
    let fetch = b.context.commands.remove(0);
    assert!(matches!(fetch, Command::FetchChanges { after: 0, .. }));
    let records = a.config.changes_since(0).unwrap();
    b.config.changes_received(&mut b.context, &records);
    b.config.changes_received(&mut b.context, &records[..1]);
    let old = Arc::new(OperatorLists::default());
    b.config.lists_received(&mut b.context, &old);
    assert_eq!(b.config.lists(), a.config.lists());
}

/// Guards against a rate of range reads above the limit of the store: at 410 instances each one
/// reads every 2.05 s.
#[test]
fn read_period_grows_with_the_number_of_instances() {
    let mut members = Members::new(identity("a", 1), MemberSettings::default());
    let listings = (0..410).map(|number| peer_listing(&format!("i{number}")));
    let own = peer_listing("a");
    let all = listings.take(409).chain([own]).collect();
    members.listing_read(&mut context(0), all);
    let mut a = Instance::new(members);
    let mut table = Table::default();
    a.tick(50, Some(&mut table));
    for (after, confirmed_age) in [(2_049, 2_049), (1, 0)] {
        a.tick(after, Some(&mut table));
        assert_eq!(a.config.confirmed_age(a.context.now), ms(confirmed_age));
    }
}
