use super::*;

/// Record of one run of an operation, as `GET /executions` returns it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Execution {
    /// Body of the call; invalid UTF-8 is replaced.
    pub body: String,
    /// Idempotency key of the call; none if it had no such header.
    pub key: Option<String>,
    /// Time since the service began its graceful shutdown, in milliseconds; none if it had not.
    pub left_since_ms: Option<u64>,
    /// Name of the operation.
    pub operation: String,
}

/// Fake service with operations that take a fixed time.
#[derive(Debug)]
pub struct Service {
    incarnation: Incarnation,
    lifecycle: Arc<Lifecycle>,
    settings: ServiceSettings,
    state: Mutex<ServiceState>,
}

#[derive(Debug)]
struct ServiceState {
    executions: Vec<Execution>,
    faults: ServiceFaults,
    load_history: LoadHistory,
    rate: RateCounter,
}

/// Counts a run as running until it is dropped, which also happens when the caller disconnects.
struct RunningCall(Arc<Service>);

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.add_running(-1);
    }
}

impl Service {
    /// Starts a fake service in this process.
    ///
    /// # Errors
    ///
    /// Returns `Error::Listen` when the address cannot be bound.
    pub async fn start(settings: ServiceSettings) -> Result<FakeServer, Error> {
        let (address, limits) = (settings.place.address, settings.limits);
        let service = Arc::new(Self {
            incarnation: settings.place.incarnation(),
            lifecycle: Lifecycle::new(),
            state: Mutex::new(ServiceState {
                executions: Vec::new(),
                faults: settings.faults.clone(),
                load_history: LoadHistory::new(Duration::from_millis(settings.report_lag_ms)),
                rate: RateCounter::default(),
            }),
            settings,
        });
        FakeServer::launch(address, limits, |address| service.parts(address)).await
    }

    fn parts(self: Arc<Self>, address: SocketAddr) -> ServerParts {
        let mut operations = Vec::new();
        for operation in &self.settings.operations {
            operations.push(ServiceOperation {
                kind: operation.kind,
                name: operation.name.clone(),
            });
        }
        let role = ListingRole::Service {
            operations,
            service: self.settings.service.clone(),
        };
        let place = &self.settings.place;
        ServerParts {
            drained: Box::pin(self.clone().wait_drained()),
            lifecycle: self.lifecycle.clone(),
            registration: Some(Registration::new(place, address, self.incarnation, role)),
            handler: self,
        }
    }

    async fn wait_drained(self: Arc<Self>) {
        sleep(Duration::from_millis(self.settings.place.leave_grace_ms)).await;
        while lock(&self.state).load_history.level().running_count > 0 {
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn respond(self: Arc<Self>, request: Request) -> Response {
        let segments = request.segments();
        match (&request.method, segments.as_slice()) {
            (&Method::GET, ["executions"]) => {
                return wire::json(StatusCode::OK, &lock(&self.state).executions);
            }
            (&Method::PUT, ["faults"]) => return self.set_faults(&request),
            _ => {}
        }
        while lock(&self.state).faults.frozen {
            sleep(POLL_INTERVAL).await;
        }
        match (&request.method, segments.as_slice()) {
            (&Method::GET, ["v1", "load"]) => self.load(),
            (&Method::POST, ["v1", "operations", name]) => {
                self.clone().run_operation(name, &request).await
            }
            _ => not_found(&request),
        }
    }

    fn set_faults(&self, request: &Request) -> Response {
        match request.json() {
            Err(error) => bad_request(&error),
            Ok(faults) => {
                lock(&self.state).faults = faults;
                wire::empty(StatusCode::NO_CONTENT)
            }
        }
    }

    fn load(&self) -> Response {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let level = state.load_history.reported(now);
        let report = LoadReport {
            age_ms: self.settings.report_lag_ms,
            incarnation: self.incarnation,
            leaving: self.lifecycle.is_leaving(),
            rate_per_s: state.rate.per_second(now),
            running_count: level.running_count,
            slot_count: self.settings.slot_count,
            waiting_count: level.waiting_count,
            ..LoadReport::default()
        };
        wire::json(StatusCode::OK, &report)
    }

    async fn run_operation(self: Arc<Self>, name: &str, request: &Request) -> Response {
        let operations = &self.settings.operations;
        let Some(operation) = operations.iter().find(|operation| *operation.name == *name) else {
            return not_found(request);
        };
        if let Some(refusal) = self.refusal_response() {
            return refusal;
        }
        self.add_running(1);
        let _running = RunningCall(self.clone());
        // Recorded before the delay, so that a run counts even if the caller disconnects during it.
        let execution_number = self.record_execution(name, request);
        let body = String::from_utf8_lossy(&request.body);
        let marker = &self.settings.crash_marker;
        if !marker.is_empty() && body.contains(marker) {
            return self.crash().await;
        }
        let added_ms = lock(&self.state).faults.delay_ms;
        sleep_unless_zero(Duration::from_millis(operation.delay_ms + added_ms)).await;
        if lock(&self.state).faults.crash {
            return self.crash().await;
        }
        let mut state = lock(&self.state);
        state.rate.record(Instant::now());
        if state.faults.drop_reply_count > 0 {
            state.faults.drop_reply_count -= 1;
            return wire::disconnect();
        }
        let reply =
            serde_json::json!({"body": body, "execution": execution_number, "operation": name});
        wire::json(StatusCode::OK, &reply)
    }

    fn refusal_response(&self) -> Option<Response> {
        let mut state = lock(&self.state);
        if state.faults.refuse_count > 0 {
            state.faults.refuse_count -= 1;
            return Some(service_unavailable(
                "refused",
                "a fault makes this service refuse",
            ));
        }
        let grace_ms = self.settings.place.leave_grace_ms;
        if self
            .lifecycle
            .leaving_for_ms()
            .is_some_and(|ms| ms > grace_ms)
        {
            return Some(service_unavailable(
                "leaving",
                "this service is about to stop",
            ));
        }
        if state.load_history.level().running_count >= self.settings.slot_count {
            return Some(service_unavailable("busy", "all slots are in use"));
        }
        None
    }

    fn record_execution(&self, operation: &str, request: &Request) -> usize {
        let execution = Execution {
            body: String::from_utf8_lossy(&request.body).into(),
            key: request.header("idempotency-key").map(Into::into),
            left_since_ms: self.lifecycle.leaving_for_ms(),
            operation: operation.into(),
        };
        let mut state = lock(&self.state);
        state.executions.push(execution);
        state.executions.len()
    }

    fn add_running(&self, change: i32) {
        let mut state = lock(&self.state);
        let mut level = state.load_history.level();
        level.running_count = level.running_count.saturating_add_signed(change);
        state.load_history.set(Instant::now(), level);
    }

    async fn crash(&self) -> Response {
        self.lifecycle.crash();
        std::future::pending().await
    }
}

impl Handler for Service {
    fn handle(self: Arc<Self>, request: Request) -> BoxFuture<'static, Response> {
        Box::pin(self.respond(request))
    }
}
