//! Commands of the instances, and the messages that follow from them.

use super::*;

impl Fleet {
    pub(super) fn obey(&mut self, index: usize, command: Command) {
        let now = self.now;
        match command {
            Command::AnswerCall { outcome, request } => {
                self.facts.call_answered(now, &request, &outcome);
            }
            Command::AnswerEdit { answer, operation } => {
                if let EditAnswer::Accepted { version } = answer {
                    self.facts.accepted(now, &operation, version);
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
                self.facts.route(&request, route.is_complete());
                let layers = route.stages.iter().map(|stage| stage.layers).collect();
                self.dispatch(index, attempt, request, targets(&route), layers);
            }
            Command::Poll { target, .. } => self.poll(index, target),
            Command::Refuse { refusal, request } => {
                self.assemblies.remove(&request);
                let facts = &mut self.facts;
                facts.final_answer(now, &request, "refused", Some(&refusal));
            }
            command => self.exchange(index, command),
        }
    }

    /// Sends messages to the platform and to peers.
    fn exchange(&mut self, index: usize, command: Command) {
        match command {
            Command::AskOwner {
                owner,
                query,
                request,
                ..
            } => {
                self.push(index, ms(2), Item::Ask(number(&owner), query, request));
            }
            Command::FetchChanges { after, peer, .. } => {
                self.push(index, ms(3), Item::Fetch(number(&peer), after));
            }
            Command::PushChanges { peer, records, .. } => {
                let event = Event::ChangesReceived { records };
                self.message(index, number(&peer), event, None);
            }
            Command::ReadListing => {
                let seen = self.now.saturating_sub(self.lag);
                let past = self.listings.iter().rev().find(|(at, _)| *at <= seen);
                let listings = past.map_or_else(Vec::new, |(_, rows)| rows.clone());
                self.event(index, 5, Event::ListingRead { listings });
            }
            Command::SendHeartbeat {
                heartbeat, peer, ..
            } => {
                let failed = Event::HeartbeatFailed { peer: peer.clone() };
                let event = Event::HeartbeatReceived(heartbeat);
                self.message(index, number(&peer), event, Some(failed));
            }
            Command::Store { request, ticket } => {
                self.facts.stored(self.now, index);
                self.push(index, ms(2), Item::Reply(ticket, request));
            }
            _ => {}
        }
    }

    fn is_linked(&self, left: usize, right: usize) -> bool {
        let pair = (left.min(right), left.max(right));
        self.entries[right].decide.is_some() && !self.cuts.contains(&pair)
    }

    fn message(&mut self, from: usize, to: usize, event: Event, failed: Option<Event>) {
        if !self.is_linked(from, to) {
            if let Some(failed) = failed {
                self.event(from, 5, failed);
            }
            return;
        }
        let fate = if self.is_lossy { self.pick(20) } else { 20 };
        if fate == 0 {
            return;
        }
        if fate == 1 {
            self.event(to, 40, event.clone());
        }
        let delay = if fate == 2 { 900 } else { 1 };
        self.event(to, delay, event);
    }

    pub(super) fn ask(
        &mut self,
        index: usize,
        owner: usize,
        query: &CallQuery,
        request: RequestId,
    ) {
        let is_linked = self.is_linked(index, owner) && !self.entries[owner].is_paused;
        let decide = self.entries[owner].decide.as_ref().filter(|_| is_linked);
        let decide = decide.and_then(|decide| decide.node());
        let status = decide.map_or(OwnerStatus::NoReply, |decide| decide.owner_status(query));
        let delay = if is_linked { 2 } else { 500 };
        self.event(
            index,
            delay,
            Event::OwnerAnswered {
                owner: format!("n{owner}").into(),
                request,
                status,
            },
        );
    }

    pub(super) fn fetch(&mut self, index: usize, peer: usize, after: u64) {
        if !self.is_linked(index, peer) || self.entries[peer].is_paused {
            return;
        }
        let decide = self.entries[peer].decide.as_ref();
        let Some(decide) = decide.and_then(|decide| decide.node()) else {
            return;
        };
        let event = match decide.changes_since(after) {
            None => Event::ListsReceived(decide.lists().clone()),
            Some(records) => Event::ChangesReceived { records },
        };
        self.event(index, 2, event);
    }

    /// The table takes up a request: replies can be lost, and writes can take effect later.
    pub(super) fn table_request(&mut self, index: usize, ticket: u64, request: &StoreRequest) {
        let is_cut = self.table_down || self.table_cuts.contains(&index);
        let fate = if self.lost_replies { self.pick(4) } else { 4 };
        let (delay, result) = match fate {
            _ if is_cut => (5, Err(StoreFailure::Unavailable)),
            0 => {
                self.table.run(request);
                (1_000, Err(StoreFailure::Ambiguous))
            }
            1 => {
                self.push(index, ms(3_000), Item::Land(request.clone()));
                (500, Err(StoreFailure::Ambiguous))
            }
            2 => (400, Ok(self.table.run(request))),
            _ => (2, Ok(self.table.run(request))),
        };
        self.event(index, delay, Event::StoreReplied { result, ticket });
    }
}

fn number(id: &str) -> usize {
    id[1..]
        .parse()
        .expect("instances are named n0, n1, and so on")
}
