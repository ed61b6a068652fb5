//! Tests of membership, one failure each.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    control::{Command, Context, Members},
    support::{
        context, engine_listing, heartbeat, members, mesh::Mesh, ms, peer_listing, run, text,
    },
    types::{
        FailureKind, Heartbeat, Listing, ListingRole, LoadReport, LoadedModel, TargetHealth::*,
        TargetId,
    },
    yare::parameterized,
};

fn listings() -> Vec<Listing> {
    let mut listings: Vec<Listing> = ["a", "b", "c"].map(peer_listing).into();
    listings[2].failure_domain = "b".into();
    for number in 0..6 {
        listings.push(engine_listing(&format!("t{number}"), "a"));
    }
    listings
}

fn mesh() -> Mesh {
    let mut mesh = Mesh::new(listings(), &["t0", "t1", "t2", "t3", "t4", "t5"]);
    for (name, domain) in [("a", "a"), ("b", "a"), ("c", "b")] {
        mesh.start(name, domain);
    }
    mesh.run(4_000);
    mesh
}

/// Ticks until the last of `beats`, with a heartbeat of `b` at each of these times, in
/// milliseconds.
fn receive_heartbeats(members: &mut Members, context: &mut Context, beats: &[u64]) {
    let until = ms(*beats.last().unwrap());
    run(members, context, until, |members, context| {
        if beats.contains(&(context.now.as_millis() as u64)) {
            members.heartbeat_received(context, &heartbeat("b"));
        }
    });
}

fn peer_health(members: &Members) -> types::TargetHealth {
    members.peers().next().unwrap().health
}

/// Guards against members that are removed because the list is empty, or because it lacks a live
/// process.
#[test]
fn empty_or_short_list_removes_no_live_member() {
    let mut mesh = mesh();
    for listings in [Vec::new(), vec![peer_listing("a")]] {
        mesh.listings = listings;
        mesh.run(90_000);
        assert_eq!(mesh.health("t0"), [Live; 3]);
        assert!(
            mesh.instances
                .values()
                .all(|(members, _)| members.peers().count() == 2)
        );
    }
    assert_eq!(mesh.unexpected_count(), 0);
}

/// Guards against a process that is suspect after one missed heartbeat, and against a dead one that
/// counts as live for longer than the bound.
#[test]
fn one_missed_heartbeat_is_tolerated_and_longer_silence_is_not() {
    let (mut members, mut context) = (members("a", &["a", "b"], &["b"]), context(0));
    receive_heartbeats(&mut members, &mut context, &[500, 1_000]);
    run(&mut members, &mut context, ms(1_950), |_, _| {});
    assert_eq!(peer_health(&members), Live);
    receive_heartbeats(&mut members, &mut context, &[2_000, 2_500, 3_000]);
    run(&mut members, &mut context, ms(4_400), |_, _| {});
    assert_eq!(peer_health(&members), Suspect);
    run(&mut members, &mut context, ms(5_500), |_, _| {});
    assert_eq!(peer_health(&members), Down);
    assert!(!members.has_majority(context.now));
}

/// Guards against a process that takes all others for dead after a pause of its own.
#[test]
fn own_pause_does_not_mark_others_as_down() {
    let (mut members, mut context) = (members("a", &["a", "b"], &["b"]), context(0));
    receive_heartbeats(&mut members, &mut context, &[500, 1_000]);
    context.now += ms(30_000);
    run(&mut members, &mut context, ms(31_100), |_, _| {});
    assert_eq!(peer_health(&members), Live);
    // Heartbeats from before the pause do not count towards the majority.
    assert!(!members.has_majority(context.now));
}

/// Guards against a process that gets its full share back after each flap at once.
#[test]
fn steady_interval_doubles_with_each_flap() {
    let (mut members, mut context) = (members("a", &["a", "b"], &["b"]), context(0));
    let mut beats: Vec<u64> = (1..=200).map(|count| count * 500).collect();
    for (flap, steady_ms) in [1_000, 2_000, 4_000].into_iter().enumerate() {
        members.heartbeat_failed(&mut context, &text("b"));
        assert_eq!(peer_health(&members), Suspect, "flap {flap}");
        let start = context.now.as_millis() as u64;
        beats.retain(|beat| *beat > start);
        let recovered = beats[0] + steady_ms;
        receive_heartbeats(
            &mut members,
            &mut context,
            &beats[..beats.iter().position(|beat| *beat >= recovered).unwrap()],
        );
        assert_eq!(peer_health(&members), Suspect, "flap {flap}");
        beats.retain(|beat| *beat > context.now.as_millis() as u64);
        receive_heartbeats(&mut members, &mut context, &beats[..2]);
        assert_eq!(peer_health(&members), Live, "flap {flap}");
    }
}

