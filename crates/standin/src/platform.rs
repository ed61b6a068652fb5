use super::*;

/// Fake platform with a table, an object store and a process list.
#[derive(Debug)]
pub struct Platform {
    settings: PlatformSettings,
    state: Mutex<PlatformState>,
}

#[derive(Debug)]
struct PlatformState {
    down_since: Option<Instant>,
    faults: PlatformFaults,
    objects: BTreeMap<String, Bytes>,
    random: ChaCha8Rng,
    reads: RateCounter,
    processes: ProcessList,
    rows: Rows,
    writes: RateCounter,
}

/// How one write is handled, depending on the injected faults.
enum WriteOutcome {
    Applied,
    Late(Duration),
    ReplyLost,
}

impl Platform {
    /// Starts a fake platform in this process.
    ///
    /// # Errors
    ///
    /// Returns `Error::Listen` when the address cannot be bound.
    pub async fn start(settings: PlatformSettings) -> Result<FakeServer, Error> {
        let (address, limits) = (settings.address, settings.limits);
        let state = PlatformState {
            down_since: None,
            faults: settings.faults.clone(),
            objects: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            reads: RateCounter::default(),
            processes: ProcessList::default(),
            rows: Rows::default(),
            writes: RateCounter::default(),
        };
        let platform = Arc::new(Self {
            settings,
            state: Mutex::new(state),
        });
        FakeServer::launch(address, limits, |_| ServerParts {
            drained: Box::pin(std::future::ready(())),
            handler: platform,
            lifecycle: Lifecycle::new(),
            registration: None,
        })
        .await
    }

    async fn respond(self: Arc<Self>, request: Request) -> Response {
        match request.path.as_str() {
            "/faults" => return self.set_faults(&request),
            "/metrics" => return self.metrics(),
            _ => {}
        }
        let (down, delay) = self.outage_and_delay();
        sleep_unless_zero(delay).await;
        match down {
            None => {}
            Some(Outage::Disconnect) => return wire::disconnect(),
            Some(Outage::Refuse) => {
                return service_unavailable("platform_down", "the platform is down");
            }
            Some(Outage::Silent) => return std::future::pending().await,
        }
        let segments = request.segments();
        match (&request.method, segments.as_slice()) {
            (&Method::POST, ["v1", "table", "read"]) => self.read(&request),
            (&Method::POST, ["v1", "table", "transact"]) => self.transact(&request),
            (_, ["v1", "objects", name]) => self.object(&request, name),
            (&Method::GET, ["v1", "instances"]) => self.list(),
            (&Method::PUT, ["v1", "instances", id]) => self.register(&request, id),
            _ => not_found(&request),
        }
    }

    fn outage_and_delay(&self) -> (Option<Outage>, Duration) {
        let mut state = lock(&self.state);
        let jitter_ms = state.faults.delay_jitter_ms;
        let jitter_ms = state.random.random_range(0..=jitter_ms);
        let delay_ms = state.faults.delay_ms + jitter_ms;
        (state.faults.down, Duration::from_millis(delay_ms))
    }

    fn set_faults(&self, request: &Request) -> Response {
        if request.method == Method::GET {
            return wire::json(StatusCode::OK, &lock(&self.state).faults);
        }
        let faults: PlatformFaults = match request.json() {
            Err(error) => return bad_request(&error),
            Ok(faults) => faults,
        };
        let mut state = lock(&self.state);
        let now = Instant::now();
        match (state.down_since, faults.down) {
            (None, Some(_)) => state.down_since = Some(now),
            (Some(since), None) => {
                state.down_since = None;
                state
                    .processes
                    .extend_expiry(now, now.duration_since(since));
            }
            _ => {}
        }
        state.faults = faults;
        wire::empty(StatusCode::NO_CONTENT)
    }

    fn metrics(&self) -> Response {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let text = format!(
            "standin_platform_reads_total {}\nstandin_platform_reads_per_second {:.1}\n\
             standin_platform_writes_total {}\nstandin_platform_writes_per_second {:.1}\n",
            state.reads.total(),
            state.reads.per_second(now),
            state.writes.total(),
            state.writes.per_second(now),
        );
        wire::text(StatusCode::OK, text)
    }

