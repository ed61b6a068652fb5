use {super::*, setup::ACCOUNT};

/// Maximum clusters that run at the same time in one test process. More would load the machine so
/// much that healthy processes miss each other's heartbeats.
const MAX_CLUSTER_COUNT: usize = 2;

/// Deadline and maximum wait of the test account's requests, in milliseconds. Admission estimates
/// from measured speeds whether an answer will be complete in time; with this value it refuses
/// nothing, even on a busy machine.
const DEADLINE_MS: u64 = 600_000;

/// Limits the clusters of this test process.
static PERMITS: Semaphore = Semaphore::const_new(MAX_CLUSTER_COUNT);

/// Real processes on loopback: a fake platform, fake engines and services, and entry instances.
/// Dropping it kills all of them.
#[derive(Debug)]
pub struct Cluster {
    /// Engines, ordered by failure domain and then by layer range.
    pub engines: Vec<Process>,
    /// Entry instances by number; number `n` runs in failure domain `n % domain_count`.
    pub entries: Vec<Process>,
    /// Fake platform.
    pub platform: Process,
    /// Relay between each entry instance and the platform, by the instance's number.
    pub platform_links: Vec<Relay>,
    /// Records of what happened, for the invariant checks.
    pub recorder: Recorder,
    /// Proxy before each fake service, if `Setup::has_service_proxies` is set.
    pub service_proxies: Vec<FaultyReplies>,
    /// Fake services, one in each failure domain.
    pub services: Vec<Process>,
    pub(crate) temp_dir: TempDir,
    pub(crate) setup: Setup,
    /// Declared last, because fields are dropped in order: the next cluster starts only after the
    /// processes of this one have ended.
    _permit: SemaphorePermit<'static>,
}

impl Cluster {
    /// Starts all processes, creates the test account and waits until all instances know it.
    ///
    /// # Errors
    ///
    /// Returns an error with the process or condition that failed.
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
            service_proxies: Vec::new(),
            services: Vec::new(),
            setup,
            _permit: permit,
        };
        for domain in 0..cluster.setup.domain_count {
            cluster.start_domain(domain).await?;
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

    /// Returns a caller of the test account that knows all entry addresses.
    ///
    /// # Errors
    ///
    /// Returns an error when an instance printed no address at its start.
    pub fn caller(&self) -> Result<Caller> {
        Ok(Caller {
            previous_entries: Vec::new(),
            entries: self.entry_addresses()?,
            key: CALLER_KEY.into(),
            recorder: self.recorder.clone(),
        })
    }

    /// Returns an operator's client that knows all entry addresses.
    ///
    /// # Errors
    ///
    /// Returns an error when an instance printed no address at its start.
    pub fn operator(&self) -> Result<Client> {
        Ok(Client {
            entries: self.entry_addresses()?,
            key: OPERATOR_KEY.into(),
            time_limit: WAIT_LIMIT,
        })
    }

    /// Sends an edit, records its version and returns it.
    ///
    /// # Errors
    ///
    /// Returns the error of `ctl::Client::edit`.
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

    /// Runs the command line client `ctl` to its end, with `input` as its standard input.
    ///
    /// # Errors
    ///
    /// Returns an error when `ctl` cannot be started.
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
        // The relays run on this thread, which must not block while the client needs them.
        let output = tokio::task::spawn_blocking(move || command.output()).await??;
        Ok(output)
    }

    /// Replaces the injected faults of all services.
    ///
    /// # Errors
    ///
    /// Returns an error when a service does not accept them.
    pub async fn set_service_faults(&self, faults: &ServiceFaults) -> Result<()> {
        for service in &self.services {
            self.set_faults(service, faults).await?;
        }
        Ok(())
    }

    /// Replaces the injected faults of a fake platform, engine or service.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not accept them.
    pub async fn set_faults<T: Serialize>(&self, process: &Process, faults: &T) -> Result<()> {
        let call = Call::with_json(Method::PUT, "/faults", faults)?;
        let reply = wire::call(process.address("address")?, &call).await?;
        if !reply.status.is_success() {
            bail!("the faults were refused with status {}", reply.status);
        }
        Ok(())
    }

    /// Collects the logs of engines and services and checks the invariants. Must be called only
    /// once, at the end of a test. Logs of killed processes are lost.
    ///
    /// # Errors
    ///
    /// Returns an error that lists all violations.
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
            ref faults => bail!("invariants violated:\n{}", faults.join("\n")),
        }
    }

    fn entry_addresses(&self) -> Result<Vec<SocketAddr>> {
        self.entries
            .iter()
            .map(|entry| entry.address("address"))
            .collect()
    }

    async fn start_domain(&mut self, domain: usize) -> Result<()> {
        let platform = self.platform.address("address")?;
        for stage in 0..self.setup.stage_count {
            let settings = self.setup.engine(domain, stage, platform);
            let name = settings.place.id.clone();
            let engine = Process::start(&self.temp_dir, "standin-engine", &name, &settings)?;
            self.engines.push(engine);
        }
        if self.setup.has_service_proxies {
            // No connection can be opened until the service has reported its address.
            let target = SocketAddr::from(([127, 0, 0, 1], 0));
            let proxy = FaultyReplies::start(target, ReplyFaults::default()).await?;
            self.service_proxies.push(proxy);
        }
        let service = self.start_service(domain)?;
        self.services.push(service);
        Ok(())
    }

    /// Starts the service of a failure domain behind its proxy, if it has one.
    pub(crate) fn start_service(&self, domain: usize) -> Result<Process> {
        let proxy = self.service_proxies.get(domain);
        let mut settings = self
            .setup
            .service(domain, self.platform.address("address")?);
        settings.place.announced_address = proxy.map(FaultyReplies::address);
        let name = settings.place.id.clone();
        let service = Process::start(&self.temp_dir, "standin-service", &name, &settings)?;
        if let Some(proxy) = proxy {
            proxy.set_target(service.address("address")?);
        }
        Ok(service)
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

    /// Waits until an instance is ready and knows all of its peers.
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

/// Reads the log of an engine; none if the engine does not accept connections.
///
/// # Errors
///
/// Returns an error when the engine does not reply.
pub async fn engine_log(engine: &Process) -> Result<Option<EngineLog>> {
    read(engine, "/log").await
}

/// Reads JSON from a path of a fake server; none if it does not accept connections.
pub(crate) async fn read<T: DeserializeOwned>(process: &Process, path: &str) -> Result<Option<T>> {
    match wire::call(process.address("address")?, &Call::get(path)).await {
        Err(error) if error.is_not_sent() => Ok(None),
        Err(error) => Err(error.into()),
        Ok(reply) => Ok(Some(reply.json()?)),
    }
}
