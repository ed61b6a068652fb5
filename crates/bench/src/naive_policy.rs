use super::*;

/// Time between two reads of the platform's list of running processes.
const LISTING_PERIOD: Duration = Duration::from_secs(1);

/// Most attempts of a request.
const ATTEMPT_COUNT: Attempt = 3;

/// Baseline for comparison: picks targets from the platform's list uniformly at random, dispatches
/// requests in order of arrival, retries at once up to a fixed number of attempts and keeps no
/// records of calls.
pub(crate) struct NaivePolicy {
    /// Newest attempt of each request.
    attempts: BTreeMap<RequestId, Attempt>,
    calls: BTreeMap<RequestId, CallSubmission>,
    listings: Vec<Listing>,
    next_listing_at: Duration,
    prompts: BTreeMap<RequestId, GenerateSubmission>,
    random: ChaCha8Rng,
    reports: BTreeMap<TargetId, LoadReport>,
    /// Route of the newest attempt of each prompt, needed to cancel it.
    routes: BTreeMap<RequestId, Route>,
}

impl NaivePolicy {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            attempts: BTreeMap::new(),
            calls: BTreeMap::new(),
            listings: Vec::new(),
            next_listing_at: Duration::ZERO,
            prompts: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            reports: BTreeMap::new(),
            routes: BTreeMap::new(),
        }
    }

    /// Starts the next attempt of a request, or refuses it after the last attempt or without a
    /// target.
    fn dispatch(&mut self, request: &RequestId) -> Vec<Command> {
        let attempt = self.attempts.entry(request.clone()).or_insert(0);
        *attempt += 1;
        let attempt = *attempt;
        let command = match attempt > ATTEMPT_COUNT {
            true => None,
            false => self.choose_target(request, attempt),
        };
        if let Some(command) = command {
            return vec![command];
        }
        let refusal = Refusal {
            kind: RefusalKind::RetriesExhausted,
            retry_after: Duration::from_secs(1),
        };
        let is_call = self.calls.contains_key(request);
        self.remove_request(request);
        if is_call {
            let outcome = CallOutcome::NotRun(refusal);
            return vec![Command::AnswerCall {
                outcome,
                request: request.clone(),
            }];
        }
        vec![Command::Refuse {
            refusal,
            request: request.clone(),
        }]
    }

    fn cancel(&mut self, request: RequestId) -> Vec<Command> {
        let attempt = self.attempts.get(&request).copied();
        let route = self.routes.get(&request).cloned();
        self.remove_request(&request);
        match (attempt, route) {
            (Some(attempt), Some(route)) => vec![Command::Cancel {
                attempt,
                request,
                route,
            }],
            _ => Vec::new(),
        }
    }

    fn remove_request(&mut self, request: &RequestId) {
        self.attempts.remove(request);
        self.calls.remove(request);
        self.prompts.remove(request);
        self.routes.remove(request);
    }

    /// Command that dispatches a request to a random service or over a random route.
    fn choose_target(&mut self, request: &RequestId, attempt: Attempt) -> Option<Command> {
        if self.calls.contains_key(request) {
            let services = self.listings.iter().filter(|row| is_service(row));
            let row = services.choose(&mut self.random)?;
            let (address, target) = (row.address, row.id.clone());
            return Some(Command::DispatchCall {
                address,
                attempt,
                request: request.clone(),
                target,
            });
        }
        let route = self.route(&self.prompts.get(request)?.model.clone())?;
        let request = request.clone();
        self.routes.insert(request.clone(), route.clone());
        Some(Command::DispatchGenerate {
            attempt,
            backup: None,
            priority: 0,
            request,
            route,
        })
    }

    /// Route with a random engine for each stage of a model; none if a stage has no engine.
    fn route(&mut self, model: &ModelId) -> Option<Route> {
        let mut stages = Vec::new();
        let mut next = 0;
        while next < LAYER_COUNT {
            let mut candidates = Vec::new();
            for row in &self.listings {
                let Some(report) = self.reports.get(&row.id) else {
                    continue;
                };
                for loaded in &report.models {
                    if loaded.model != *model || loaded.layers.start != next {
                        continue;
                    }
                    let target = row.id.clone();
                    candidates.push(Stage {
                        address: row.address,
                        layers: loaded.layers,
                        target,
                    });
                }
            }
            let stage = candidates.choose(&mut self.random)?.clone();
            next = stage.layers.end;
            stages.push(stage);
        }
        Some(Route {
            layer_count: LAYER_COUNT,
            stages,
        })
    }

    /// Reads the list once per period, and polls the engines that have not reported their layers.
    fn tick(&mut self, now: Duration) -> Vec<Command> {
        if now < self.next_listing_at {
            return Vec::new();
        }
        self.next_listing_at = now + LISTING_PERIOD;
        let mut commands = vec![Command::ReadListing];
        for row in &self.listings {
            let is_engine = matches!(row.role, ListingRole::Engine { .. });
            if self.reports.contains_key(&row.id) || !is_engine {
                continue;
            }
            let (address, target) = (row.address, row.id.clone());
            commands.push(Command::Poll {
                address,
                cache_event_count: 0,
                is_engine,
                target,
            });
        }
        commands
    }
}

fn is_service(row: &Listing) -> bool {
    matches!(row.role, ListingRole::Service { .. }) && !row.leaving
}

impl Policy for NaivePolicy {
    fn handle(&mut self, now: Duration, event: Event) -> Vec<Command> {
        match event {
            Event::AttemptFailed { request, .. } => self.dispatch(&request),
            Event::CallCompleted { reply, request, .. } => {
                self.remove_request(&request);
                vec![Command::AnswerCall {
                    outcome: CallOutcome::Ran(reply),
                    request,
                }]
            }
            Event::CallSubmitted(submission) => {
                let request = submission.request.clone();
                self.calls.insert(request.clone(), submission);
                self.dispatch(&request)
            }
            Event::CallerGone { request } => self.cancel(request),
            Event::GenerateCompleted { request, .. } => {
                self.remove_request(&request);
                Vec::new()
            }
            Event::GenerateSubmitted(submission) => {
                let request = submission.request.clone();
                self.prompts.insert(request.clone(), submission);
                self.dispatch(&request)
            }
            Event::ListingRead { listings } => {
                self.listings = listings;
                Vec::new()
            }
            Event::LoadReceived { report, target } => {
                self.reports.insert(target, report);
                Vec::new()
            }
            Event::Ticked => self.tick(now),
            _ => Vec::new(),
        }
    }
}
