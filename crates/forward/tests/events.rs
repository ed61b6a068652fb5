//! Guards against partial events that reach a caller, and against a last event id that does not belong to
//! the forwarded events.

use {
    forward::EventSplitter,
    proptest::{prelude::*, test_runner::RngSeed},
    yare::parameterized,
};

#[parameterized(
    whole = { "id: 1\ndata: x\n\n", "id: 1\ndata: x\n\n", Some("1") },
    half = { "id: 1\ndata: x\n", "", None },
    one_and_a_half = { "id: 1\ndata: x\n\nid: 2\nda", "id: 1\ndata: x\n\n", Some("1") },
    carriage_returns = { "id: 1\r\ndata: x\r\n\r\nid: 2", "id: 1\r\ndata: x\r\n\r\n", Some("1") },
    without_id = { "data: x\n\n", "data: x\n\n", None },
)]
fn only_whole_events_pass(bytes: &str, expected: &str, last_id: Option<&str>) {
    let mut events = EventSplitter::default();
    assert_eq!(events.push(bytes.as_bytes()), expected.as_bytes());
    assert_eq!(events.last_id().map(|id| &**id), last_id);
    assert_eq!(events.has_partial_event(), bytes != expected);
}

#[test]
fn partial_event_is_discarded() {
    let mut events = EventSplitter::default();
    events.push(b"id: 1\ndata: x\n\nid: 2\nda");
    events.discard();
    assert_eq!(
        events.push(b"id: 2\ndata: y\n\n"),
        &b"id: 2\ndata: y\n\n"[..]
    );
    assert_eq!(&**events.last_id().unwrap(), "2");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// However a stream is split into reads, the same complete events are forwarded.
    #[test]
    fn chunk_boundaries_do_not_change_the_output(
        count in 1..12_usize,
        cuts in proptest::collection::vec(any::<prop::sample::Index>(), 0..20),
        end in any::<prop::sample::Index>(),
    ) {
        let text: String = (0..count).map(|id| format!("id: {id}\ndata: {id}\n\n")).collect();
        let end = end.index(text.len() + 1);
        let mut positions: Vec<usize> = cuts.iter().map(|cut| cut.index(end + 1)).collect();
        positions.extend([0, end]);
        positions.sort_unstable();
        let mut events = EventSplitter::default();
        let mut passed = Vec::new();
        for pair in positions.windows(2) {
            passed.extend_from_slice(&events.push(&text.as_bytes()[pair[0]..pair[1]]));
        }
        let whole = text[..end].rfind("\n\n").map_or(0, |at| at + 2);
        prop_assert_eq!(passed, &text.as_bytes()[..whole]);
    }

    /// Guards against a panic on bytes that are not events.
    #[test]
    fn arbitrary_bytes_do_not_panic(chunks in proptest::collection::vec(".{0,40}", 0..20)) {
        let mut events = EventSplitter::default();
        for chunk in &chunks {
            events.push(chunk.as_bytes());
        }
    }
}
