use super::*;

/// One-way latency between an instance and any other process of the region, except the table.
pub(crate) const LINK_LATENCY: Duration = Duration::from_micros(300);

/// Time after the arrival of a request until which its answer is of use; also the deadline of the
/// simulated plan.
pub(crate) const DEADLINE: Duration = Duration::from_secs(120);

/// Time without a first token after which a caller disconnects; the same as the default of plans.
pub(crate) const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Age of the platform's list of running processes when it is read.
pub(crate) const LISTING_DELAY: Duration = Duration::from_secs(2);

/// Age of an engine's load report when it reaches an instance.
pub(crate) const REPORT_DELAY: Duration = Duration::from_millis(200);

/// Time between two `Event::Ticked` events of an instance.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Something that happens at a certain time of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum SimulationEvent {
    /// A call reaches a service.
    CallArrived {
        attempt: Attempt,
        request: RequestId,
        target: TargetId,
    },
    /// A service has completed a call.
    CallEnded {
        attempt: Attempt,
        request: RequestId,
        target: TargetId,
    },
    /// A prompt reaches its first stage.
    DispatchArrived {
        attempt: Attempt,
        priority: Priority,
        request: RequestId,
        route: Route,
    },
    /// An event reaches an instance.
    InstanceEvent { event: Box<Event>, instance: usize },
    /// A fault is injected or ends.
    Fault(Fault),
    /// The timeout of a caller passes; it disconnects unless it has a first token.
    CallerTimedOut { request: RequestId },
    /// A load poll of an instance reaches a target.
    PollArrived { instance: usize, target: TargetId },
    /// A store request reaches the table.
    StoreArrived {
        instance: usize,
        request: StoreRequest,
        ticket: StoreTicket,
    },
    /// A caller submits a request, for the first time or again after a refusal or a failure.
    Submitted {
        arrival_index: usize,
        delivered_tokens: u32,
    },
    /// The periodic tick of an instance.
    Ticked { instance: usize },
    /// The last stage of a route produces a token.
    TokenProduced {
        attempt: Attempt,
        request: RequestId,
    },
}

/// Fault to inject.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// Stops all processes of a failure domain.
    KillDomain(FailureDomain),
    /// Stops the engine with this index.
    KillEngine(usize),
    /// Stops the instance with this index.
    KillInstance(usize),
    /// Makes the table unavailable, or available again if false.
    StoreDown(bool),
}

/// Entry of the event queue. Ordered so that the maximum of the heap is the earliest event, and
/// among events of the same time the one that was scheduled first.
#[derive(Debug)]
struct ScheduledEvent {
    at: Duration,
    simulation_event: SimulationEvent,
    sequence: u64,
}

impl Eq for ScheduledEvent {}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Discrete-event simulation of instances with one policy and of the fakes around them.
pub(crate) struct Simulation {
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) engines: Vec<Engine>,
    /// Number of events that the policies have handled.
    pub(crate) event_count: u64,
    /// Requests that have been submitted and neither answered nor refused.
    pub(crate) active: BTreeMap<RequestId, ActiveRequest>,
    /// Policy of each instance; none after the instance was stopped.
    pub(crate) instances: Vec<Option<Box<dyn Policy>>>,
    pub(crate) kind: PolicyKind,
    /// Versions of the platform's list of running processes, with the time of each, oldest first.
    pub(crate) listings: Vec<(Duration, Vec<Listing>)>,
    /// Virtual time since the start.
    pub(crate) now: Duration,
    pub(crate) random: ChaCha8Rng,
    pub(crate) scenario: Scenario,
    pub(crate) services: Vec<Service>,
    pub(crate) table: FakeTable,
    pub(crate) results: Results,
    /// Real processor time that the policies of all instances have used.
    pub(crate) processor_time: Duration,
    event_queue: BinaryHeap<ScheduledEvent>,
    /// Number of the last scheduled event.
    sequence: u64,
}

impl Simulation {
    /// Creates the processes of a scenario at time zero, without arrivals.
    pub(crate) fn new(scenario: Scenario, kind: PolicyKind, seed: u64) -> Result<Self> {
        let mut simulation = Self {
            event_queue: BinaryHeap::new(),
            arrivals: Vec::new(),
            engines: scenario.engines(),
            event_count: 0,
            active: BTreeMap::new(),
            instances: Vec::new(),
            kind,
            listings: Vec::new(),
            now: Duration::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
            services: scenario.services(),
            table: FakeTable::with_lists(&scenario.lists())?,
            results: Results::new()?,
            processor_time: Duration::ZERO,
            scenario,
        };
        for index in 0..simulation.scenario.instance_count {
            let policy = kind.build(simulation.scenario.identity(index), seed + index as u64);
            simulation.instances.push(Some(policy));
            // Spreads the ticks of the instances over the tick period.
            simulation.schedule(
                TICK_PERIOD / 16 * (index as u32 % 16),
                SimulationEvent::Ticked { instance: index },
            );
        }
        simulation.record_listing();
        Ok(simulation)
    }

