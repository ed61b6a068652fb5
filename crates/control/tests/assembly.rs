//! Assembly of streams: guards against tokens that are lost, repeated, reordered or mixed between
//! attempts, and against answers that count as complete while tokens are missing.

use {
    control::{Assembly, AssemblyStep, Violation},
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    types::{
        Attempt, AttemptFailure, FailureKind, FinishReason, LayerRange, StreamRecord, TokenIndex,
        TokenRecord,
    },
    yare::parameterized,
};

const LAYER_COUNT: u32 = 4;

fn record(attempt: Attempt, index: TokenIndex, layers: &[(u32, u32)], text: &str) -> StreamRecord {
    let mut ranges = Vec::new();
    for (start, end) in layers {
        ranges.push(LayerRange {
            end: *end,
            start: *start,
        });
    }
    StreamRecord::Token(TokenRecord {
        attempt,
        index,
        layers: ranges,
        text: text.into(),
    })
}

fn token(attempt: Attempt, index: TokenIndex) -> StreamRecord {
    record(attempt, index, &[(0, 1), (1, 4)], &format!("t{index}"))
}

fn end(attempt: Attempt, token_count: TokenIndex) -> StreamRecord {
    StreamRecord::End {
        attempt,
        reason: FinishReason::Length,
        token_count,
    }
}

fn failed(attempt: Attempt) -> StreamRecord {
    StreamRecord::Failed(AttemptFailure {
        attempt,
        kind: FailureKind::Broken,
        target: "engine".into(),
    })
}

/// How the records of one attempt arrive.
#[derive(Clone, Debug)]
struct ArrivalPlan {
    /// Positions whose records arrive twice in a row.
    repeated: Vec<usize>,
    /// Positions before which late records of earlier attempts arrive.
    late: Vec<usize>,
    /// Number of records that arrive before the attempt fails.
    length: usize,
    /// Pairs of positions whose records are swapped.
    swaps: Vec<(usize, usize)>,
}

fn plan() -> impl Strategy<Value = ArrivalPlan> {
    let positions = || prop::collection::vec(0..40_usize, 0..8);
    let swaps = prop::collection::vec((0..40_usize, 0..40_usize), 0..12);
    (positions(), positions(), 0..40_usize, swaps).prop_map(|(repeated, late, length, swaps)| {
        ArrivalPlan {
            repeated,
            late,
            length,
            swaps,
        }
    })
}

/// Part of the answer that the caller received.
#[derive(Debug, Default)]
struct Received {
    is_complete: bool,
    tokens: Vec<String>,
}

impl Received {
    fn apply(&mut self, step: AssemblyStep) {
        let is_ignored = step == AssemblyStep::Ignore;
        assert!(!self.is_complete || is_ignored, "{step:?} after the end");
        match step {
            AssemblyStep::Complete { token_count, .. } => {
                assert_eq!(token_count as usize, self.tokens.len());
                self.is_complete = true;
            }
            AssemblyStep::Deliver {
                finish,
                first,
                tokens,
            } => {
                assert_eq!(first as usize, self.tokens.len());
                self.tokens.extend(tokens.iter().map(ToString::to_string));
                self.is_complete = finish.is_some();
            }
            AssemblyStep::Violation(violation) => panic!("violation {violation:?}"),
            AssemblyStep::Failed(_) | AssemblyStep::Ignore | AssemblyStep::Wait => {}
        }
    }
}

/// Runs one attempt that continues after the delivered tokens and then fails.
fn run_attempt(
    assembly: &mut Assembly,
    received: &mut Received,
    attempt: Attempt,
    plan: &ArrivalPlan,
    token_count: TokenIndex,
) {
    assembly.start_attempt(attempt);
    let mut records = Vec::new();
    for index in assembly.delivered_tokens()..token_count {
        records.push(token(attempt, index));
    }
    records.push(end(attempt, token_count));
    let count = records.len();
    for (one, other) in &plan.swaps {
        records.swap(one % count, other % count);
    }
    for (position, record) in records.iter().take(plan.length).enumerate() {
        if plan.late.contains(&position) {
            let next = assembly.delivered_tokens();
            for old in 1..attempt {
                received.apply(assembly.accept(&token(old, next)));
                received.apply(assembly.accept(&end(old, next)));
                received.apply(assembly.accept(&failed(old)));
            }
        }
        received.apply(assembly.accept(record));
        if plan.repeated.contains(&position) {
            received.apply(assembly.accept(record));
        }
    }
    received.apply(assembly.accept(&failed(attempt)));
}

