//! Execution of the commands of the instances, and the messages that result from them.

use super::*;

impl Simulation {
    pub(super) fn execute(&mut self, index: usize, command: Command) {
        let now = self.now;
        match command {
            Command::AnswerCall { outcome, request } => {
                self.checker.record_call_answer(now, &request, &outcome);
            }
            Command::AnswerEdit { answer, operation } => {
                if let EditAnswer::Accepted { version } = answer {
                    self.checker.record_accepted_edit(now, &operation, version);
                }
            }
            Command::Cancel {
                attempt, request, ..
            } => {
                let is_other = |work: &Work| work.request != request || work.attempt != attempt;
                self.work.retain(is_other);
            }
            Command::DispatchCall {
                attempt,
                request,
                target,
                ..
            } => {
                self.dispatch(index, attempt, request, vec![target], Vec::new());
            }
            Command::DispatchGenerate {
                attempt,
                request,
                route,
                ..
            } => {
                self.checker.check_route(&request, route.is_complete());
                let layers = route.stages.iter().map(|stage| stage.layers).collect();
                self.dispatch(index, attempt, request, targets(&route), layers);
            }
            Command::Poll { target, .. } => self.poll(index, target),
            Command::Refuse { refusal, request } => {
                self.assemblies.remove(&request);
                let checker = &mut self.checker;
                checker.record_final_answer(now, &request, "refused", Some(&refusal));
            }
            command => self.execute_message(index, command),
        }
    }

    /// Executes a command that sends a message to the platform, the store or a peer.
    fn execute_message(&mut self, index: usize, command: Command) {
        match command {
            Command::AskOwner {
                owner,
                query,
                request,
                ..
            } => {
                self.push(
                    index,
                    ms(2),
                    Task::AskOwner(instance_index(&owner), query, request),
                );
            }
            Command::FetchChanges { after, peer, .. } => {
                self.push(
                    index,
                    ms(3),
                    Task::FetchChanges(instance_index(&peer), after),
                );
            }
            Command::PushChanges { peer, records, .. } => {
                let event = Event::ChangesReceived { records };
                self.send_message(index, instance_index(&peer), event, None);
            }
            Command::ReadListing => {
                let seen = self.now.saturating_sub(self.listing_lag);
                let past = self.listings.iter().rev().find(|(at, _)| *at <= seen);
                let listings = past.map_or_else(Vec::new, |(_, rows)| rows.clone());
                self.push_event(index, 5, Event::ListingRead { listings });
            }
            Command::SendHeartbeat {
                heartbeat, peer, ..
            } => {
                let failed = Event::HeartbeatFailed { peer: peer.clone() };
                let event = Event::HeartbeatReceived(heartbeat);
                self.send_message(index, instance_index(&peer), event, Some(failed));
            }
            Command::Store { request, ticket } => {
                self.checker.record_store_request(self.now, index);
                self.push(index, ms(2), Task::RunStoreRequest(ticket, request));
            }
            _ => {}
        }
    }

    fn is_connected(&self, left: usize, right: usize) -> bool {
        let pair = (left.min(right), left.max(right));
        self.instances[right].router.is_some() && !self.cut_links.contains(&pair)
    }

    fn send_message(&mut self, from: usize, to: usize, event: Event, failed: Option<Event>) {
        if !self.is_connected(from, to) {
            if let Some(failed) = failed {
                self.push_event(from, 5, failed);
            }
            return;
        }
        let fault = if self.is_lossy {
            self.random_index(20)
        } else {
            20
        };
        if fault == 0 {
            return;
        }
        if fault == 1 {
            self.push_event(to, 40, event.clone());
        }
        let delay = if fault == 2 { 900 } else { 1 };
        self.push_event(to, delay, event);
    }

    pub(super) fn ask_owner(
        &mut self,
        index: usize,
        owner: usize,
        query: &CallQuery,
        request: RequestId,
    ) {
        let is_connected = self.is_connected(index, owner) && !self.instances[owner].is_paused;
        let router = self.instances[owner]
            .router
            .as_ref()
            .filter(|_| is_connected);
        let router = router.and_then(|router| router.node());
        let status = router.map_or(OwnerStatus::NoReply, |router| router.owner_status(query));
        let delay = if is_connected { 2 } else { 500 };
        self.push_event(
            index,
            delay,
            Event::OwnerAnswered {
                owner: format!("n{owner}").into(),
                request,
                status,
            },
        );
    }

    pub(super) fn fetch_changes(&mut self, index: usize, peer: usize, after: u64) {
        if !self.is_connected(index, peer) || self.instances[peer].is_paused {
            return;
        }
        let router = self.instances[peer].router.as_ref();
        let Some(router) = router.and_then(|router| router.node()) else {
            return;
        };
        let event = match router.changes_since(after) {
            None => Event::ListsReceived(router.lists().clone()),
            Some(records) => Event::ChangesReceived { records },
        };
        self.push_event(index, 2, event);
    }

    /// Runs a request on the table. With faults, replies are lost or delayed, and writes take
    /// effect later.
    pub(super) fn table_request(&mut self, index: usize, ticket: u64, request: &StoreRequest) {
        let is_cut = self.table_down || self.cut_off_from_table.contains(&index);
        let fault = if self.loses_replies {
            self.random_index(4)
        } else {
            4
        };
        let (delay, result) = match fault {
            _ if is_cut => (5, Err(StoreFailure::Unavailable)),
            0 => {
                self.table.run(request);
                (1_000, Err(StoreFailure::Ambiguous))
            }
            1 => {
                self.push(index, ms(3_000), Task::ApplyWrite(request.clone()));
                (500, Err(StoreFailure::Ambiguous))
            }
            2 => (400, Ok(self.table.run(request))),
            _ => (2, Ok(self.table.run(request))),
        };
        self.push_event(index, delay, Event::StoreReplied { result, ticket });
    }
}

fn instance_index(id: &str) -> usize {
    id[1..]
        .parse()
        .expect("instances are named n0, n1, and so on")
}
