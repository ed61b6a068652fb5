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

/// Guards against legitimate streams that are interrupted because their events look unusual, however the bytes
/// arrive.
#[parameterized(
    byte_order_mark = { "\u{feff}id: 1\ndata: x\n\n", "1" },
    carriage_returns = { "id: 1\rdata: x\r\rid: 2\rdata: y\r\r", "2" },
    comment = { ": ping\n\nid: 1\ndata: x\n: ping\n\n", "1" },
    empty_lines = { "id: 1\ndata: x\n\n\n\nid: 2\ndata\n\n\n", "2" },
    event_and_retry = { "event: token\nretry: 10\nid: 1\ndata: x\n\n", "1" },
    first_line_of_another_field = { "x-versions: 3\nid: 1\ndata: x\n\n", "1" },
    last_line_of_another_field = { "id:1\ndata:x\nX_note: a b\n\n", "1" },
    mixed_line_ends = { "id: 1\r\ndata: x\n\r\nid: 2\ndata: y\r\n\n", "2" },
    quoted_response = { "id: 1\ndata: HTTP/1.1 200 OK\ndata: server: x\ndata:\n\n", "1" },
    words_as_ids = { "id: b\ndata: x\n\nid: a\ndata: y\n\n", "a" },
)]
fn unusual_events_pass(bytes: &str, last_id: &str) {
    for cut in 0..=bytes.len() {
        let (one, other) = bytes.as_bytes().split_at(cut);
        let mut events = EventSplitter::default();
        let passed = [events.push(one), events.push(other)].concat();
        assert_eq!(passed, bytes.as_bytes());
        assert_eq!(events.last_id().map(|id| &**id), Some(last_id));
        assert!(!events.has_partial_event() && !events.is_invalid());
    }
}

/// Guards against bytes that are forwarded although they are not events, however they arrive, and against events
/// behind them, which may belong to another stream.
#[parameterized(
    json = { "{\"error\":\"full\"}\n\n" },
    only_headers = { "x-id: id0\r\ncontent-length: 4\r\n\r\n" },
    older_event = { "id: 0\ndata: x\n\n" },
    repeated_event = { "id: 1\ndata: x\n\n" },
    repeated_number = { "id: 01\ndata: x\n\n" },
    response = { "HTTP/1.1 503 Service Unavailable\r\nx-id: id0\r\n\r\n" },
    response_in_a_comment = { ": xHTTP/1.0 200\r\nx-id: id0\r\n\r\n" },
    response_in_a_value = { "id: 2\ndata: xHTTP/1.1 503 Service Unavailable\r\nx-id: id0\r\n\r\n" },
    response_in_an_id = { "id: 2HTTP/1.1 503 Service Unavailable\r\nx-id: id0\r\n\r\n" },
    text = { "full\n\n" },
    text_in_a_field_name = { "id: 2\ndafull\n\n" },
    text_with_a_colon = { "no memory: full\n\n" },
)]
fn bytes_that_are_not_events_do_not_pass(junk: &str) {
    let event = "id: 1\ndata: x\n\n";
    let bytes = format!("{event}{junk}id: 3\ndata: y\n\n");
    for cut in 0..=bytes.len() {
        let (one, other) = bytes.as_bytes().split_at(cut);
        let mut events = EventSplitter::default();
        let passed = [events.push(one), events.push(other)].concat();
        assert_eq!(passed, event.as_bytes());
        assert!(events.has_partial_event() && events.is_invalid());
        events.discard();
        assert_eq!(events.push(b"id: 2\ndata: z\n\n"), "id: 2\ndata: z\n\n");
        assert!(!events.has_partial_event() && !events.is_invalid());
    }
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
