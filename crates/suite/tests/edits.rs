//! Tests that edits are not lost, applied twice, overwritten or reverted.

use {
    ctl::{Edit, Error, new_operation_id},
    serde_json::{Value, json},
    standin::PlatformFaults,
    suite::{Cluster, MODEL, SERVICE, Setup, WAIT_LIMIT, wait_until},
};

fn plan(weight: u32) -> Value {
    json!({"models": [MODEL], "services": [SERVICE], "share_weight": weight})
}

/// Two operators edit the same version at different instances; exactly one edit must be accepted.
#[tokio::test]
async fn exactly_one_of_two_concurrent_edits_is_accepted() -> anyhow::Result<()> {
    let cluster = Cluster::start(Setup::default()).await?;
    let base = cluster.operator()?.status().await?.config_version;
    let (first, mut second) = (cluster.operator()?, cluster.operator()?);
    second.entries.reverse();
    let (one, two) = (edit(1, Some(base))?, edit(2, Some(base))?);
    let results = tokio::join!(first.edit(&one), second.edit(&two));
    let (winner, version) = match results {
        (Ok(version), Err(Error::Conflict { .. })) => (&one, version),
        (Err(Error::Conflict { .. }), Ok(version)) => (&two, version),
        other => anyhow::bail!("exactly one edit must be accepted: {other:?}"),
    };
    cluster.recorder.record_edit(&winner.operation_id, version);
    first.wait_until_in_force(version, WAIT_LIMIT).await?;
    for entry in &cluster.entries {
        let mut reader = cluster.operator()?;
        reader.entries = vec![entry.address("address")?];
        let reply = reader.get("/admin/plans/standard").await?;
        assert_eq!(reply["version"], version);
        let weight = &reply["plan"]["share_weight"];
        assert_eq!(
            Some(weight),
            winner.entry.as_ref().map(|plan| &plan["share_weight"])
        );
    }
    cluster.check().await
}

/// The store applies each write but loses every second reply. Retries must not apply an edit again.
#[tokio::test]
async fn edit_whose_store_reply_is_lost_is_applied_once() -> anyhow::Result<()> {
    let cluster = Cluster::start(Setup::default()).await?;
    let base = cluster.operator()?.status().await?.config_version;
    let faults = PlatformFaults {
        lost_reply_every: 2,
        ..PlatformFaults::default()
    };
    cluster.set_faults(&cluster.platform, &faults).await?;
    let mut version = base;
    for weight in 1..=6 {
        version = cluster.edit("/admin/plans/standard", plan(weight)).await?;
        cluster.record_versions().await?;
    }
    assert_eq!(version, base + 6);
    cluster
        .operator()?
        .wait_until_in_force(version, WAIT_LIMIT)
        .await?;
    cluster.check().await
}

#[tokio::test]
async fn client_edits_waits_and_reports_conflicts() -> anyhow::Result<()> {
    let cluster = Cluster::start(Setup::default()).await?;
    let entry = plan(3).to_string();
    let arguments = ["plans", "put", "standard", "--wait", "--json"];
    let output = cluster.ctl(&arguments, &entry).await?;
    assert!(output.status.success(), "{output:?}");
    let reply: Value = serde_json::from_slice(&output.stdout)?;
    let version = reply["version"].as_u64().unwrap_or_default();
    let old = (version - 1).to_string();
    let arguments = ["plans", "put", "standard", "--if-match", &old];
    let output = cluster.ctl(&arguments, &entry).await?;
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        message.contains(&format!("the current version is {version}")),
        "{message}"
    );
    cluster.check().await
}

/// An instance is frozen during an edit and resumes with an older version, which must not replace
/// the newer one.
#[tokio::test]
async fn frozen_instance_does_not_restore_an_old_version() -> anyhow::Result<()> {
    let cluster = Cluster::start(Setup::default()).await?;
    cluster.record_versions().await?;
    cluster.entries[1].freeze()?;
    let mut operator = cluster.operator()?;
    operator.entries.truncate(1);
    // If the running instance alone is not a majority, the edit waits for the other one.
    let edit = edit(5, None)?;
    let accepted = tokio::spawn(async move {
        let version = operator.edit(&edit).await?;
        anyhow::Ok((edit.operation_id, version))
    });
    cluster.entries[1].thaw()?;
    let (operation, version) = accepted.await??;
    cluster.recorder.record_edit(&operation, version);
    wait_until("the version is in force everywhere", async || {
        cluster.record_versions().await?;
        let status = cluster.operator()?.status().await?;
        Ok((status.in_force_count(version) == Some(2)).then_some(()))
    })
    .await?;
    cluster.check().await
}

fn edit(weight: u32, if_match: Option<u64>) -> anyhow::Result<Edit> {
    Ok(Edit {
        entry: Some(plan(weight)),
        if_match,
        operation_id: new_operation_id()?,
        path: "/admin/plans/standard".into(),
    })
}
