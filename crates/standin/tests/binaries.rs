//! Tests that the binaries can be started, configured, checked and stopped from the command line.

#![expect(clippy::unwrap_used, reason = "an error in a helper fails its test")]

use {
    serde_json::json,
    standin::{EngineSettings, Listening, PlatformSettings, ServiceSettings},
    std::{
        fs,
        io::{BufRead, BufReader},
        path::PathBuf,
        process::{Child, Command, Output, Stdio},
    },
    types::Listing,
    wire::Call,
    yare::parameterized,
};

const ENGINE: &str = env!("CARGO_BIN_EXE_standin-engine");
const PLATFORM: &str = env!("CARGO_BIN_EXE_standin-platform");
const SERVICE: &str = env!("CARGO_BIN_EXE_standin-service");

/// A child process that is killed when its test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn settings_file(name: &str, text: &str) -> PathBuf {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    fs::write(&file, text).unwrap();
    file
}

fn run(binary: &str, arguments: &[&str]) -> Output {
    Command::new(binary).args(arguments).output().unwrap()
}

fn start(binary: &str, name: &str, settings: &str) -> (Process, Listening) {
    let mut child = Command::new(binary)
        .arg("--settings")
        .arg(settings_file(name, settings))
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let output = child.stdout.take().unwrap();
    BufReader::new(output).read_line(&mut line).unwrap();
    (Process(child), serde_json::from_str(&line).unwrap())
}

fn terminate(process: &Process) {
    let id = process.0.id().to_string();
    let status = Command::new("sh")
        .args(["-c", "kill -TERM $0", &id])
        .status();
    assert!(status.unwrap().success());
}

#[parameterized(
    engine = { ENGINE, "standin-engine" },
    platform = { PLATFORM, "standin-platform" },
    service = { SERVICE, "standin-service" },
)]
fn command_line_arguments(binary: &str, name: &str) {
    let version = run(binary, &["--version"]);
    assert!(String::from_utf8_lossy(&version.stdout).starts_with(name));
    let help = run(binary, &["--help"]);
    assert!(String::from_utf8_lossy(&help.stdout).contains("--settings FILE"));
    let file = settings_file(
        &format!("{name}-faulty"),
        r#"{"lmits": {}, "limits": {"head_bytes": 1}}"#,
    );
    let check = run(
        binary,
        &["--check-settings", "--settings", file.to_str().unwrap()],
    );
    let message = String::from_utf8_lossy(&check.stderr);
    assert!(!check.status.success());
    assert!(
        message.contains("lmits") && message.contains("limits.head_bytes"),
        "{message}"
    );
    assert!(!run(binary, &["--nonsense"]).status.success());
}

/// Default settings must pass their own check.
#[test]
fn defaults_are_valid() {
    for (name, text) in [
        ("engine", serde_json::to_string(&EngineSettings::default())),
        (
            "platform",
            serde_json::to_string(&PlatformSettings::default()),
        ),
        (
            "service",
            serde_json::to_string(&ServiceSettings::default()),
        ),
    ] {
        let binary = [ENGINE, PLATFORM, SERVICE];
        let binary = binary.iter().find(|path| path.ends_with(name)).unwrap();
        let file = settings_file(&format!("{name}-default"), &text.unwrap());
        let check = run(
            binary,
            &["--check-settings", "--settings", file.to_str().unwrap()],
        );
        assert!(
            check.status.success(),
            "{}",
            String::from_utf8_lossy(&check.stderr)
        );
    }
}

/// A terminated engine must be marked as leaving in the process list before it stops. Otherwise
/// routers keep sending it requests until they notice that it is gone.
#[tokio::test]
async fn terminated_engine_leaves_the_list_first() {
    let (_platform, platform) = start(PLATFORM, "list", r#"{"list_lag_ms": 0}"#);
    let place = json!({"leave_grace_ms": 300, "platforms": [platform.address]});
    let text = json!({"place": place}).to_string();
    let (mut engine, _) = start(ENGINE, "leaving", &text);
    while rows(platform).await.is_empty() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    terminate(&engine);
    assert!(engine.0.wait().unwrap().success());
    assert!(rows(platform).await[0].leaving);
}

async fn rows(platform: Listening) -> Vec<Listing> {
    let reply = wire::call(platform.address, &Call::get("/v1/instances")).await;
    reply.unwrap().json().unwrap()
}

/// A crash must end with its own exit status, so that it cannot be mistaken for a planned stop.
#[tokio::test]
async fn crash_marker_ends_the_process() {
    let (mut engine, listening) = start(ENGINE, "crash", r#"{"crash_marker": "CRASH"}"#);
    let layers = json!({"end": 32, "start": 0});
    let stage = json!({"address": listening.address, "layers": layers, "target": "engine-1"});
    let request = json!({
        "attempt": 1, "delivered": [], "max_tokens": 1, "model": "assistant", "priority": 0,
        "prompt": "CRASH", "request": "r", "seed": 0,
        "route": {"layer_count": 32, "stages": [stage]},
    });
    let call = Call::post("/v1/generate", &request).unwrap();
    assert!(wire::call(listening.address, &call).await.is_err());
    assert_eq!(engine.0.wait().unwrap().code(), Some(134));
}