/// Guards against work for a target that refuses connections, and against a digest of a peer that
/// overrides a collector with current reports of the target.
#[test]
fn refused_connection_makes_a_target_suspect_at_once() {
    let mut mesh = mesh();
    let target = TargetId::from("t0");
    for (members, context) in mesh.instances.values_mut() {
        members.dispatch_failed(context, &target, FailureKind::Refused);
        assert_eq!(members.target(&target).unwrap().health, Live);
        members.dispatch_failed(context, &target, FailureKind::Unreachable);
        assert_eq!(members.target(&target).unwrap().health, Suspect);
    }
    mesh.run(4_000);
    assert_eq!(mesh.health("t0"), [Live; 3]);
}

/// Guards against instances that keep sending work to a dead target.
#[test]
fn collector_tells_all_instances_of_a_dead_target() {
    let mut mesh = mesh();
    mesh.reports.remove("t0");
    mesh.run(5_000);
    assert_eq!(mesh.health("t0"), [Down; 3]);
    assert_eq!(mesh.health("t1"), [Live; 3]);
}

/// Guards against new work for a leaving target more than 3 s after the first instance learned that
/// it leaves, even if the list lags or still shows the target as present, and against a target
/// whose leaving state is withdrawn.
#[parameterized(by_its_report = { true }, by_the_list_of_one = { false })]
fn leaving_reaches_every_instance_within_3_s(is_by_report: bool) {
    let mut mesh = mesh();
    if is_by_report {
        mesh.reports.get_mut("t0").unwrap().leaving = true;
    } else {
        let (members, context) = mesh.instances.get_mut("c").unwrap();
        let mut listings = listings();
        listings[3].leaving = true;
        members.listing_read(context, listings);
    }
    mesh.run(3_000);
    assert_eq!(mesh.health("t0"), [Leaving; 3]);
    mesh.reports.get_mut("t0").unwrap().leaving = false;
    mesh.run(40_000);
    assert_eq!(mesh.health("t0"), [Leaving; 3]);
    // A restarted process with the same id is a new incarnation.
    mesh.reports.get_mut("t0").unwrap().incarnation = 2;
    mesh.run(3_000);
    assert_eq!(mesh.health("t0"), [Live; 3]);
    assert_eq!(mesh.unexpected_count(), 0);
}

/// Guards against a new target that is overloaded at once, and against a restart of this process
/// that reduces the share of every target.
#[test]
fn joiner_ramps_and_known_targets_do_not() {
    let mut mesh = mesh();
    let fraction = |mesh: &Mesh, target: &str| {
        let members = &mesh.instances["a"].0;
        members.target(&target.into()).unwrap().ramp_fraction
    };
    assert_eq!(fraction(&mesh, "t0"), 1.0);
    mesh.listings.push(engine_listing("new", "a"));
    let report = mesh.reports["t0"].clone();
    mesh.reports.insert("new".into(), report);
    mesh.run(7_000);
    let half = fraction(&mesh, "new");
    assert!((0.3..0.8).contains(&half), "{half}");
    mesh.run(6_000);
    assert_eq!(fraction(&mesh, "new"), 1.0);
}

/// Guards against targets that are polled by several instances or by none, and against targets that
/// count as dead because their collector is lost.
#[test]
fn one_near_collector_polls_each_target_and_is_replaced() {
    let mut mesh = mesh();
    mesh.run(10_000);
    let mut owners = Vec::new();
    for number in 0..6 {
        let target = format!("t{number}");
        let polls = mesh
            .polls
            .iter()
            .filter(|((polled, _), _)| *polled == target);
        let polls: Vec<_> = polls.map(|((_, by), count)| (by.clone(), *count)).collect();
        assert_eq!(polls.len(), 1, "{target}");
        assert!(polls[0].0 != "c" && (9..=11).contains(&polls[0].1));
        owners.push(polls[0].0.clone());
    }
    assert!(owners.contains(&"a".into()) && owners.contains(&"b".into()));
    mesh.instances.remove("a");
    for _ in 0..40 {
        mesh.run(200);
        for number in 0..6 {
            assert_eq!(mesh.health(&format!("t{number}")), [Live; 2]);
        }
    }
    let (members, context) = &mesh.instances["c"];
    for target in members.targets() {
        assert!(context.now.saturating_sub(target.reported_at) < ms(2_000));
    }
}

