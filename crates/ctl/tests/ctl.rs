//! Tests that an edit is made only once even if replies are lost, and that each result has its own
//! message and exit code.

use {
    ctl::{Command, Error, ListKind, Options, parse_entry, run},
    futures::future::BoxFuture,
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    serde_json::json,
    std::{net::SocketAddr, path::PathBuf, sync::Arc},
    tokio::{net::TcpListener, sync::watch},
    tracing_mutex::stdsync::Mutex,
    wire::{Fault, Handler, Limits, Request, Response, hyper::StatusCode},
    yare::parameterized,
};

/// How the fake instance replies to edits.
#[derive(Clone, Copy, PartialEq)]
enum EditBehavior {
    Accept,
    /// Accepts edits, and does not know the other instances yet at the first status request.
    AcceptBeforeListing,
    Conflict,
    GatewayTimeout,
    ReplyUnknown,
    StoreUnavailable,
}

/// Fake of an entry instance, which records the headers of edits.
struct FakeInstance {
    behavior: EditBehavior,
    edit_log: Mutex<Vec<(String, String)>>,
    status_reads: Mutex<u64>,
}

impl Handler for FakeInstance {
    fn handle(self: Arc<Self>, request: Request) -> BoxFuture<'static, Response> {
        Box::pin(async move {
            if request.header("authorization") != Some("Bearer secret") {
                let fault = Fault::new(StatusCode::UNAUTHORIZED, "unauthorized", "wrong key");
                return fault.into_response();
            }
            if request.method == "PUT" {
                return self.edit(&request);
            }
            let reply = match request.path.as_str() {
                "/admin/status" => self.status(),
                "/admin/accounts/a" => json!({"version": 7, "account": {"plan": "p"}}),
                _ => json!({"version": 7, "accounts": {"a": {"plan": "p", "key_hashes": ["h"]}}}),
            };
            wire::json(StatusCode::OK, &reply)
        })
    }
}

impl FakeInstance {
    fn edit(&self, request: &Request) -> Response {
        let header = |name| request.header(name).unwrap_or("none").to_owned();
        let mut edit_log = self.edit_log.lock().expect("no panic");
        edit_log.push((header("operation-id"), header("if-match")));
        match self.behavior {
            EditBehavior::Accept | EditBehavior::AcceptBeforeListing => {
                wire::json(StatusCode::OK, &json!({"version": 8}))
            }
            EditBehavior::Conflict => {
                let error = json!({"kind": "conflict", "message": "changed"});
                let body = json!({"current_version": 9, "error": error});
                wire::json(StatusCode::CONFLICT, &body)
            }
            EditBehavior::GatewayTimeout => wire::empty(StatusCode::GATEWAY_TIMEOUT),
            EditBehavior::ReplyUnknown => {
                wire::json(StatusCode::ACCEPTED, &json!({"state": "unknown"}))
            }
            EditBehavior::StoreUnavailable => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Fault::new(status, "store_unavailable", "the store is down").into_response()
            }
        }
    }

    /// In the status, the second instance reaches version 8 at the fourth request.
    fn status(&self) -> serde_json::Value {
        let mut reads = self.status_reads.lock().expect("no panic");
        *reads += 1;
        if *reads == 1 && self.behavior == EditBehavior::AcceptBeforeListing {
            return json!({"config_version": 8, "in_force_count": null, "instance_count": null});
        }
        let second_version = if *reads < 4 { 7 } else { 8 };
        let instance = |id, version| json!({"id": id, "config_version": version, "failure_domain": "d", "health": "live"});
        json!({"config_version": 8, "in_force_count": second_version - 6, "instance_count": 2,
            "instances": [instance("a", 8), instance("b", second_version)]})
    }
}

async fn start_instance(
    behavior: EditBehavior,
) -> (SocketAddr, Arc<FakeInstance>, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let instance = Arc::new(FakeInstance {
        behavior,
        edit_log: Mutex::default(),
        status_reads: Mutex::default(),
    });
    let (stop, shutdown) = watch::channel(false);
    let serve = wire::serve(listener, instance.clone(), Limits::default(), shutdown);
    tokio::spawn(serve);
    (address, instance, stop)
}

/// Temporary folder with files for the operator key and an entry; removed when dropped.
struct TempFiles(PathBuf);

