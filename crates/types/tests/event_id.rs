//! Guards against a panic on an arbitrary event id sent by a caller, and against event ids that
//! change when they are formatted and parsed again.

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    types::ResumePoint,
};

fn runner() -> TestRunner {
    let config = Config {
        cases: 5_000,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[13; 32]);
    TestRunner::new_with_rng(config, random)
}

#[test]
fn arbitrary_text_parses_or_gives_a_clear_error() {
    let text = prop_oneof![
        ".{0,60}",
        r"[a-z0-9]{0,4}(\.[a-z0-9-]{0,4}){0,5}\.[+0-9]{0,12}"
    ];
    runner()
        .run(&text, |text| {
            match text.parse::<ResumePoint>() {
                Err(error) => prop_assert!(error.to_string().contains("is not an event id")),
                Ok(point) => {
                    prop_assert_eq!(point.to_string().parse::<ResumePoint>(), Ok(point));
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn formatted_event_ids_parse_back() {
    let name = "[a-z0-9_][a-z0-9_-]{0,8}";
    let backup = proptest::option::of(name);
    runner()
        .run(
            &(name, name, backup, any::<u32>()),
            |(request, owner, backup, index)| {
                let point = ResumePoint {
                    backup: backup.map(Into::into),
                    index,
                    owner: owner.into(),
                    request: request.into(),
                };
                prop_assert_eq!(point.to_string().parse::<ResumePoint>(), Ok(point));
                Ok(())
            },
        )
        .unwrap();
}
