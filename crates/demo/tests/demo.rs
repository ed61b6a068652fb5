//! Tests that the demo, the first command of the README, starts, serves requests and stops.

use {
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
    suite::{CallOutcome, Caller, Process, Recorder, TempDir, wait_until},
};

#[tokio::test]
async fn demo_serves_the_calls_of_the_readme_and_stops() -> anyhow::Result<()> {
    let temp_dir = TempDir::new()?;
    let mut demo = Process::start(&temp_dir, "demo", "demo", &json!({"first_port": 0}))?;
    let entries = vec![demo.address("entry-1")?, demo.address("entry-2")?];
    let mut caller = Caller {
        previous_entries: Vec::new(),
        entries: entries.clone(),
        key: "demo-caller-key".into(),
        recorder: Recorder::default(),
    };
    let prompt = json!({"model": "assistant", "prompt": "Describe the lagoon.",
        "max_tokens": 10, "stream": true});
    caller.generate(&prompt).await?;
    let (path, body) = ("/v1/services/booking/confirm", json!({"room": 12}));
    let first = caller.call(path, "booking-1", &body).await?;
    assert!(matches!(first, CallOutcome::Ran(_)), "{first:?}");
    caller.entries.reverse();
    assert_eq!(caller.call(path, "booking-1", &body).await?, first);
    let operator = ctl::Client {
        entries,
        key: "demo-operator-key".into(),
        time_limit: Duration::from_secs(30),
    };
    // The status is updated by heartbeats, which may be late on a busy machine.
    wait_until("the account is in force on both instances", async || {
        let status = operator.status().await?;
        Ok((status.in_force_count == Some(2) && status.instance_count == Some(2)).then_some(()))
    })
    .await?;
    check_readme(&demo, &operator.entries).await?;
    demo.stop().await
}

/// Checks that the README contains every command that the demo prints, with the default ports.
async fn check_readme(demo: &Process, entries: &[SocketAddr]) -> anyhow::Result<()> {
    let lines = wait_until("the demo has printed its usage", async || {
        let lines = demo.output();
        let is_complete = lines.iter().any(|line| line.starts_with("Ctrl-C"));
        Ok(is_complete.then_some(lines))
    })
    .await?;
    let readme = include_str!("../../../README.md");
    for line in lines.iter().filter(|line| line.starts_with("  ")) {
        let line = line.replace(&entries[0].to_string(), "127.0.0.1:7101");
        let line = line.replace(&entries[1].to_string(), "127.0.0.1:7102");
        assert!(
            readme.contains(line.trim()),
            "the README lacks the printed command: {line}"
        );
    }
    Ok(())
}