impl TempFiles {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("ctl-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("key"), "secret\n").expect("a file");
        std::fs::write(folder.join("a.json"), r#"{"plan": "p"}"#).expect("a file");
        Self(folder)
    }

    fn options(&self, entries: &[SocketAddr], words: &str) -> Options {
        let mut arguments = format!("--key-file {}/key", self.0.display());
        for entry in entries {
            arguments.push_str(&format!(" --entry {entry}"));
        }
        let words = words.replace("FILE", &format!("{}/a.json", self.0.display()));
        arguments.push_str(&format!(" {words}"));
        let arguments = arguments.split_whitespace().map(Into::into).collect();
        Options::parse(arguments, None).expect("the arguments are right")
    }
}

impl Drop for TempFiles {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Guards against a second edit if the result of the first one is not known: the retry at another
/// instance must carry the same operation id and version.
#[tokio::test]
async fn lost_reply_is_resolved_with_the_same_operation_id() {
    let (temp_files, uncertain, accepting) = (
        TempFiles::new("lost"),
        start_instance(EditBehavior::ReplyUnknown).await,
        start_instance(EditBehavior::Accept).await,
    );
    let options = temp_files.options(&[uncertain.0, accepting.0], "accounts put a FILE");
    assert_eq!(run(&options).await.unwrap(), "accepted as version 8\n");
    let (first, second) = (
        uncertain.1.edit_log.lock().unwrap(),
        accepting.1.edit_log.lock().unwrap(),
    );
    assert_eq!(first.len(), 1);
    assert_eq!(*first, *second);
    assert_eq!(first[0].1, "7", "the version read before the edit is sent");
}

/// Guards against overwriting a concurrent edit, and against retrying after a conflict.
#[tokio::test]
async fn conflict_names_the_current_version() {
    let (temp_files, instance) = (
        TempFiles::new("conflict"),
        start_instance(EditBehavior::Conflict).await,
    );
    let options = temp_files.options(&[instance.0], "--if-match 5 accounts put a FILE");
    let error = run(&options).await.unwrap_err();
    assert_eq!(error.exit_code(), 3);
    assert!(error.to_string().contains("--if-match 9"), "{error}");
    let edit_log = instance.1.edit_log.lock().unwrap();
    assert_eq!(edit_log.len(), 1);
    assert_eq!(edit_log[0].1, "5");
}

/// Guards against an error that says that nothing was changed although the edit may have been
/// made, and the reverse.
#[tokio::test]
async fn uncertain_edit_and_rejected_edit_have_different_exit_codes() {
    for (behavior, code) in [
        (EditBehavior::StoreUnavailable, 5),
        (EditBehavior::ReplyUnknown, 6),
        (EditBehavior::GatewayTimeout, 6),
    ] {
        let (temp_files, instance) = (
            TempFiles::new(&format!("code{}", behavior as u8)),
            start_instance(behavior).await,
        );
        let options = temp_files.options(
            &[instance.0],
            "--limit-s 0 --if-match 7 accounts put a FILE",
        );
        let error = run(&options).await.unwrap_err();
        assert_eq!(error.exit_code(), code, "{error}");
        if let Error::OutcomeUnknown { operation_id, .. } = error {
            assert_eq!(instance.1.edit_log.lock().unwrap()[0].0, operation_id);
        }
    }
}

/// Guards against `--wait` returning while an instance still uses the previous version, or while
/// the replying instance does not know the others yet.
#[tokio::test]
async fn wait_ends_when_all_instances_have_the_version() {
    let (temp_files, instance) = (
        TempFiles::new("wait"),
        start_instance(EditBehavior::AcceptBeforeListing).await,
    );
    let options = temp_files.options(&[instance.0], "--wait accounts put a FILE");
    let text = run(&options).await.unwrap();
    assert_eq!(text, "version 8 is in force on every instance\n");
    assert_eq!(*instance.1.status_reads.lock().unwrap(), 4);
}

/// Guards against columns that are not aligned and against a wrong number of instances.
#[tokio::test]
async fn lists_and_status_are_tables() {
    let (temp_files, instance) = (
        TempFiles::new("table"),
        start_instance(EditBehavior::Accept).await,
    );
    let text = run(&temp_files.options(&[instance.0], "accounts list")).await;
    assert_eq!(
        text.unwrap(),
        "version 7\nACCOUNT  PLAN  KEYS\na        p     1\n"
    );
    let text = run(&temp_files.options(&[instance.0], "accounts show a")).await;
    assert_eq!(text.unwrap(), "{\n  \"plan\": \"p\"\n}\n");
    let text = run(&temp_files.options(&[instance.0], "status"))
        .await
        .unwrap();
    assert!(text.starts_with("version 8 is in force on 1 of 2 instances\n"));
    let instance = start_instance(EditBehavior::AcceptBeforeListing).await;
    let text = run(&temp_files.options(&[instance.0], "status"))
        .await
        .unwrap();
    assert!(text.contains("is not known yet"), "{text}");
}

#[parameterized(
    address = { "--entry here status", "not an entry address" },
    command = { "acounts list", "unknown command `acounts list`" },
    id = { "plans delete ../accounts", "is not an id" },
    key = { "--key secret status", "unknown argument `--key`" },
    none = { "", "no command given" },
)]
fn wrong_arguments_are_refused(text: &str, expected: &str) {
    let arguments = text.split_whitespace().map(Into::into).collect();
    let error = Options::parse(arguments, None).unwrap_err();
    assert!(error.to_string().contains(expected), "{error}");
    assert_eq!(error.exit_code(), 2);
}

#[test]
fn addresses_come_from_the_environment_without_the_argument() {
    let options = Options::parse(vec!["status".into()], Some("127.0.0.1:1, 127.0.0.1:2")).unwrap();
    assert_eq!(options.entries.len(), 2);
    assert_eq!(options.command, Command::Status);
}

/// Guards against a panic on malformed or unusual entries, and against errors that do not name the
/// file.
#[test]
fn no_entry_makes_the_parser_panic() {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let pair = r#""(plan|key_hashes|share_weight|models)": ?(-?[0-9]{1,25}|"[a-z]{0,4}"|\["[a-z]?"\]|\[|null)"#;
    let object = proptest::collection::vec(pair, 0..4);
    let object = object.prop_map(|pairs| format!("{{{}}}", pairs.join(",")));
    TestRunner::new_with_rng(config, random)
        .run(&prop_oneof![".{0,80}", object], |text| {
            for list in [ListKind::Accounts, ListKind::Plans] {
                if let Err(error) = parse_entry(list, "e.json", &text) {
                    prop_assert!(error.to_string().starts_with("e.json:"), "{}", error);
                }
            }
            Ok(())
        })
        .unwrap();
}
