//! Journals: takeover, repeated appends, retention and the memory limit.

use {
    control::{
        AppendAnswer, Holder, JournalAppend, JournalSettings, Journals, TakeAnswer, TakeRequest,
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, RngSeed},
    },
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    types::{InstanceId, Journal},
};

fn journal(request: &str, tokens: &[Arc<str>]) -> Journal {
    Journal {
        account: "lagoon".into(),
        attempt: 1,
        finish: None,
        max_tokens: 100,
        model: "m".into(),
        prompt: "prompt".into(),
        request: request.into(),
        seed: 7,
        tokens: tokens.to_vec(),
    }
}

fn whole(request: &str) -> JournalAppend {
    JournalAppend::Whole {
        epoch: 0,
        journal: journal(request, &[]),
        owner: holder("a"),
    }
}

fn tokens(request: &str, from: u32, tokens: &[Arc<str>]) -> JournalAppend {
    JournalAppend::Tokens {
        attempt: 1,
        finish: None,
        from,
        owner: holder("a"),
        request: request.into(),
        tokens: tokens.to_vec(),
    }
}

fn end(request: &str) -> JournalAppend {
    JournalAppend::End {
        owner: holder("a"),
        request: request.into(),
    }
}

fn live(instance: &str) -> BTreeSet<InstanceId> {
    BTreeSet::from([instance.into()])
}

fn take_request(request: &str, account: &str, owner: &str, taker: &str) -> TakeRequest {
    TakeRequest {
        account: account.into(),
        only_idle: false,
        owner: owner.into(),
        request: request.into(),
        taker: holder(taker),
    }
}

fn holder(instance: &str) -> Holder {
    Holder {
        instance: instance.into(),
        nonce: instance.into(),
    }
}

fn answer(count: u32) -> Vec<Arc<str>> {
    (0..count).map(|index| format!("t{index}").into()).collect()
}

fn config() -> Config {
    Config {
        cases: 256,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x6a6f_7572),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against lost, repeated or reordered tokens if appends are repeated, delayed or lost:
    /// the copy must always be a prefix of the answer.
    #[test]
    fn copy_is_a_prefix_of_the_answer(pieces in prop::collection::vec((0u32..30, 0u32..10), 1..40)) {
        let all = answer(40);
        let mut journals = Journals::new(JournalSettings::default());
        journals.append(Duration::ZERO, whole("r"));
        let mut kept = 0;
        for (from, count) in pieces {
            let piece = &all[from as usize..(from + count) as usize];
            let expected = if from > kept {
                AppendAnswer::Incomplete { next: kept }
            } else {
                kept = kept.max(from + count);
                AppendAnswer::Appended { next: kept }
            };
            prop_assert_eq!(journals.append(Duration::ZERO, tokens("r", from, piece)), expected);
            let held = &journals.get(&"r".into()).expect("journal").tokens;
            prop_assert_eq!(held.as_slice(), &all[..kept as usize]);
        }
    }

    /// Guards against two instances that take over the same stream, and against exceeding the
    /// memory limit.
    #[test]
    fn journal_has_one_taker_and_memory_is_bounded(
        steps in prop::collection::vec((0u8..6, 0u8..6, 0u8..3, 0u64..30_000), 1..80),
    ) {
        let settings = JournalSettings { max_bytes: 2_500, ..JournalSettings::default() };
        let mut journals = Journals::new(settings);
        let mut now = Duration::ZERO;
        let mut holders = std::collections::BTreeMap::new();
        for (kind, request, instance, pause_ms) in steps {
            now += Duration::from_millis(pause_ms);
            journals.expire(now);
            let (request, instance) = (format!("r{request}"), format!("i{instance}"));
            holders.retain(|request: &String, _| {
                journals.get(&request.as_str().into()).is_some()
            });
            match kind {
                0 => { journals.append(now, whole(&request)); }
                1 => { journals.append(now, tokens(&request, 0, &answer(5))); }
                2 => { journals.append(now, end(&request)); }
                3 => journals.mark_orphans(now, &live("b")),
                4 => { journals.open(now, journal(&request, &[]), 0, holder("a")); }
                _ => {
                    let take = take_request(&request, "lagoon", "a", &instance);
                    let answer = journals.take(now, &take);
                    if matches!(answer, TakeAnswer::Given { .. }) {
                        let holder = holders.entry(request).or_insert(instance.clone());
                        prop_assert_eq!(&*holder, &instance);
                    }
                }
            }
            prop_assert!(journals.bytes() <= journals.charged_bytes());
            prop_assert!(journals.charged_bytes() <= settings.max_bytes);
        }
    }
}

/// Guards against an owner that continues to deliver after its stream was taken over, and against a
/// stream that is lost because the reply to the taker was lost.
#[test]
fn takeover_stops_the_old_owner_and_is_idempotent() {
    let mut journals = Journals::new(JournalSettings::default());
    let now = Duration::ZERO;
    journals.append(now, whole("r"));
    let take = |journals: &mut Journals, account: &str, instance| {
        journals.take(now, &take_request("r", account, "a", instance))
    };
    assert_eq!(take(&mut journals, "other", "x"), TakeAnswer::Unknown);
    let first = take(&mut journals, "lagoon", "b");
    assert!(matches!(first, TakeAnswer::Given { .. }));
    assert_eq!(take(&mut journals, "lagoon", "b"), first);
    let by = "b".into();
    assert_eq!(take(&mut journals, "lagoon", "c"), TakeAnswer::Taken { by });
    let by = "b".into();
    let late = journals.append(now, tokens("r", 0, &answer(1)));
    assert_eq!(late, AppendAnswer::Taken { by });
}

