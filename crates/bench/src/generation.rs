use super::*;

/// Time to fill the cache with one prompt token, at the first stage.
pub(crate) const PREFILL_PER_TOKEN: Duration = Duration::from_micros(100);

/// Part of the prefill that is left when the prompt's prefix is cached.
pub(crate) const CACHED_PREFILL_FRACTION: f64 = 0.1;

/// Tokens between two progress reports to the control thread.
const PROGRESS_TOKENS: u32 = 16;

/// Time after which a caller connects again when its instance has gone.
const RECONNECT: Duration = Duration::from_millis(20);

impl World {
    pub(crate) fn engine_index(&self, target: &TargetId) -> Option<usize> {
        let index: usize = target.strip_prefix("engine-")?.parse().ok()?;
        (index < self.engines.len()).then_some(index)
    }

    fn indexes(&self, route: &Route) -> Vec<usize> {
        route
            .stages
            .iter()
            .filter_map(|stage| self.engine_index(&stage.target))
            .collect()
    }

    pub(crate) fn start_attempt(&mut self, attempt: Attempt, request: &RequestId) {
        if let Some(flight) = self.flights.get_mut(request) {
            flight.attempt = attempt;
        }
    }

    pub(crate) fn dispatch_arrived(
        &mut self,
        attempt: Attempt,
        priority: Priority,
        request: &RequestId,
        route: Route,
    ) {
        let indexes = self.indexes(&route);
        let dead = indexes
            .iter()
            .find(|index| !self.engines[**index].alive)
            .copied();
        let Some(flight) = self.flights.get_mut(request) else {
            return;
        };
        if flight.attempt != attempt {
            return;
        }
        if let Some(dead) = dead {
            let target = self.engines[dead].listing.id.clone();
            self.attempt_failed(request, FailureKind::Unreachable, target);
            return;
        }
        flight.place = Place::Waiting;
        flight.priority = priority;
        flight.route = Some(route.clone());
        flight.warm = false;
        let request = request.clone();
        self.engines[indexes[0]].waiting.push(Waiting {
            attempt,
            priority,
            request,
            route,
        });
        self.start_waiting(indexes[0]);
    }

    /// Position of the waiting request at a first stage that starts next: of those with a free
    /// slot at every stage, the one of highest priority, then the oldest. A request whose later
    /// stage is full does not block the others.
    fn next_to_start(&self, first: usize) -> Option<usize> {
        let engine = &self.engines[first];
        if !engine.has_slot() {
            return None;
        }
        let mut best: Option<usize> = None;
        for (position, waiting) in engine.waiting.iter().enumerate() {
            if best.is_some_and(|best| waiting.priority <= engine.waiting[best].priority) {
                continue;
            }
            let mut stages = self.indexes(&waiting.route).into_iter();
            if stages.all(|index| self.engines[index].has_slot()) {
                best = Some(position);
            }
        }
        best
    }

    /// Gives free slots to the requests that wait at a first stage.
    fn start_waiting(&mut self, first: usize) {
        while let Some(position) = self.next_to_start(first) {
            let indexes = self.indexes(&self.engines[first].waiting[position].route);
            let waiting = self.engines[first].waiting.remove(position);
            for index in &indexes {
                self.engines[*index].running.insert(waiting.request.clone());
            }
            let delay = self.first_delay(&waiting.request, &indexes);
            let Some(flight) = self.flights.get_mut(&waiting.request) else {
                continue;
            };
            flight.place = Place::Running;
            flight.warm = true;
            let (attempt, request) = (waiting.attempt, waiting.request);
            self.schedule(delay, Happening::Token { attempt, request });
        }
    }

    /// Time until the first token after a request got its slots.
    fn first_delay(&mut self, request: &RequestId, indexes: &[usize]) -> Duration {
        let step = self.interval(indexes);
        let Some(flight) = self.flights.get(request) else {
            return step;
        };
        if flight.warm {
            return step;
        }
        let prefix = self.arrivals[flight.arrival].prefix;
        let tokens = self.scene.prompt_tokens() + flight.delivered_tokens;
        let mut prefill = PREFILL_PER_TOKEN * tokens;
        if self.engines[indexes[0]].touch_prefix(&[prefix]) {
            prefill = prefill.mul_f64(CACHED_PREFILL_FRACTION);
        }
        prefill + step
    }

    /// Time between two tokens over these stages.
    fn interval(&self, indexes: &[usize]) -> Duration {
        let mut total = Duration::ZERO;
        for index in indexes {
            total += self.engines[*index].step_now() + LINK;
        }
        total
    }

    pub(crate) fn token_arrived(&mut self, attempt: Attempt, request: &RequestId) {
        let now = self.now;
        let Some(flight) = self.flights.get_mut(request) else {
            return;
        };
        if flight.attempt != attempt || flight.place != Place::Running {
            return;
        }
        let Some(route) = flight.route.clone() else {
            return;
        };
        let gap = flight.first_token_at.map(|_| now - flight.last_token_at);
        flight.first_token_at.get_or_insert(now);
        flight.last_token_at = now;
        flight.delivered_tokens += 1;
        let (delivered_tokens, instance) = (flight.delivered_tokens, flight.instance);
        self.tally.token(now, gap);
        for index in self.indexes(&route) {
            self.engines[index].token_count += 1;
        }
        if delivered_tokens >= self.answer_tokens(request) {
            self.complete(request, &route);
            return;
        }
        if delivered_tokens == 1 || delivered_tokens.is_multiple_of(PROGRESS_TOKENS) {
            let request = request.clone();
            self.send_event(
                LINK,
                instance,
                Event::Progressed {
                    delivered_tokens,
                    request,
                },
            );
        }
        self.continue_or_yield(attempt, request, &route);
    }

