//! Smoke tests of a whole cluster. They fail when processes work on their own but not together.

use {
    serde_json::json,
    suite::{CallOutcome, Cluster, MODEL, SERVICE, Setup, engine_log, wait_until},
};

#[tokio::test]
async fn caller_gets_address_stream_and_booking() -> anyhow::Result<()> {
    let cluster = Cluster::start(Setup::default()).await?;
    let mut caller = cluster.caller()?;
    wait_until("both instances are in the process list", async || {
        Ok((caller.fetch_addresses().await?.len() == 2).then_some(()))
    })
    .await?;

    let prompt = json!({"model": MODEL, "prompt": "Describe the lagoon.", "max_tokens": 20,
        "seed": 7, "stream": true});
    let stream = caller.generate(&prompt).await?;
    assert_eq!(
        stream.text,
        standin::answer_text("Describe the lagoon.", 7, 20)
    );

    let mut stage_count = 0;
    for engine in &cluster.engines {
        let log = engine_log(engine).await?.unwrap_or_default();
        stage_count += usize::from(!log.runs.is_empty());
    }
    assert_eq!(stage_count, 2, "the completion crosses two stages");

    let path = format!("/v1/services/{SERVICE}/confirm");
    let body = json!({"room": 12});
    let first = caller.call(&path, "booking-1", &body).await?;
    assert!(matches!(first, CallOutcome::Ran(_)), "{first:?}");
    // The second call goes to the other instance.
    caller.entries.reverse();
    assert_eq!(caller.call(&path, "booking-1", &body).await?, first);
    cluster.check().await
}

#[tokio::test]
async fn instances_shut_down_gracefully() -> anyhow::Result<()> {
    let mut cluster = Cluster::start(Setup::default()).await?;
    for entry in &mut cluster.entries {
        entry.terminate()?;
    }
    for entry in &mut cluster.entries {
        assert!(entry.wait().await?.success(), "{}", entry.log_tail());
    }
    Ok(())
}
