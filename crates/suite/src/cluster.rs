use {super::*, setup::ACCOUNT};

/// Clusters at once in one test process. More would keep the machine so busy that healthy
/// processes look silent to each other.
const MAX_CLUSTER_COUNT: usize = 2;

/// Time that the test account's requests have, in milliseconds. So long that admission, which
/// estimates from measured speeds whether an answer will be complete in time, refuses nothing on a
/// busy machine.
const DEADLINE_MS: u64 = 600_000;

/// Permits of the clusters of this test process.
static PERMITS: Semaphore = Semaphore::const_new(MAX_CLUSTER_COUNT);

/// Real processes on loopback: the platform, engines, services and entry instances. Dropping it
/// ends them all.
#[derive(Debug)]
pub struct Cluster {
    /// Engines; those of one failure domain follow each other in the order of their layers.
    pub engines: Vec<Process>,
    /// Entry instances.
    pub entries: Vec<Process>,
    /// Platform.
    pub platform: Process,
    /// Link of each entry instance to the platform.
    pub platform_links: Vec<Relay>,
    /// What happened.
    pub recorder: Recorder,
    /// Service targets, one in each failure domain.
    pub services: Vec<Process>,
    pub(crate) temp_dir: TempDir,
    pub(crate) setup: Setup,
    /// Last, so that the next cluster starts when the processes of this one have ended.
    _permit: SemaphorePermit<'static>,
}

impl Cluster {
    /// Starts all processes, creates the test account and waits until it is in force everywhere.
    ///
    /// # Errors
    ///
    /// Returns an error that names the process or condition that failed.
    pub async fn start(setup: Setup) -> Result<Self> {
        let permit = PERMITS.acquire().await?;
        let temp_dir = TempDir::new()?;
        let platform = Process::start(&temp_dir, "standin-platform", "platform", &setup.platform)?;
        let mut cluster = Self {
            engines: Vec::new(),
            entries: Vec::new(),
            temp_dir,
            platform,
            platform_links: Vec::new(),
            recorder: Recorder::default(),
            services: Vec::new(),
            setup,
            _permit: permit,
        };
        for domain in 0..cluster.setup.domain_count {
            cluster.start_domain(domain)?;
        }
        for number in 0..cluster.setup.entry_count {
            cluster.start_entry(number).await?;
        }
        for entry in &cluster.entries {
            cluster.wait_ready(entry).await?;
        }
        cluster.create_account().await?;
        Ok(cluster)
    }

    /// Caller of the test account that knows all entry addresses.
    ///
    /// # Errors
    ///
    /// Returns an error when an instance announced no address.
    pub fn caller(&self) -> Result<Caller> {
        Ok(Caller {
            previous_entries: Vec::new(),
            entries: self.entry_addresses()?,
            key: CALLER_KEY.into(),
            recorder: self.recorder.clone(),
        })
    }

    /// Operator's client that knows all entry addresses.
    ///
    /// # Errors
    ///
    /// Returns an error when an instance announced no address.
    pub fn operator(&self) -> Result<Client> {
        Ok(Client {
            entries: self.entry_addresses()?,
            key: OPERATOR_KEY.into(),
            time_limit: WAIT_LIMIT,
        })
    }

    /// Makes an edit and records its version.
    ///
    /// # Errors
    ///
    /// Returns the errors of `ctl`.
    pub async fn edit(&self, path: &str, entry: Value) -> Result<ConfigVersion> {
        let operation = new_operation_id()?;
        let edit = Edit {
            entry: Some(entry),
            if_match: None,
            operation_id: operation.clone(),
            path: path.into(),
        };
        let version = self.operator()?.edit(&edit).await?;
        self.recorder.record_edit(&operation, version);
        Ok(version)
    }

    /// Runs the operator's client as a process; `input` is its standard input.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot be started.
    pub async fn ctl(&self, arguments: &[&str], input: &str) -> Result<Output> {
        let mut entries = Vec::new();
        for address in self.entry_addresses()? {
            entries.push(address.to_string());
        }
        let file = self.temp_dir.path("input");
        fs::write(&file, input)?;
        let mut command = Command::new(binary_path("ctl")?);
        command
            .args(arguments)
            .env("SYCAMOREGAUGE_ENTRIES", entries.join(","))
            .env("SYCAMOREGAUGE_OPERATOR_KEY", OPERATOR_KEY)
            .stdin(File::open(file)?);
        // Relays run in this thread, so it must not block while the client waits for them.
        let output = tokio::task::spawn_blocking(move || command.output()).await??;
        Ok(output)
    }

    /// Replaces the faults of all services.
    ///
    /// # Errors
    ///
    /// Returns an error when a running one does not take them.
    pub async fn set_service_faults(&self, faults: &ServiceFaults) -> Result<()> {
        for service in &self.services {
            self.set_faults(service, faults).await?;
        }
        Ok(())
    }