    /// Adds arrivals, which must be sorted by time and later than those added before.
    pub(crate) fn add_arrivals(&mut self, arrivals: Vec<Arrival>) {
        for arrival in arrivals {
            let delay = arrival.at.saturating_sub(self.now);
            let index = self.arrivals.len();
            self.arrivals.push(arrival);
            self.schedule(
                delay,
                SimulationEvent::Submitted {
                    arrival_index: index,
                    delivered_tokens: 0,
                },
            );
        }
    }

    /// Schedules an event for `delay` after the current time.
    pub(crate) fn schedule(&mut self, delay: Duration, simulation_event: SimulationEvent) {
        self.sequence += 1;
        let at = self.now + delay;
        self.event_queue.push(ScheduledEvent {
            at,
            simulation_event,
            sequence: self.sequence,
        });
    }

    /// Schedules an event for the policy of an instance.
    pub(crate) fn send_event(&mut self, delay: Duration, instance: usize, event: Event) {
        self.schedule(
            delay,
            SimulationEvent::InstanceEvent {
                event: Box::new(event),
                instance,
            },
        );
    }

    /// Applies all events up to `end`, which becomes the current time.
    pub(crate) fn run(&mut self, end: Duration) {
        while self
            .event_queue
            .peek()
            .is_some_and(|scheduled| scheduled.at <= end)
        {
            let Some(scheduled) = self.event_queue.pop() else {
                return;
            };
            self.now = scheduled.at;
            self.apply(scheduled.simulation_event);
        }
        self.now = end;
    }

    fn apply(&mut self, simulation_event: SimulationEvent) {
        match simulation_event {
            SimulationEvent::CallArrived {
                attempt,
                request,
                target,
            } => {
                self.call_arrived(attempt, &request, &target);
            }
            SimulationEvent::CallEnded {
                attempt,
                request,
                target,
            } => {
                self.call_ended(attempt, &request, &target);
            }
            SimulationEvent::DispatchArrived {
                attempt,
                priority,
                request,
                route,
            } => {
                self.dispatch_arrived(attempt, priority, &request, route);
            }
            SimulationEvent::InstanceEvent { event, instance } => self.handle(instance, *event),
            SimulationEvent::Fault(fault) => self.inject_fault(&fault),
            SimulationEvent::CallerTimedOut { request } => self.caller_timed_out(&request),
            SimulationEvent::PollArrived { instance, target } => {
                self.poll_arrived(instance, &target);
            }
            SimulationEvent::StoreArrived {
                instance,
                request,
                ticket,
            } => {
                self.store_arrived(instance, &request, ticket);
            }
            SimulationEvent::Submitted {
                arrival_index,
                delivered_tokens,
            } => {
                self.submit(arrival_index, delivered_tokens);
            }
            SimulationEvent::Ticked { instance } => {
                if self.instances[instance].is_none() {
                    return;
                }
                self.handle(instance, Event::Ticked);
                self.schedule(TICK_PERIOD, SimulationEvent::Ticked { instance });
            }
            SimulationEvent::TokenProduced { attempt, request } => {
                self.token_arrived(attempt, &request);
            }
        }
    }

    fn store_arrived(&mut self, instance: usize, request: &StoreRequest, ticket: StoreTicket) {
        let result = self.table.execute(request);
        self.send_event(
            STORE_LATENCY,
            instance,
            Event::StoreReplied { result, ticket },
        );
    }

    /// Passes an event to the policy of an instance and executes the commands that it returns.
    fn handle(&mut self, instance: usize, event: Event) {
        let Some(policy) = &mut self.instances[instance] else {
            return;
        };
        self.event_count += 1;
        let started = Instant::now();
        let commands = policy.handle(self.now, event);
        self.processor_time += started.elapsed();
        for command in commands {
            self.execute_command(instance, command);
        }
    }

    /// Records the current list of running processes as a new version.
    pub(crate) fn record_listing(&mut self) {
        let mut rows = Vec::new();
        for (index, instance) in self.instances.iter().enumerate() {
            if instance.is_none() {
                continue;
            }
            let identity = self.scenario.identity(index);
            rows.push(Listing {
                address: identity.address,
                failure_domain: identity.failure_domain,
                id: identity.instance,
                incarnation: identity.incarnation,
                leaving: false,
                region: identity.region,
                role: ListingRole::Entry {
                    peer_address: identity.peer_address,
                },
            });
        }
        let engines = self.engines.iter().filter(|engine| engine.alive);
        rows.extend(engines.map(|engine| engine.listing.clone()));
        let services = self.services.iter().filter(|service| service.alive);
        rows.extend(services.map(|service| service.listing.clone()));
        self.listings.push((self.now, rows));
    }

    /// List of running processes as a reader gets it, which is its state `LISTING_DELAY` ago.
    pub(crate) fn delayed_listing(&self) -> Vec<Listing> {
        let mut rows = &self.listings[0].1;
        for (at, later) in &self.listings {
            if *at + LISTING_DELAY <= self.now {
                rows = later;
            }
        }
        rows.clone()
    }
}
