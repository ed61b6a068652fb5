use super::*;

/// One-way latency between an instance and the table, including the table's processing time.
pub(crate) const STORE_LATENCY: Duration = Duration::from_millis(2);

impl Simulation {
    /// Executes a command of the policy of an instance.
    pub(crate) fn execute_command(&mut self, instance: usize, command: Command) {
        match command {
            Command::AnswerCall { outcome, request } => self.answer_call(&outcome, &request),
            Command::Cancel { request, route, .. } => self.release(&request, &route),
            Command::DispatchCall {
                attempt,
                request,
                target,
                ..
            } => {
                self.start_attempt(attempt, &request);
                let simulation_event = SimulationEvent::CallArrived {
                    attempt,
                    request,
                    target,
                };
                self.schedule(LINK_LATENCY, simulation_event);
            }
            Command::DispatchGenerate {
                attempt,
                priority,
                request,
                route,
                ..
            } => {
                self.start_attempt(attempt, &request);
                let simulation_event = SimulationEvent::DispatchArrived {
                    attempt,
                    priority,
                    request,
                    route,
                };
                self.schedule(LINK_LATENCY, simulation_event);
            }
            Command::Refuse { refusal, request } => self.request_refused(&refusal, &request),
            Command::SetPriority {
                priority, request, ..
            } => self.set_priority(&request, priority),
            command => self.execute_control_command(instance, command),
        }
    }

    /// Executes the commands that do not concern the execution of one request at targets.
    fn execute_control_command(&mut self, instance: usize, command: Command) {
        match command {
            Command::AskOwner {
                owner,
                query,
                request,
                ..
            } => {
                let status = self.owner_status(&owner, &query);
                let event = Event::OwnerAnswered {
                    owner,
                    request,
                    status,
                };
                self.send_event(LINK_LATENCY * 2, instance, event);
            }
            Command::FetchChanges { after, peer, .. } => {
                if let Some(records) = self.changes_since(&peer, after) {
                    self.send_event(
                        LINK_LATENCY * 2,
                        instance,
                        Event::ChangesReceived { records },
                    );
                }
            }
            Command::Poll { target, .. } => {
                self.schedule(
                    LINK_LATENCY,
                    SimulationEvent::PollArrived { instance, target },
                );
            }
            Command::PushChanges { peer, records, .. } => {
                self.results.peer_bytes += encoded_size(&records);
                self.send_to_peer(&peer, Event::ChangesReceived { records });
            }
            Command::ReadListing => {
                let listings = self.delayed_listing();
                self.send_event(LINK_LATENCY * 2, instance, Event::ListingRead { listings });
            }
            Command::SendHeartbeat {
                heartbeat, peer, ..
            } => self.send_heartbeat(instance, heartbeat, peer),
            Command::Store { request, ticket } => {
                let simulation_event = SimulationEvent::StoreArrived {
                    instance,
                    request,
                    ticket,
                };
                self.schedule(STORE_LATENCY, simulation_event);
            }
            // The simulation does not answer edits, order models onto engines or drain instances.
            _ => {}
        }
    }

    fn send_heartbeat(&mut self, instance: usize, heartbeat: Heartbeat, peer: InstanceId) {
        self.results.peer_bytes += encoded_size(&heartbeat);
        if !self.send_to_peer(&peer, Event::HeartbeatReceived(heartbeat)) {
            self.send_event(LINK_LATENCY * 2, instance, Event::HeartbeatFailed { peer });
        }
    }

    /// Index of a running instance; none if it was stopped.
    fn peer_index(&self, peer: &InstanceId) -> Option<usize> {
        let index: usize = peer.strip_prefix("entry-")?.parse().ok()?;
        self.instances.get(index)?.as_ref()?;
        Some(index)
    }

    fn owner_status(&self, owner: &InstanceId, query: &CallQuery) -> OwnerStatus {
        let policy = self
            .peer_index(owner)
            .and_then(|index| self.instances[index].as_ref());
        policy.map_or(OwnerStatus::NoReply, |policy| policy.owner_status(query))
    }

    fn changes_since(&self, peer: &InstanceId, after: ConfigVersion) -> Option<Vec<ChangeRecord>> {
        let index = self.peer_index(peer)?;
        self.instances[index].as_ref()?.changes_since(after)
    }

    /// Sends an event to another instance; false if that instance does not run.
    fn send_to_peer(&mut self, peer: &InstanceId, event: Event) -> bool {
        let Some(index) = self.peer_index(peer) else {
            return false;
        };
        self.send_event(LINK_LATENCY, index, event);
        true
    }

    /// Answers a load poll with the target's load report, or with a failure if it does not run.
    pub(crate) fn poll_arrived(&mut self, instance: usize, target: &TargetId) {
        let target = target.clone();
        if let Some(index) = self.engine_index(&target)
            && self.engines[index].alive
        {
            let report = self.engines[index].report(REPORT_DELAY, Duration::from_secs(1));
            self.send_event(
                REPORT_DELAY,
                instance,
                Event::LoadReceived { report, target },
            );
            return;
        }
        for service in &self.services {
            if service.listing.id == target && service.alive {
                let report = service.report();
                self.send_event(
                    LINK_LATENCY,
                    instance,
                    Event::LoadReceived { report, target },
                );
                return;
            }
        }
        let kind = FailureKind::Unreachable;
        self.send_event(LINK_LATENCY, instance, Event::LoadFailed { kind, target });
    }

    /// Applies a fault and records the list of the processes that still run.
    pub(crate) fn inject_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::KillDomain(domain) => self.kill_domain(domain),
            Fault::KillEngine(index) => self.kill_engine(*index),
            Fault::KillInstance(index) => self.kill_instance(*index),
            Fault::StoreDown(down) => self.table.is_down = *down,
        }
        self.record_listing();
    }

    fn kill_domain(&mut self, domain: &FailureDomain) {
        for index in 0..self.instances.len() {
            if self.scenario.domain(index) == *domain {
                self.kill_instance(index);
            }
        }
        for index in 0..self.engines.len() {
            if self.engines[index].listing.failure_domain == *domain {
                self.kill_engine(index);
            }
        }
        for service in &mut self.services {
            service.alive &= service.listing.failure_domain != *domain;
        }
    }
}

/// Size in bytes of a message between instances.
fn encoded_size<T: Serialize>(message: &T) -> u64 {
    bincode::serialized_size(message).unwrap_or(0)
}
