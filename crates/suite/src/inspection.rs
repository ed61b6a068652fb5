use {super::*, cluster::read, setup::ACCOUNT};

/// Queries the state of the processes of a cluster.
impl Cluster {
    /// Records the configuration version that each running instance reports.
    ///
    /// # Errors
    ///
    /// Returns an error when an instance sends a reply that cannot be parsed.
    pub async fn record_versions(&self) -> Result<()> {
        for entry in &self.entries {
            let call = Call::get("/admin/status");
            let call = call.header("authorization", format!("Bearer {OPERATOR_KEY}"));
            let Ok(reply) = wire::call(entry.address("address")?, &call).await else {
                continue;
            };
            let version = reply.json::<ctl::Status>()?.config_version;
            self.recorder
                .record_version(&entry.id().to_string(), version);
        }
        Ok(())
    }

    /// Waits until every entry instance reports all entry instances as live.
    ///
    /// # Errors
    ///
    /// Returns an error when one of them does not within `WAIT_LIMIT`.
    pub async fn wait_until_peers_live(&self) -> Result<()> {
        for entry in &self.entries {
            let operator = Client {
                entries: vec![entry.address("address")?],
                ..self.operator()?
            };
            wait_until(
                "the instance reports all entry instances as live",
                async || {
                    let instances = operator.status().await?.instances;
                    let live = instances.iter().filter(|one| one.health == "live").count();
                    Ok((live == self.entries.len()).then_some(()))
                },
            )
            .await
            .with_context(|| entry.log_tail())?;
        }
        Ok(())
    }

    /// Reads the record of a call from the platform's table; none if the table has no such row.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not reply or the record cannot be parsed.
    pub async fn call_row(&self, key: &str) -> Result<Option<Value>> {
        let key: Arc<str> = format!("call/{ACCOUNT}/{key}").into();
        let read = StoreRequest::Read { keys: vec![key] };
        let call = Call::post("/v1/table/read", &read)?;
        let reply = wire::call(self.platform.address("address")?, &call).await?;
        let StoreReply::Rows { rows } = reply.json()? else {
            bail!("the platform answered a read without rows");
        };
        match rows.first() {
            None => Ok(None),
            Some(row) => Ok(Some(serde_json::from_str(&row.value)?)),
        }
    }

    /// Number of runs under the idempotency key `key`, over all running services.
    ///
    /// # Errors
    ///
    /// Returns an error when a running service does not reply.
    pub async fn execution_count(&self, key: &str) -> Result<usize> {
        let mut count = 0;
        for service in &self.services {
            let executions = read::<Vec<Execution>>(service, "/executions").await?;
            for execution in executions.unwrap_or_default() {
                count += usize::from(execution.key.as_deref() == Some(key));
            }
        }
        Ok(count)
    }

    /// Waits until every accepted edit is in force at every running instance. The tests of
    /// `control` check in virtual time how long that takes.
    pub(crate) async fn wait_until_edits_in_force(&self) -> Result<()> {
        let Some(newest) = self.recorder.newest_version() else {
            return Ok(());
        };
        for entry in &self.entries {
            let operator = Client {
                entries: vec![entry.address("address")?],
                time_limit: Duration::ZERO,
                ..self.operator()?
            };
            wait_until("accepted edits are in force", async || {
                if !entry.is_listening().await? {
                    return Ok(Some(()));
                }
                let version = operator.status().await?.config_version;
                Ok((version >= newest).then_some(()))
            })
            .await
            .with_context(|| entry.log_tail())?;
        }
        self.record_versions().await
    }
}
