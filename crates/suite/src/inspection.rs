use {super::*, cluster::read, setup::ACCOUNT};

/// Reads what the processes of a cluster show.
impl Cluster {
    /// Records the version that each running instance shows.
    ///
    /// # Errors
    ///
    /// Returns an error when an instance replies and its reply cannot be used.
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

    /// Waits until every entry instance takes all of them for live.
    ///
    /// # Errors
    ///
    /// Returns an error when one of them does not.
    pub async fn wait_until_peers_live(&self) -> Result<()> {
        for entry in &self.entries {
            let operator = Client {
                entries: vec![entry.address("address")?],
                ..self.operator()?
            };
            wait_until("the instance takes all others for live", async || {
                let instances = operator.status().await?.instances;
                let live = instances.iter().filter(|one| one.health == "live").count();
                Ok((live == self.entries.len()).then_some(()))
            })
            .await
            .with_context(|| entry.log_tail())?;
        }
        Ok(())
    }

    /// Reads the record of a call as the platform holds it; none when there is none.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not reply.
    pub async fn call_row(&self, key: &str) -> Result<Option<Value>> {
        let key: Arc<str> = format!("call/{ACCOUNT}/{key}").into();
        let read = StoreRequest::Read { keys: vec![key] };
        let call = Call::post("/v1/table/read", &read)?;
        let reply = wire::call(self.platform.address("address")?, &call).await?;
        let StoreReply::Rows { rows } = reply.json()? else {
            bail!("a read was not answered with rows");
        };
        match rows.first() {
            None => Ok(None),
            Some(row) => Ok(Some(serde_json::from_str(&row.value)?)),
        }
    }

    /// Number of runs of a non-repeatable operation under `key` at the services that live.
    ///
    /// # Errors
    ///
    /// Returns an error when a service that lives does not reply.
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

    /// Waits until every accepted edit is in force at every running instance. How long that takes
    /// is checked in virtual time by the tests of `control`.
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