/// Guards against heartbeats that repeat every model, and against a peer that never gets the models
/// because a heartbeat was lost.
#[test]
fn unchanged_models_are_left_out() {
    let (mut members, mut context) = (members("a", &["a", "b"], &["b"]), context(0));
    members.listing_read(
        &mut context,
        vec![
            peer_listing("a"),
            peer_listing("b"),
            engine_listing("t", "a"),
        ],
    );
    let report = LoadReport {
        incarnation: 1,
        models: vec![LoadedModel {
            adapters: Vec::new(),
            layer_count: 8,
            layers: types::LayerRange { start: 0, end: 8 },
            model: "m".into(),
        }],
        ..LoadReport::default()
    };
    let mut sent = |until: u64, has_failure: bool| {
        if has_failure {
            members.heartbeat_failed(&mut context, &text("b"));
        }
        let commands = run(&mut members, &mut context, ms(until), |members, context| {
            let beat = Heartbeat {
                ready: false,
                ..heartbeat("b")
            };
            members.heartbeat_received(context, &beat);
            members.load_received(context, &"t".into(), report.clone());
        });
        let beats = commands.into_iter().filter_map(|command| match command {
            Command::SendHeartbeat { heartbeat, .. } => heartbeat.digests.into_iter().next(),
            _ => None,
        });
        beats.filter(|digest| digest.models.is_some()).count()
    };
    assert_eq!(sent(6_000, false), 1);
    assert_eq!(sent(8_000, false), 0);
    assert_eq!(sent(9_000, true), 1);
}

/// Guards against heartbeats that repeat a load that the peer has, and against a load or health
/// that the peer never gets.
#[test]
fn digests_are_sent_when_new_and_repeated_periodically() {
    let (mut members, mut context) = (members("a", &["a", "b"], &["b"]), context(0));
    let listings = vec![
        peer_listing("a"),
        peer_listing("b"),
        engine_listing("t", "a"),
    ];
    members.listing_read(&mut context, listings);
    let mut sent = |until: u64, interval: u128| {
        let commands = run(&mut members, &mut context, ms(until), |members, context| {
            members.heartbeat_received(context, &heartbeat("b"));
            if context.now.as_millis().is_multiple_of(interval) {
                let report = LoadReport {
                    incarnation: 1,
                    ..LoadReport::default()
                };
                members.load_received(context, &"t".into(), report);
            }
        });
        let beats = commands.into_iter().filter_map(|command| match command {
            Command::SendHeartbeat { heartbeat, .. } => Some(heartbeat.digests),
            _ => None,
        });
        let digests: Vec<_> = beats.flatten().collect();
        let ages: Vec<u32> = digests.iter().map(|digest| digest.age_ms).collect();
        let healths: Vec<_> = digests.iter().map(|digest| digest.health).collect();
        (ages, healths)
    };
    sent(10_000, 1_000);
    let (ages, healths) = sent(20_000, 1_000);
    assert_eq!(ages.len(), 10, "not one digest for each report: {ages:?}");
    assert!(ages.iter().all(|age| *age < 500), "late: {ages:?}");
    assert!(healths.iter().all(|health| *health == Live));
    let (ages, healths) = sent(32_000, 1_000_000);
    assert!(ages.len() >= 5, "not repeated often enough: {ages:?}");
    assert!(ages.len() <= 9, "repeated too often: {ages:?}");
    assert!(healths.contains(&Suspect) && healths.contains(&Down));
}

/// Guards against a minority that takes itself for the majority, and against leaving instances that
/// count in the view.
#[parameterized(
    alone = { &["a"], &[], true },
    half = { &["a", "b"], &[], false },
    minority = { &["a", "b", "c", "d"], &["b"], false },
    more_than_half = { &["a", "b", "c", "d"], &["b", "c"], true },
    unlisted = { &["a", "b"], &["b", "x", "y"], true },
)]
fn majority_of_the_view(listed: &[&str], heard: &[&str], expected: bool) {
    let mut members = members("a", listed, heard);
    assert_eq!(members.has_majority(ms(0)), expected);
    let mut context = context(0);
    for name in listed.iter().chain(heard).filter(|name| **name != "a") {
        let leaving = Heartbeat {
            leaving: true,
            ..heartbeat(name)
        };
        members.heartbeat_received(&mut context, &leaving);
    }
    assert!(members.has_majority(ms(0)));
}

/// Guards against a restarted process that stays unreachable: its first heartbeat or report arrives
/// before the list has its new address, which nothing else provides.
#[test]
fn restarted_process_heard_before_its_row_gets_its_new_address() {
    let mut members = members("a", &["b"], &["b"]);
    let mut context = context(1);
    context.now = ms(10);
    let beat = Heartbeat {
        incarnation: heartbeat("b").incarnation + 1,
        ..heartbeat("b")
    };
    members.heartbeat_received(&mut context, &beat);
    assert!(!members.peers().next().unwrap().accepts_work());
    let mut row = peer_listing("b");
    row.incarnation = beat.incarnation;
    row.address.set_port(4_001);
    row.role = ListingRole::Entry {
        peer_address: ([127, 0, 0, 1], 4_002).into(),
    };
    members.listing_read(&mut context, vec![row]);
    let peer = members.peers().next().expect("b is known");
    assert!(peer.accepts_work());
    assert_eq!(peer.address.port(), 4_001);
    assert_eq!(peer.peer_address.port(), 4_002);
}