/// Guards against a journal that is dropped while its stream runs, or kept forever after its end.
#[test]
fn retention_starts_at_the_end_or_loss_and_an_append_stops_it() {
    let mut journals = Journals::new(JournalSettings::default());
    let second = Duration::from_secs;
    journals.append(second(0), whole("r"));
    journals.expire(second(1_000));
    assert_eq!(journals.count(), 1);
    journals.mark_orphans(second(1_000), &live("a"));
    journals.expire(second(1_500));
    assert_eq!(journals.count(), 1);
    journals.mark_orphans(second(1_000), &live("b"));
    journals.append(second(1_059), tokens("r", 0, &answer(1)));
    journals.expire(second(1_100));
    assert_eq!(journals.count(), 1);
    journals.append(second(1_100), end("r"));
    journals.append(second(1_150), end("r"));
    journals.expire(second(1_159));
    assert_eq!(journals.count(), 1);
    journals.expire(second(1_160));
    assert_eq!((journals.count(), journals.bytes()), (0, 0));
}

/// Guards against a holder that is replaced by a delayed message of an earlier one, and against a
/// taker that cannot continue the stream that it took over.
#[test]
fn delayed_messages_of_earlier_holders_are_rejected() {
    let mut journals = Journals::new(JournalSettings::default());
    let now = Duration::ZERO;
    let adopt = |epoch, instance| JournalAppend::Whole {
        epoch,
        journal: journal("r", &answer(2)),
        owner: holder(instance),
    };
    journals.append(now, whole("r"));
    let TakeAnswer::Given { epoch, .. } =
        journals.take(now, &take_request("r", "lagoon", "a", "b"))
    else {
        panic!("the first taker did not get the journal");
    };
    let by = "b".into();
    assert_eq!(
        journals.append(now, adopt(epoch, "c")),
        AppendAnswer::Taken { by }
    );
    let adopted = AppendAnswer::Appended { next: 2 };
    assert_eq!(journals.append(now, adopt(epoch, "b")), adopted);
    let by = "b".into();
    assert_eq!(journals.append(now, whole("r")), AppendAnswer::Taken { by });
    // A request that arrives late, after its sender was paused, names the previous owner.
    let late = journals.take(now, &take_request("r", "lagoon", "a", "e"));
    let by = "b".into();
    assert_eq!(late, TakeAnswer::Taken { by });
    let taken = journals.take(now, &take_request("r", "lagoon", "b", "e"));
    assert!(matches!(taken, TakeAnswer::Given { .. }));
    assert_eq!(journals.append(now, adopt(epoch + 2, "d")), adopted);
    let by = "d".into();
    assert_eq!(
        journals.append(now, adopt(epoch, "b")),
        AppendAnswer::Taken { by }
    );
}

/// Guards against copies that are kept forever because the last message of a live owner was lost.
#[test]
fn copy_without_new_tokens_is_dropped() {
    let mut journals = Journals::new(JournalSettings::default());
    journals.append(Duration::ZERO, whole("r"));
    let minutes = |count: u64| Duration::from_secs(60 * count);
    journals.append(minutes(20), tokens("r", 0, &answer(1)));
    journals.expire(minutes(49));
    assert_eq!(journals.count(), 1);
    journals.expire(minutes(50));
    assert_eq!((journals.count(), journals.bytes()), (0, 0));
}

/// Guards against a running stream that fails for lack of memory: memory for its longest answer is
/// reserved, and tokens that exceed the reservation evict copies.
#[test]
fn accepted_stream_has_memory_for_its_whole_answer() {
    let settings = JournalSettings {
        max_bytes: 2 * (512 + 6 + 100 * (32 + 16)),
        ..JournalSettings::default()
    };
    let (now, mut journals) = (Duration::ZERO, Journals::new(settings));
    journals.append(now, whole("copy"));
    journals.append(now, tokens("copy", 0, &answer(100)));
    let opened = AppendAnswer::Appended { next: 0 };
    assert_eq!(
        journals.open(now, journal("r", &[]), 0, holder("a")),
        opened
    );
    // A copy is not evicted for a new stream, only for one that was accepted before.
    let second = journal("s", &[]);
    assert_eq!(
        journals.open(now, second.clone(), 0, holder("a")),
        AppendAnswer::Full
    );
    assert!(journals.can_resume(now, &"s".into(), 100));
    let long: Vec<Arc<str>> = vec!["x".repeat(60).into(); 100];
    let appended = AppendAnswer::Appended { next: 100 };
    assert_eq!(journals.append(now, tokens("r", 0, &long)), appended);
    assert!(journals.get(&"copy".into()).is_none());
    assert_eq!(
        journals.open(now, second.clone(), 1, holder("a")),
        AppendAnswer::Full
    );
    assert!(!journals.can_resume(now, &"s".into(), 100));
    journals.append(now, end("r"));
    assert_eq!(journals.open(now, second, 0, holder("a")), opened);
}
