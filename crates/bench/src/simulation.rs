use super::*;

/// One-way time between an instance and anything else in the region.
pub(crate) const LINK_LATENCY: Duration = Duration::from_micros(300);

/// Time from a request's arrival to the end of its use.
pub(crate) const DEADLINE: Duration = Duration::from_secs(120);

/// Time without a first token after which a caller has gone, as in the plans' default.
pub(crate) const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time by which the platform's list lags.
pub(crate) const LISTING_DELAY: Duration = Duration::from_secs(2);

/// Time by which load reports lag.
pub(crate) const REPORT_DELAY: Duration = Duration::from_millis(200);

/// Period of `Event::Ticked`.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// What happens at a time of its own.
#[derive(Clone, Debug)]
pub(crate) enum SimulationEvent {
    /// A call reaches a service.
    CallArrived {
        attempt: Attempt,
        request: RequestId,
        target: TargetId,
    },
    /// A service is done with a call.
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
    /// Something fails.
    Fault(Fault),
    /// A caller without a first token loses patience.
    CallerTimedOut { request: RequestId },
    /// A poll reaches a target.
    PollArrived { instance: usize, target: TargetId },
    /// A store request reaches the table.
    StoreArrived {
        instance: usize,
        request: StoreRequest,
        ticket: StoreTicket,
    },
    /// A caller sends a request, possibly again.
    Submitted {
        arrival: usize,
        delivered_tokens: u32,
    },
    /// An instance's tick.
    Ticked { instance: usize },
    /// A token leaves the last stage.
    TokenProduced {
        attempt: Attempt,
        request: RequestId,
    },
}

/// Failure to cause.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    KillDomain(FailureDomain),
    KillEngine(usize),
    KillInstance(usize),
    StoreDown(bool),
}

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

/// Instances under one policy, with fakes around them, in virtual time.
pub(crate) struct Simulation {
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) event_count: u64,
    pub(crate) active: BTreeMap<RequestId, ActiveRequest>,
    pub(crate) instances: Vec<Option<Box<dyn Policy>>>,
    pub(crate) kind: PolicyKind,
    pub(crate) listings: Vec<(Duration, Vec<Listing>)>,
    pub(crate) now: Duration,
    pub(crate) random: ChaCha8Rng,
    pub(crate) scenario: Scenario,
    pub(crate) services: Vec<Service>,
    pub(crate) table: FakeTable,
    pub(crate) results: Results,
    /// Processor time of all policies together.
    pub(crate) processor_time: Duration,
    event_queue: BinaryHeap<ScheduledEvent>,
    sequence: u64,
}

impl Simulation {
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
            // Spreads the ticks of the instances over the period.
            simulation.schedule(
                TICK_PERIOD / 16 * (index as u32 % 16),
                SimulationEvent::Ticked { instance: index },
            );
        }
        simulation.record_listing();
        Ok(simulation)
    }

    /// Adds arrivals; they must be sorted and later than those added before.
    pub(crate) fn add_arrivals(&mut self, arrivals: Vec<Arrival>) {
        for arrival in arrivals {
            let delay = arrival.at.saturating_sub(self.now);
            let index = self.arrivals.len();
            self.arrivals.push(arrival);
            self.schedule(
                delay,
                SimulationEvent::Submitted {
                    arrival: index,
                    delivered_tokens: 0,
                },
            );
        }
    }

    pub(crate) fn schedule(&mut self, delay: Duration, simulation_event: SimulationEvent) {
        self.sequence += 1;
        let at = self.now + delay;
        self.event_queue.push(ScheduledEvent {
            at,
            simulation_event,
            sequence: self.sequence,
        });
    }

    pub(crate) fn send_event(&mut self, delay: Duration, instance: usize, event: Event) {
        self.schedule(
            delay,
            SimulationEvent::InstanceEvent {
                event: Box::new(event),
                instance,
            },
        );
    }

    /// Runs until `end`.
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
                arrival,
                delivered_tokens,
            } => {
                self.submit(arrival, delivered_tokens);
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

    /// Remembers the list of live processes as it is now.
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

    /// The list as a reader gets it: as it was some time ago.
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
