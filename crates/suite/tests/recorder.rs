//! The recorder must see each violation of an invariant; a checker that misses one makes every
//! failure test worthless.

use {
    suite::{LayerRun, Recorder, Told},
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

fn tell(recorder: &Recorder, key: &str, told: Told) {
    recorder.told(recorder.asked(key), told);
}

fn run_against_word(recorder: &Recorder) {
    tell(recorder, "z", Told::NotRun);
    recorder.executed("z");
}

/// A history without violations.
fn sound() -> Recorder {
    let recorder = Recorder::default();
    // Attempt 1 lost its second stage; attempt 2 made the token.
    recorder.layers(&[run(1, 0, 4), run(2, 4, 8), run(2, 0, 4)]);
    recorder.token("r", "r", 0, "a");
    recorder.completed("r");
    // The second call was made before the reply to the first came.
    let (first, second) = (recorder.asked("k"), recorder.asked("k"));
    recorder.told(second, Told::Ran("x".into()));
    recorder.told(first, Told::NotRun);
    recorder.executed("k");
    recorder.accepted("o1", 1);
    recorder.observed("e", 1);
    recorder
}

#[test]
fn sound_history_has_no_violation() {
    assert_eq!(sound().check(), Vec::<String>::new());
}

#[parameterized(
    cut_off = { |recorder| recorder.token("s", "s", 0, "a"), "s: the answer was cut off" },
    executed_twice = { |recorder| recorder.executed("k"), "key k: ran 2 times" },
    false_not_run = { run_against_word, "key z: told that it was not run, and it ran" },
    false_ran = { |recorder| tell(recorder, "z", Told::Ran("x".into())), "told that it ran, and it did not" },
    foreign_token = { |recorder| recorder.token("r", "s", 1, "b"), "r: received a token of s" },
    layer_missing = { |recorder| recorder.token("r", "r", 1, "b"), "r token 1: not all layers ran" },
    layer_twice = { |recorder| recorder.layers(&[run(2, 0, 4)]), "layers ran more than once" },
    order = { |recorder| recorder.token("r", "r", 2, "b"), "token 2 came at place 1" },
    reverted = { |recorder| recorder.observed("e", 0), "e: version 1 reverted to 0" },
    two_results = { |recorder| tell(recorder, "k", Told::Ran("y".into())), "several results" },
    withdrawn = { |recorder| tell(recorder, "k", Told::NotRun), "told not run after another outcome" },
    version_twice = { |recorder| recorder.accepted("o2", 1), "version 1: o2 and o1 have it" },
)]
fn violation_is_seen(violate: fn(&Recorder), expected: &str) {
    let recorder = sound();
    violate(&recorder);
    let faults = recorder.check();
    assert!(
        faults.iter().any(|fault| fault.contains(expected)),
        "{faults:?}"
    );
}
