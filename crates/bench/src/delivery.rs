use super::*;

/// One-way time to the table, counting its work.
pub(crate) const STORE_LINK: Duration = Duration::from_millis(2);

impl World {
    pub(crate) fn carry_out(&mut self, instance: usize, command: Command) {
        match command {
            Command::AnswerCall { outcome, request } => self.answer_call(&outcome, &request),
            Command::AskOwner {
                owner,
                query,
                request,
                ..
            } => {
                let status = self.owner_status(&owner, &query);
                self.send_event(
                    LINK * 2,
                    instance,
                    Event::OwnerAnswered {
                        owner,
                        request,
                        status,
                    },
                );
            }
            Command::Cancel { request, route, .. } => self.release(&request, &route),
            Command::DispatchCall {
                attempt,
                request,
                target,
                ..
            } => {
                self.start_attempt(attempt, &request);
                self.schedule(
                    LINK,
                    Happening::CallArrived {
                        attempt,
                        request,
                        target,
                    },
                );
            }
            Command::DispatchGenerate {
                attempt,
                priority,
                request,
                route,
                ..
            } => {
                self.start_attempt(attempt, &request);
                let happening = Happening::DispatchArrived {
                    attempt,
                    priority,
                    request,
                    route,
                };
                self.schedule(LINK, happening);
            }
            Command::FetchChanges { after, peer, .. } => {
                if let Some(records) = self.changes_since(&peer, after) {
                    self.send_event(LINK * 2, instance, Event::ChangesReceived { records });
                }
            }
            Command::Poll { target, .. } => {
                self.schedule(LINK, Happening::PollArrived { instance, target });
            }
            Command::PushChanges { peer, records, .. } => {
                self.tally.peer_bytes += encoded_bytes(&records);
                self.send_to_peer(&peer, Event::ChangesReceived { records });
            }
            Command::ReadListing => {
                let listings = self.lagging_listing();
                self.send_event(LINK * 2, instance, Event::ListingRead { listings });
            }
            Command::Refuse { refusal, request } => self.refused(&refusal, &request),
            Command::SendHeartbeat {
                heartbeat, peer, ..
            } => {
                self.tally.peer_bytes += encoded_bytes(&heartbeat);
                if !self.send_to_peer(&peer, Event::HeartbeatReceived(heartbeat)) {
                    self.send_event(LINK * 2, instance, Event::HeartbeatFailed { peer });
                }
            }
            Command::SetPriority {
                priority, request, ..
            } => {
                self.set_priority(&request, priority);
            }
            Command::Store { request, ticket } => {
                let happening = Happening::StoreArrived {
                    instance,
                    request,
                    ticket,
                };
                self.schedule(STORE_LINK, happening);
            }
            Command::AnswerEdit { .. }
            | Command::Log(_)
            | Command::MoveCache { .. }
            | Command::PublishLists(_)
            | Command::SendOrder { .. }
            | Command::Stop => {}
        }
    }

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

    fn send_to_peer(&mut self, peer: &InstanceId, event: Event) -> bool {
        let Some(index) = self.peer_index(peer) else {
            return false;
        };
        self.send_event(LINK, index, event);
        true
    }

    pub(crate) fn poll_arrived(&mut self, instance: usize, target: &TargetId) {
        let target = target.clone();
        if let Some(index) = self.engine_index(&target)
            && self.engines[index].alive
        {
            let report = self.engines[index].report(REPORT_LAG, Duration::from_secs(1));
            self.send_event(REPORT_LAG, instance, Event::LoadReceived { report, target });
            return;
        }
        for service in &self.services {
            if service.listing.id == target && service.alive {
                let report = service.report();
                self.send_event(LINK, instance, Event::LoadReceived { report, target });
                return;
            }
        }
        let kind = FailureKind::Unreachable;
        self.send_event(LINK, instance, Event::LoadFailed { kind, target });
    }

    pub(crate) fn fail(&mut self, fault: &Fault) {
        match fault {
            Fault::KillDomain(domain) => self.kill_domain(domain),
            Fault::KillEngine(index) => self.kill_engine(*index),
            Fault::KillInstance(index) => self.kill_instance(*index),
            Fault::StoreDown(down) => self.table.down = *down,
        }
        self.note_listing();
    }

    fn kill_domain(&mut self, domain: &FailureDomain) {
        for index in 0..self.instances.len() {
            if self.scene.domain(index) == *domain {
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

fn encoded_bytes<T: Serialize>(message: &T) -> u64 {
    bincode::serialized_size(message).unwrap_or(0)
}
