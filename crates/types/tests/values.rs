//! Guards against routes whose stages skip or repeat a layer, and against event ids that change
//! when they are formatted and parsed again.

use {
    types::{LayerRange, ResumePoint},
    yare::parameterized,
};

#[parameterized(
    complete = { &[(0, 4), (4, 8)], true },
    empty = { &[], false },
    empty_stage = { &[(0, 4), (4, 4), (4, 8)], false },
    gap = { &[(0, 4), (5, 8)], false },
    overlap = { &[(0, 4), (3, 8)], false },
    short = { &[(0, 4)], false },
    swapped = { &[(4, 8), (0, 4)], false },
)]
fn stages_must_cover_each_layer_once_in_order(ranges: &[(u32, u32)], expected: bool) {
    let ranges: Vec<LayerRange> = ranges
        .iter()
        .map(|(start, end)| LayerRange {
            end: *end,
            start: *start,
        })
        .collect();
    assert_eq!(LayerRange::covers(&ranges, 8), expected);
}

#[parameterized(
    no_backup = { None },
    with_backup = { Some("entry-b") },
)]
fn formatted_event_id_parses_back(backup: Option<&str>) {
    let point = ResumePoint {
        backup: backup.map(Into::into),
        index: 7,
        owner: "entry-a".into(),
        request: "r1".into(),
    };
    assert_eq!(point.to_string().parse(), Ok(point));
}

#[parameterized(
    empty = { "" },
    no_index = { "r1.entry-a.entry-b" },
    no_owner = { "r1..entry-b.7" },
    not_a_number = { "r1.entry-a.entry-b.x" },
    too_many_parts = { "r1.entry-a.entry-b.7.8" },
)]
fn malformed_event_id_is_rejected(text: &str) {
    assert!(text.parse::<ResumePoint>().is_err());
}
