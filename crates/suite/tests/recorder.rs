//! Tests that the recorder reports each kind of invariant violation. A violation that it misses
//! would be missed by every failure test.

use {
    suite::{CallOutcome, LayerRun, Recorder},
    types::LayerRange,
    yare::parameterized,
};

fn run(attempt: u32, start: u32, end: u32) -> LayerRun {
    LayerRun {
        attempt,
        index: 0,
        layers: LayerRange { start, end },
        request: "r".into(),
    }
}

fn record_outcome(recorder: &Recorder, key: &str, outcome: CallOutcome) {
    recorder.record_outcome(recorder.record_call(key), outcome);
}

fn run_after_not_run_outcome(recorder: &Recorder) {
    record_outcome(recorder, "z", CallOutcome::NotRun);
    recorder.record_execution("z");
}

/// Returns a recorder with records that violate no invariant.
fn valid_history() -> Recorder {
    let recorder = Recorder::default();
    // Attempt 1 failed at its second stage; attempt 2 generated the token.
    recorder.record_layers(&[run(1, 0, 4), run(2, 4, 8), run(2, 0, 4)]);
    recorder.record_token("r", "r", 0, "a");
    recorder.record_completion("r");
    // The second call was sent before the reply to the first arrived.
    let (first, second) = (recorder.record_call("k"), recorder.record_call("k"));
    recorder.record_outcome(second, CallOutcome::Ran("x".into()));
    recorder.record_outcome(first, CallOutcome::NotRun);
    recorder.record_execution("k");
    recorder.record_edit("o1", 1);
    recorder.record_version("e", 1);
    recorder
}

#[test]
fn valid_history_has_no_violation() {
    assert_eq!(valid_history().check(), Vec::<String>::new());
}

#[parameterized(
    cut_off = { |recorder| recorder.record_token("s", "s", 0, "a"), "s: the answer was cut off" },
    executed_twice = { |recorder| recorder.record_execution("k"), "key k: ran 2 times" },
    false_not_run = { run_after_not_run_outcome, "key z: reported as not run, but it ran" },
    false_ran = { |recorder| record_outcome(recorder, "z", CallOutcome::Ran("x".into())), "reported as run, but it did not run" },
    token_of_other_request = { |recorder| recorder.record_token("r", "s", 1, "b"), "r: received a token of s" },
    layer_missing = { |recorder| recorder.record_token("r", "r", 1, "b"), "r token 1: not all layers ran" },
    layer_twice = { |recorder| recorder.record_layers(&[run(2, 0, 4)]), "layers ran more than once" },
    order = { |recorder| recorder.record_token("r", "r", 2, "b"), "token 2 received at position 1" },
    reverted = { |recorder| recorder.record_version("e", 0), "e: version 1 reverted to 0" },
    two_results = { |recorder| record_outcome(recorder, "k", CallOutcome::Ran("y".into())), "different results" },
    withdrawn = { |recorder| record_outcome(recorder, "k", CallOutcome::NotRun), "reported as not run after a final outcome" },
    version_twice = { |recorder| recorder.record_edit("o2", 1), "version 1: assigned to both o2 and o1" },
)]
fn violation_is_reported(violate: fn(&Recorder), expected: &str) {
    let recorder = valid_history();
    violate(&recorder);
    let faults = recorder.check();
    assert!(
        faults.iter().any(|fault| fault.contains(expected)),
        "{faults:?}"
    );
}
