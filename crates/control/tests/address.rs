//! Tests of the order of entry addresses, one failure each.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    control::{AddressAnswer, Members, OwnState, entry_addresses},
    std::collections::BTreeMap,
    support::{context, heartbeat, identity, members, ms},
    types::Heartbeat,
};

fn answers(members: &Members, domain: Option<&str>, count: usize) -> Vec<AddressAnswer> {
    let mut random = context(3).random;
    let domain = domain.map(Into::into);
    let ask = |_| {
        entry_addresses(
            members,
            &identity("a", 1),
            &mut random,
            None,
            domain.as_ref(),
        )
    };
    (0..count).map(ask).collect()
}

fn first_counts(answers: &[AddressAnswer]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for answer in answers {
        *counts
            .entry(answer.addresses[0].instance.to_string())
            .or_default() += 1;
    }
    counts
}

/// View of `a`: `a` has capacity for 30 further requests, `b` for 10 and `c` for none.
fn three_instances() -> Members {
    let mut members = members("a", &["a", "b", "c"], &["b"]);
    let full = Heartbeat {
        spare_count: 0,
        ..heartbeat("c")
    };
    members.heartbeat_received(&mut context(0), &full);
    let own = OwnState {
        ready: true,
        spare_count: 30,
        ..OwnState::default()
    };
    members.tick(&mut context(0), &own);
    members
}

/// Guards against callers that all go to the same instance, or to one without spare capacity.
#[test]
fn order_follows_spare_capacity() {
    let answers = answers(&three_instances(), None, 4_000);
    assert!(answers.iter().all(|answer| answer.addresses.len() == 3));
    let counts = first_counts(&answers);
    assert!((2_800..3_200).contains(&counts["a"]), "{counts:?}");
    assert!((800..1_200).contains(&counts["b"]), "{counts:?}");
    assert!(
        counts.get("c").is_none_or(|count| *count < 60),
        "{counts:?}"
    );
}

/// Guards against callers that all ask again at the same time, and against addresses that stay in
/// use after an instance has left.
#[test]
fn time_to_live_is_jittered_within_its_bounds() {
    let answers = answers(&three_instances(), None, 200);
    let times: Vec<_> = answers.iter().map(|answer| answer.time_to_live).collect();
    assert!(
        times
            .iter()
            .all(|time| (ms(4_000)..=ms(6_000)).contains(time))
    );
    assert!(
        times
            .iter()
            .max()
            .unwrap()
            .saturating_sub(*times.iter().min().unwrap())
            > ms(1_500)
    );
}

/// Guards against new callers at an instance that is leaving or not ready.
#[test]
fn leaving_and_unready_instances_are_left_out() {
    let mut members = three_instances();
    let leaving = Heartbeat {
        leaving: true,
        ..heartbeat("b")
    };
    members.heartbeat_received(&mut context(0), &leaving);
    let unready = Heartbeat {
        ready: false,
        ..heartbeat("c")
    };
    members.heartbeat_received(&mut context(0), &unready);
    assert_eq!(first_counts(&answers(&members, None, 9)).len(), 1);
    let own = OwnState {
        leaving: true,
        ready: true,
        ..OwnState::default()
    };
    members.tick(&mut context(0), &own);
    assert!(answers(&members, None, 1)[0].addresses.is_empty());
}

/// Guards against callers that are sent to another failure domain although their own has an
/// instance.
#[test]
fn instances_in_the_failure_domain_of_the_caller_come_first() {
    let mut members = three_instances();
    let mut remote = support::peer_listing("d");
    remote.failure_domain = "far".into();
    members.listing_read(&mut context(0), vec![remote]);
    members.heartbeat_received(&mut context(0), &heartbeat("d"));
    let counts = first_counts(&answers(&members, Some("far"), 50));
    assert_eq!(counts.get("d"), Some(&50));
}