    fn read(&self, request: &Request) -> Response {
        let mut state = lock(&self.state);
        state.reads.record(Instant::now());
        match request.json().map(|request| state.rows.read(&request)) {
            Err(error) => bad_request(&error),
            Ok(None) => wire::empty(StatusCode::BAD_REQUEST),
            Ok(Some(reply)) => wire::json(StatusCode::OK, &reply),
        }
    }

    fn transact(self: &Arc<Self>, request: &Request) -> Response {
        let (conditions, writes) = match request.json() {
            Err(error) => return bad_request(&error),
            Ok(StoreRequest::Transact { conditions, writes }) => (conditions, writes),
            Ok(_) => return wire::empty(StatusCode::BAD_REQUEST),
        };
        let mut state = lock(&self.state);
        match state.next_write_outcome() {
            WriteOutcome::Applied => {
                wire::json(StatusCode::OK, &state.rows.transact(&conditions, &writes))
            }
            WriteOutcome::Late(delay) => {
                let platform = self.clone();
                tokio::spawn(async move {
                    sleep(delay).await;
                    lock(&platform.state).rows.transact(&conditions, &writes);
                });
                wire::disconnect()
            }
            WriteOutcome::ReplyLost => {
                state.rows.transact(&conditions, &writes);
                wire::disconnect()
            }
        }
    }

    fn object(&self, request: &Request, name: &str) -> Response {
        let mut state = lock(&self.state);
        let now = Instant::now();
        match request.method {
            Method::DELETE => {
                state.writes.record(now);
                state.objects.remove(name);
                wire::empty(StatusCode::NO_CONTENT)
            }
            Method::GET => {
                state.reads.record(now);
                match state.objects.get(name) {
                    None => wire::empty(StatusCode::NOT_FOUND),
                    Some(bytes) => wire::text(StatusCode::OK, bytes.clone()),
                }
            }
            Method::PUT => {
                state.writes.record(now);
                state.objects.insert(name.into(), request.body.clone());
                wire::empty(StatusCode::NO_CONTENT)
            }
            _ => wire::empty(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    fn list(&self) -> Response {
        let state = lock(&self.state);
        let lag_ms = state
            .faults
            .list_lag_ms
            .unwrap_or(self.settings.list_lag_ms);
        let lag = Duration::from_millis(lag_ms);
        let expiry = Duration::from_millis(self.settings.expiry_ms);
        wire::json(
            StatusCode::OK,
            &state.processes.listings_at(Instant::now(), lag, expiry),
        )
    }

    fn register(&self, request: &Request, id: &str) -> Response {
        let listing: Listing = match request.json() {
            Err(error) => return bad_request(&error),
            Ok(listing) => listing,
        };
        if *listing.id != *id {
            return wire::empty(StatusCode::BAD_REQUEST);
        }
        let mut state = lock(&self.state);
        let lag_ms = state.faults.list_lag_ms.unwrap_or_default();
        let retention_ms = lag_ms.max(self.settings.list_lag_ms);
        if state
            .processes
            .upsert(Instant::now(), listing, Duration::from_millis(retention_ms))
        {
            return wire::empty(StatusCode::NO_CONTENT);
        }
        wire::empty(StatusCode::CONFLICT)
    }
}

impl PlatformState {
    /// Counts a write and decides, from the injected faults, how it is handled.
    fn next_write_outcome(&mut self) -> WriteOutcome {
        self.writes.record(Instant::now());
        let write_count = self.writes.total();
        let sample: f64 = self.random.random();
        let faults = &mut self.faults;
        if faults.late_write_count > 0 {
            faults.late_write_count -= 1;
            return WriteOutcome::Late(Duration::from_millis(faults.late_ms));
        }
        if faults.lost_reply_count > 0 {
            faults.lost_reply_count -= 1;
            return WriteOutcome::ReplyLost;
        }
        let every = faults.lost_reply_every;
        if every > 0 && write_count.is_multiple_of(every) {
            return WriteOutcome::ReplyLost;
        }
        if sample < faults.lost_reply_fraction {
            return WriteOutcome::ReplyLost;
        }
        WriteOutcome::Applied
    }
}

impl Handler for Platform {
    fn handle(self: Arc<Self>, request: Request) -> BoxFuture<'static, Response> {
        Box::pin(self.respond(request))
    }
}
