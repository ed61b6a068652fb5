use super::*;

/// Secret key of the example account. It may be fixed because the demo listens on loopback only.
pub(crate) const CALLER_KEY: &str = "demo-caller-key";

/// Secret key of the operator.
pub(crate) const OPERATOR_KEY: &str = "demo-operator-key";

/// Timeout until an edit is in force on both instances.
const EDIT_WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Creates the example plan and account through the administration API and waits until they are in
/// force on both instances.
pub(crate) async fn create_account(entries: &[SocketAddr]) -> Result<()> {
    let client = Client {
        entries: entries.to_vec(),
        key: OPERATOR_KEY.into(),
        time_limit: EDIT_WAIT_LIMIT,
    };
    let plan = json!({"models": [MODEL], "services": [SERVICE]});
    let account = json!({"plan": "demo", "key_hashes": [hash_key(CALLER_KEY)]});
    let mut version = 0;
    for (path, entry) in [
        ("/admin/plans/demo", plan),
        ("/admin/accounts/demo", account),
    ] {
        let edit = Edit {
            entry: Some(entry),
            if_match: None,
            operation_id: new_operation_id()?,
            path: path.into(),
        };
        version = client
            .edit(&edit)
            .await
            .context("cannot create the example plan and account")?;
    }
    client.wait_until_in_force(version, EDIT_WAIT_LIMIT).await?;
    Ok(())
}
