//! Guards against a process that starts with invalid settings, and against faults that are reported
//! one at a time.

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    serde::{Deserialize, Serialize},
    settings::{Check, Error, Faults, LogSettings, Program, parse},
    std::{collections::BTreeMap, net::SocketAddr},
    yare::parameterized,
};

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
struct Server {
    address: SocketAddr,
    backup: Option<u32>,
    doors: Vec<Door>,
    labels: BTreeMap<String, String>,
    log: LogSettings,
    most_ms: u64,
    least_ms: u64,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct Door {
    width: u32,
}

impl Default for Server {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            backup: None,
            doors: Vec::new(),
            labels: BTreeMap::new(),
            log: LogSettings::default(),
            most_ms: 100,
            least_ms: 1,
        }
    }
}

impl Check for Server {
    fn check(&self, faults: &mut Faults) {
        faults.check_nested("log", &self.log);
        faults.require_in_range("most_ms", self.most_ms, 1..=1_000, "use at most 1000");
        let problem = "is above `most_ms`";
        let holds = self.least_ms <= self.most_ms;
        faults.require(holds, "least_ms", self.least_ms, problem, "lower it");
    }
}

const PROGRAM: Program = Program {
    description: "Serves.",
    name: "server",
    version: "1.2.3",
};

fn message(text: &str) -> String {
    let result = parse::<Server>("s.json", text);
    result
        .expect_err("the settings must be rejected")
        .to_string()
}

#[test]
fn omitted_fields_keep_their_defaults() {
    let text = r#"{"labels": {"a": "b"}, "log": {"format": "json"}, "doors": [{"width": 2}]}"#;
    let server: Server = parse("s.json", text).unwrap();
    assert_eq!(server.labels["a"], "b");
    assert_eq!(server.log.filter, "info,tarpc=warn");
    assert_eq!(server.most_ms, 100);
}

#[parameterized(
    address = { r#"{"address": "here"}"#, r#"s.json: address = "here": invalid socket address"# },
    contradiction = { r#"{"least_ms": 200}"#, "least_ms = 200: is above `most_ms`; lower it" },
    filter = { r#"{"log": {"filter": "a=b=c"}}"#, "log.filter = \"a=b=c\"" },
    in_list = { r#"{"doors": [{"width": 1, "widht": 2}]}"#, "doors[0].widht = 2: is an unknown key; did you mean `width`?" },
    key = { r#"{"most_sm": 3}"#, "most_sm = 3: is an unknown key; did you mean `most_ms`?" },
    nested = { r#"{"log": {"colour": 1}}"#, "log.colour = 1: is an unknown key; remove it; the known keys are filter, format" },
    object = { "[]", "(whole file) = []: is not an object" },
    option = { r#"{"backup": "x"}"#, "backup = \"x\": invalid type" },
    range = { r#"{"most_ms": 0, "least_ms": 0}"#, "most_ms = 0: is not within 1 to 1000; use at most 1000" },
    syntax = { "{\n  \"most_ms\": ,\n}", "s.json:2:14: not JSON: expected value" },
    wrong_type = { r#"{"most_ms": "1"}"#, "most_ms = \"1\": invalid type: string \"1\", expected u64; write a value of the same form as the default 100" },
)]
fn each_fault_states_the_field_and_a_remedy(text: &str, expected: &str) {
    let message = message(text);
    assert!(message.contains(expected), "{message}");
}

#[test]
fn all_faults_are_reported_together() {
    let text = r#"{"most_ms": 5000, "adress": 1, "backup": -1, "log": {"filter": "a=b=c"}}"#;
    let Err(Error::Faults(faults)) = parse::<Server>("s.json", text) else {
        panic!("the settings must be rejected");
    };
    let paths: Vec<&str> = faults
        .list()
        .iter()
        .map(|fault| fault.path.as_str())
        .collect();
    assert_eq!(paths, ["adress", "backup", "log.filter", "most_ms"]);
    assert_eq!(faults.to_string().lines().count(), 4);
}

#[parameterized(
    missing_value = { &["--settings"], "run `server --help`" },
    unknown = { &["--setings", "x"], "unknown argument `--setings`" },
    unreadable = { &["--settings", "/nonexistent/s.json"], "cannot be read" },
)]
fn invalid_arguments_are_rejected(arguments: &[&str], expected: &str) {
    let arguments = arguments.iter().map(Into::into).collect();
    let message = PROGRAM
        .settings::<Server>(arguments)
        .unwrap_err()
        .to_string();
    assert!(message.contains(expected), "{message}");
}

#[parameterized(
    check = { &["--check-settings"], false },
    help = { &["--help"], false },
    run = { &[], true },
    version = { &["--version"], false },
)]
fn only_a_start_without_informational_flags_returns_settings(
    arguments: &[&str],
    returns_settings: bool,
) {
    let arguments = arguments.iter().map(Into::into).collect();
    let settings = PROGRAM.settings::<Server>(arguments).unwrap();
    assert_eq!(settings.is_some(), returns_settings);
}

/// Arbitrary text must neither cause a panic nor an error that lacks the file name.
#[test]
fn arbitrary_text_gives_settings_or_an_error_with_the_file_name() {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let keys = "address|backup|doors|labels|log|most_ms|least_ms|x";
    let values = r#"-?[0-9]{1,25}|null|true|"[a-z=:,]{0,9}"|\[\{"width":[0-9-]{1,3}\}\]|\{"[a-z]{1,7}":\[?"?\}"#;
    let pair = (keys, values).prop_map(|(key, value)| format!("\"{key}\": {value}"));
    let object =
        proptest::collection::vec(pair, 0..5).prop_map(|pairs| format!("{{{}}}", pairs.join(",")));
    let text = prop_oneof![".{0,80}", object];
    TestRunner::new_with_rng(config, random)
        .run(&text, |text| {
            if let Err(error) = parse::<Server>("s.json", &text) {
                prop_assert!(error.to_string().starts_with("s.json:"), "{}", error);
            }
            Ok(())
        })
        .unwrap();
}
