//! Guards against requests that crash one target after another, and against harmless requests that are
//! refused as such.

use {
    quarantine::{Quarantine, QuarantineSettings},
    std::time::Duration,
};

const START: Duration = Duration::from_secs(100);

/// Guards against a quarantine record that is lost with the instance that saw the crashes, that never
/// expires because instances report it to each other, or that blocks a request that was cleared.
#[test]
fn quarantine_spreads_to_peers_and_expires() {
    let new = || Quarantine::new(QuarantineSettings::default());
    let (mut first, mut second, mut third) = (new(), new(), new());
    first.record_crash(START, 1, &"e0".into(), 1, false);
    first.record_crash(START, 2, &"e0".into(), 1, false);
    second.record_heartbeat(START, &"first".into(), &first.reports(START));
    assert!(second.is_suspect(START, 2) && second.blocked_for(START, 1).is_none());
    first.record_crash(START, 1, &"e0".into(), 2, true);
    first.clear(2);
    let mut now = START;
    for _ in 0..1_198 {
        let sent = now;
        now += Duration::from_millis(500);
        second.record_heartbeat(now, &"first".into(), &first.reports(sent));
        first.record_heartbeat(now, &"second".into(), &second.reports(sent));
    }
    third.record_heartbeat(now, &"second".into(), &second.reports(now));
    assert!(third.blocked_for(now, 1).is_some() && !third.is_suspect(now, 2));
    now += Duration::from_secs(3);
    for quarantine in [&mut first, &mut second, &mut third] {
        quarantine.tick(now);
        assert!(quarantine.blocked_for(now, 1).is_none());
    }
}

/// Guards against a frequent request that is refused everywhere because copies of it, sent by one
/// instance or by two, were running on several targets of a failure domain that was lost.
#[test]
fn targets_lost_together_do_not_quarantine_a_frequent_request() {
    let new = || Quarantine::new(QuarantineSettings::default());
    let (mut first, mut second) = (new(), new());
    first.record_crash(START, 1, &"e0".into(), 1, false);
    first.record_crash(START, 1, &"e1".into(), 1, false);
    second.record_crash(START, 1, &"e2".into(), 1, false);
    second.record_heartbeat(START, &"first".into(), &first.reports(START));
    assert!(first.blocked_for(START, 1).is_none() && second.blocked_for(START, 1).is_none());
    second.record_crash(START, 1, &"e3".into(), 1, true);
    second.record_crash(START, 1, &"e4".into(), 1, false);
    assert!(
        second.blocked_for(START, 1).is_some(),
        "a late crash report lifts the quarantine"
    );
}

/// Guards against a suspect that is never cleared because the instance that reported it gets its own
/// report back, and against crashes seen by two instances that are not added up.
#[test]
fn reports_for_a_peer_exclude_its_own() {
    let mut leader = Quarantine::new(QuarantineSettings::default());
    let mut follower = Quarantine::new(QuarantineSettings::default());
    follower.record_crash(START, 1, &"e0".into(), 1, false);
    leader.record_heartbeat(START, &"follower".into(), &follower.reports(START));
    assert_eq!(leader.reports_for(START, &"follower".into()), []);
    leader.record_crash(START, 2, &"e1".into(), 1, false);
    let heard = leader.reports_for(START, &"third".into());
    let fingerprints: Vec<u64> = heard.iter().map(|report| report.fingerprint).collect();
    assert_eq!(fingerprints, [1, 2]);
}