#[parameterized(
    first = { 1 },
    second = { 2 },
    third = { 3 },
)]
fn any_arrival_order_gives_the_answer(seed: u8) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let complete_plan = ArrivalPlan {
        repeated: Vec::new(),
        late: vec![0, 5],
        length: usize::MAX,
        swaps: vec![(0, 3), (7, 2)],
    };
    let plans = (prop::collection::vec(plan(), 0..4), 1..40_u32);
    let result = TestRunner::new_with_rng(config, rng).run(&plans, |(plans, token_count)| {
        let mut assembly = Assembly::new(LAYER_COUNT, 0);
        let mut received = Received::default();
        for (attempt, plan) in (1..).zip(plans.iter().chain([&complete_plan])) {
            if !received.is_complete {
                run_attempt(&mut assembly, &mut received, attempt, plan, token_count);
            }
        }
        let expected: Vec<String> = (0..token_count).map(|index| format!("t{index}")).collect();
        prop_assert_eq!(received.tokens, expected);
        prop_assert!(received.is_complete && assembly.is_complete());
        Ok(())
    });
    result.unwrap();
}

/// Guards against accepting records that would corrupt the answer.
#[parameterized(
    ahead_of_the_end = { vec![token(1, 3), end(1, 2)], Violation::Conflict },
    beyond_the_end = { vec![end(1, 2), token(1, 2)], Violation::Conflict },
    delivered_differs = { vec![token(1, 0), record(1, 0, &[(0, 4)], "x")], Violation::Conflict },
    end_before_delivered = { vec![token(1, 0), token(1, 1), end(1, 1)], Violation::Conflict },
    ends_differ = { vec![end(1, 2), end(1, 3)], Violation::Conflict },
    held_differs = { vec![token(1, 2), record(1, 2, &[(0, 4)], "x")], Violation::Conflict },
    layer_missing = { vec![record(1, 0, &[(0, 1), (2, 4)], "t0")], Violation::Layers },
    layer_twice = { vec![record(1, 0, &[(0, 2), (1, 4)], "t0")], Violation::Layers },
    layers_cut = { vec![record(1, 0, &[(0, 3)], "t0")], Violation::Layers },
    layers_out_of_order = { vec![record(1, 0, &[(1, 4), (0, 1)], "t0")], Violation::Layers },
    never_started = { vec![token(2, 0)], Violation::UnknownAttempt },
    too_far_ahead = { vec![token(1, 65)], Violation::Gap },
)]
fn invalid_records_are_violations(records: Vec<StreamRecord>, violation: Violation) {
    let mut assembly = Assembly::new(LAYER_COUNT, 0);
    assembly.start_attempt(1);
    let (last, before) = records.split_last().unwrap();
    for record in before {
        let step = assembly.accept(record);
        assert!(!matches!(step, AssemblyStep::Violation(_)));
    }
    assert_eq!(assembly.accept(last), AssemblyStep::Violation(violation));
    // Later records of the attempt are ignored, and a new attempt can complete the answer.
    assert_eq!(assembly.accept(&token(1, 0)), AssemblyStep::Ignore);
    let count = assembly.delivered_tokens();
    assembly.start_attempt(2);
    let step = assembly.accept(&end(2, count));
    assert!(matches!(step, AssemblyStep::Complete { .. }));
}

/// Guards against buffered tokens of a failed attempt that fill a gap in the next one.
#[test]
fn buffered_tokens_are_dropped_with_their_attempt() {
    let mut assembly = Assembly::new(LAYER_COUNT, 5);
    assembly.start_attempt(1);
    assert_eq!(assembly.accept(&token(1, 6)), AssemblyStep::Wait);
    let step = assembly.accept(&failed(1));
    assert!(matches!(step, AssemblyStep::Failed(_)));
    assembly.start_attempt(2);
    let expected = AssemblyStep::Deliver {
        finish: None,
        first: 5,
        tokens: vec!["t5".into()],
    };
    assert_eq!(assembly.accept(&token(2, 5)), expected);
    assert_eq!(assembly.delivered_tokens(), 6);
}

/// Guards against a stream that stops early without an error, so that its caller waits forever, and
/// against an attempt that reopens a complete answer.
#[test]
fn stopped_stream_is_a_violation_unless_complete() {
    let mut assembly = Assembly::new(LAYER_COUNT, 0);
    assembly.start_attempt(1);
    assert_eq!(assembly.accept(&end(1, 1)), AssemblyStep::Wait);
    let incomplete = AssemblyStep::Violation(Violation::Incomplete);
    assert_eq!(assembly.stream_stopped(), incomplete);
    assembly.start_attempt(2);
    assert_eq!(assembly.accept(&end(2, 1)), AssemblyStep::Wait);
    assembly.accept(&token(2, 0));
    assert_eq!(assembly.stream_stopped(), AssemblyStep::Ignore);
    assembly.start_attempt(3);
    assert!(assembly.is_complete());
}
