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
            Command::AskOwner {
                owner,
                query,
                request,
                ..
            } => {
                self.push(index, ms(2), Item::Ask(number(&owner), query, request));
            }
            Command::Cancel {
                attempt, request, ..
            } => {
                self.work
                    .retain(|work| work.request != request || work.attempt != attempt);
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
            Command::FetchChanges { after, peer, .. } => {
                self.push(index, ms(3), Item::Fetch(number(&peer), after));
            }
            Command::Poll { target, .. } => self.poll(index, target),
            Command::PushChanges { peer, records, .. } => {
                self.message(
                    index,
                    number(&peer),
                    Event::ChangesReceived { records },
                    None,
                );
            }
            Command::ReadListing => {
                let seen = now.saturating_sub(self.lag);
                let past = self.listings.iter().rev().find(|(at, _)| *at <= seen);
                let listings = past.map_or_else(Vec::new, |(_, rows)| rows.clone());
                self.push(index, ms(5), Item::Event(Event::ListingRead { listings }));
            }
            Command::Refuse { refusal, request } => {
                self.assemblies.remove(&request);
                self.facts
                    .final_answer(now, &request, "refused", Some(&refusal));
            }
            Command::SendHeartbeat {
                heartbeat, peer, ..
            } => {
                let failed = Event::HeartbeatFailed { peer: peer.clone() };
                self.message(
                    index,
                    number(&peer),
                    Event::HeartbeatReceived(heartbeat),
                    Some(failed),
                );
            }
            Command::Store { request, ticket } => {
                self.facts.stored(now, index);
                self.push(index, ms(2), Item::Reply(ticket, request));
            }
            Command::Log(_)
            | Command::MoveCache { .. }
            | Command::PublishLists(_)
            | Command::SendOrder { .. }
            | Command::SetPriority { .. }
            | Command::Stop => {}
        }
    }

    fn is_linked(&self, left: usize, right: usize) -> bool {
        let pair = (left.min(right), left.max(right));
        self.entries[right].decide.is_some() && !self.cuts.contains(&pair)
    }

    fn message(&mut self, from: usize, to: usize, event: Event, failed: Option<Event>) {
        if !self.is_linked(from, to) {
            if let Some(failed) = failed {
                self.push(from, ms(5), Item::Event(failed));
            }
            return;
        }
        let fate = if self.is_lossy { self.pick(20) } else { 20 };
        if fate == 0 {
            return;
        }
        if fate == 1 {
            self.push(to, ms(40), Item::Event(event.clone()));
        }
        let delay = if fate == 2 { 900 } else { 1 };
        self.push(to, ms(delay), Item::Event(event));
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
        let status = decide.map_or(OwnerStatus::NoReply, |decide| decide.owner_status(query));
        let delay = if is_linked { 2 } else { 500 };
        self.push(
            index,
            ms(delay),
            Item::Event(Event::OwnerAnswered {
                owner: format!("n{owner}").into(),
                request,
                status,
            }),
        );
    }

    pub(super) fn fetch(&mut self, index: usize, peer: usize, after: u64) {
        if !self.is_linked(index, peer) || self.entries[peer].is_paused {
            return;
        }
        let Some(decide) = &self.entries[peer].decide else {
            return;
        };
        let event = match decide.changes_since(after) {
            None => Event::ListsReceived(decide.lists().clone().into()),
            Some(records) => Event::ChangesReceived { records },
        };
        self.push(index, ms(2), Item::Event(event));
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
        self.push(
            index,
            ms(delay),
            Item::Event(Event::StoreReplied { result, ticket }),
        );
    }
}

fn number(id: &str) -> usize {
    id[1..]
        .parse()
        .expect("instances are named n0, n1, and so on")
}