    /// Replaces the faults of a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-in does not take them.
    pub async fn set_faults<T: Serialize>(&self, process: &Process, faults: &T) -> Result<()> {
        let call = Call::with_json(Method::PUT, "/faults", faults)?;
        let reply = wire::call(process.address("address")?, &call).await?;
        if !reply.status.is_success() {
            bail!("faults were refused with {}", reply.status);
        }
        Ok(())
    }

    /// Reads what engines and services ran, and checks the invariants. Call it once, at the end;
    /// what a killed process ran is not known.
    ///
    /// # Errors
    ///
    /// Returns an error with every violation.
    pub async fn check(&self) -> Result<()> {
        self.wait_until_edits_in_force().await?;
        self.record_versions().await?;
        for engine in &self.engines {
            let Some(log) = engine_log(engine).await? else {
                self.recorder.record_engine_log_lost();
                continue;
            };
            let mut runs = Vec::new();
            for run in log.runs {
                runs.push(LayerRun {
                    attempt: run.attempt,
                    index: run.index,
                    layers: run.layers,
                    request: run.request,
                });
            }
            self.recorder.record_layers(&runs);
        }
        for service in &self.services {
            let executions = read::<Vec<Execution>>(service, "/executions").await?;
            if executions.is_none() {
                self.recorder.record_execution_log_lost();
            }
            for execution in executions.unwrap_or_default() {
                if let Some(key) = execution.key {
                    self.recorder.record_execution(&key);
                }
            }
        }
        match self.recorder.check()[..] {
            [] => Ok(()),
            ref faults => bail!("invariants were violated:\n{}", faults.join("\n")),
        }
    }

    fn entry_addresses(&self) -> Result<Vec<SocketAddr>> {
        self.entries
            .iter()
            .map(|entry| entry.address("address"))
            .collect()
    }

    fn start_domain(&mut self, domain: usize) -> Result<()> {
        let platform = self.platform.address("address")?;
        for stage in 0..self.setup.stage_count {
            let settings = self.setup.engine(domain, stage, platform);
            let name = settings.place.id.clone();
            let engine = Process::start(&self.temp_dir, "standin-engine", &name, &settings)?;
            self.engines.push(engine);
        }
        let settings = self.setup.service(domain, platform);
        let name = settings.place.id.clone();
        let service = Process::start(&self.temp_dir, "standin-service", &name, &settings)?;
        self.services.push(service);
        Ok(())
    }

    pub(crate) async fn start_entry(&mut self, number: usize) -> Result<()> {
        let link = Relay::start(self.platform.address("address")?).await?;
        let settings = self.setup.entry(number, link.address());
        let name = settings.instance.clone();
        let entry = Process::start(&self.temp_dir, "entry", &name, &settings)?;
        self.entries.push(entry);
        self.platform_links.push(link);
        Ok(())
    }

    /// Waits until an instance has a configuration and knows all peers.
    pub(crate) async fn wait_ready(&self, entry: &Process) -> Result<()> {
        let address = entry.address("address")?;
        let operator = Client {
            entries: vec![address],
            ..self.operator()?
        };
        wait_until("the instance is ready and knows its peers", async || {
            let reply = wire::call(address, &Call::get("/ready")).await?;
            if !reply.status.is_success() {
                bail!("{}", String::from_utf8_lossy(&reply.body));
            }
            let count = operator.status().await?.instance_count;
            Ok((count == Some(self.setup.entry_count)).then_some(()))
        })
        .await
        .with_context(|| entry.log_tail())
    }

    async fn create_account(&self) -> Result<()> {
        let plan = json!({
            "deadline_ms": DEADLINE_MS,
            "max_wait_ms": DEADLINE_MS,
            "models": [MODEL],
            "services": [SERVICE],
        });
        self.edit("/admin/plans/standard", plan).await?;
        let account = json!({"plan": "standard", "key_hashes": [hash_key(CALLER_KEY)]});
        let version = self
            .edit(&format!("/admin/accounts/{ACCOUNT}"), account)
            .await?;
        self.operator()?
            .wait_until_in_force(version, WAIT_LIMIT)
            .await?;
        Ok(())
    }
}

/// Reads what an engine ran; none when it has ended.
///
/// # Errors
///
/// Returns an error when the engine does not reply.
pub async fn engine_log(engine: &Process) -> Result<Option<EngineLog>> {
    read(engine, "/log").await
}

/// Reads a record of a stand-in; none when it has ended.
pub(crate) async fn read<T: DeserializeOwned>(process: &Process, path: &str) -> Result<Option<T>> {
    match wire::call(process.address("address")?, &Call::get(path)).await {
        Err(error) if error.is_not_sent() => Ok(None),
        Err(error) => Err(error.into()),
        Ok(reply) => Ok(Some(reply.json()?)),
    }
}