    /// Schedules the next token, or gives the slots to a waiting request of higher priority.
    fn continue_or_yield(&mut self, attempt: Attempt, request: &RequestId, route: &Route) {
        let indexes = self.indexes(route);
        let first = indexes[0];
        let Some(flight) = self.flights.get_mut(request) else {
            return;
        };
        let priority = flight.priority;
        let engine = &self.engines[first];
        let outranked = engine
            .next_waiting()
            .is_some_and(|position| engine.waiting[position].priority > priority);
        if !outranked {
            let delay = self.interval(&indexes);
            self.schedule(
                delay,
                Happening::Token {
                    attempt,
                    request: request.clone(),
                },
            );
            return;
        }
        flight.place = Place::Waiting;
        let (request, route) = (request.clone(), route.clone());
        for index in &indexes {
            self.engines[*index].running.remove(&request);
        }
        self.engines[first].waiting.push(Waiting {
            attempt,
            priority,
            request,
            route,
        });
        self.slots_freed();
    }

    fn answer_tokens(&self, request: &RequestId) -> u32 {
        let arrival = self.flights.get(request).map(|flight| flight.arrival);
        match arrival.map(|arrival| self.arrivals[arrival].work) {
            Some(Work::Prompt { answer_tokens, .. }) => answer_tokens,
            _ => 0,
        }
    }

    fn complete(&mut self, request: &RequestId, route: &Route) {
        self.release(request, route);
        let Some(flight) = self.flights.remove(request) else {
            return;
        };
        let (attempt, token_count) = (flight.attempt, flight.delivered_tokens);
        let event = Event::GenerateCompleted {
            attempt,
            request: request.clone(),
            token_count,
        };
        self.send_event(LINK, flight.instance, event);
        self.end(flight.arrival, true, flight.first_token_at);
    }

    /// Frees whatever a request holds at the engines of a route.
    pub(crate) fn release(&mut self, request: &RequestId, route: &Route) {
        for index in self.indexes(route) {
            self.engines[index].running.remove(request);
            self.engines[index]
                .waiting
                .retain(|waiting| waiting.request != *request);
        }
        if let Some(flight) = self.flights.get_mut(request) {
            flight.place = Place::Instance;
            flight.route = None;
        }
        self.slots_freed();
    }

    fn slots_freed(&mut self) {
        for index in 0..self.engines.len() {
            if !self.engines[index].waiting.is_empty() {
                self.start_waiting(index);
            }
        }
    }

    pub(crate) fn set_priority(&mut self, request: &RequestId, priority: Priority) {
        let Some(flight) = self.flights.get_mut(request) else {
            return;
        };
        flight.priority = priority;
        let first = flight
            .route
            .as_ref()
            .and_then(|route| route.stages.first())
            .cloned();
        let Some(index) = first.and_then(|stage| self.engine_index(&stage.target)) else {
            return;
        };
        for waiting in &mut self.engines[index].waiting {
            if waiting.request == *request {
                waiting.priority = priority;
            }
        }
    }

    pub(crate) fn attempt_failed(
        &mut self,
        request: &RequestId,
        kind: FailureKind,
        target: TargetId,
    ) {
        let Some(flight) = self.flights.get(request) else {
            return;
        };
        let failure = AttemptFailure {
            attempt: flight.attempt,
            kind,
            target,
        };
        let (delivered_tokens, instance) = (flight.delivered_tokens, flight.instance);
        let request = request.clone();
        let event = Event::AttemptFailed {
            delivered_tokens,
            failure,
            request,
        };
        self.send_event(LINK, instance, event);
    }

    pub(crate) fn kill_engine(&mut self, index: usize) {
        if !self.engines[index].alive {
            return;
        }
        self.engines[index].alive = false;
        let target = self.engines[index].listing.id.clone();
        let mut hit = Vec::new();
        for (request, flight) in &self.flights {
            let route = flight.route.iter().flat_map(|route| &route.stages);
            if route.into_iter().any(|stage| stage.target == target) {
                hit.push(request.clone());
            }
        }
        for request in hit {
            if let Some(route) = self
                .flights
                .get(&request)
                .and_then(|flight| flight.route.clone())
            {
                self.release(&request, &route);
            }
            self.attempt_failed(&request, FailureKind::Broken, target.clone());
        }
    }

    pub(crate) fn kill_instance(&mut self, index: usize) {
        if self.instances[index].take().is_none() {
            return;
        }
        let mut hit = Vec::new();
        for (request, flight) in &self.flights {
            if flight.instance == index {
                hit.push(request.clone());
            }
        }
        for request in hit {
            if let Some(route) = self
                .flights
                .get(&request)
                .and_then(|flight| flight.route.clone())
            {
                self.release(&request, &route);
            }
            let Some(flight) = self.flights.remove(&request) else {
                continue;
            };
            // The naive version keeps no journal, so its callers start over.
            let delivered_tokens = match self.kind {
                PolicyKind::Naive => 0,
                PolicyKind::Shipped => flight.delivered_tokens,
            };
            let arrival = flight.arrival;
            self.schedule(
                RECONNECT,
                Happening::Submitted {
                    arrival,
                    delivered_tokens,
                },
            );
        }
    }
}
