//! Router without any of the rules: random targets, immediate retries, no call records, no fences,
//! and edits where the last write wins. Shows that each invariant check can fail.

use {
    super::*,
    types::{Change, ListingRole, Route, Row, Stage, StoreReply, Write},
};

pub struct NaiveRouter {
    calls: BTreeMap<RequestId, u32>,
    commands: Vec<Command>,
    identity: Identity,
    lists: OperatorLists,
    next_ticket: u64,
    random: ChaCha8Rng,
    targets: Vec<Listing>,
    waiting: BTreeMap<u64, StoreRequest>,
}

pub fn naive_router(identity: Identity, seed: u64, _: SystemTime) -> Box<dyn RequestRouter> {
    Box::new(NaiveRouter {
        calls: BTreeMap::new(),
        commands: Vec::new(),
        identity,
        lists: OperatorLists::default(),
        next_ticket: 0,
        random: ChaCha8Rng::seed_from_u64(seed),
        targets: Vec::new(),
        waiting: BTreeMap::new(),
    })
}

impl RequestRouter for NaiveRouter {
    fn handle(&mut self, now: Duration, event: Event) -> Vec<Command> {
        match event {
            Event::AttemptFailed {
                failure, request, ..
            } => self.retry(&request, failure.attempt),
            Event::CallCompleted { reply, request, .. } => {
                let outcome = CallOutcome::Ran(reply);
                self.commands.push(Command::AnswerCall { outcome, request });
            }
            Event::CallSubmitted(call) => self.send(&call.request, true, 1),
            Event::EditSubmitted {
                change, operation, ..
            } => self.edit(&change, operation),
            Event::GenerateSubmitted(generate) => self.send(&generate.request, false, 1),
            Event::ListingRead { listings } => self.targets = listings,
            Event::StoreReplied { result, ticket } => self.store_replied(ticket, result),
            Event::Ticked if now.subsec_millis() >= 950 => {
                self.commands.push(Command::ReadListing);
                self.store(StoreRequest::Read {
                    keys: vec!["lists".into()],
                });
            }
            _ => {}
        }
        std::mem::take(&mut self.commands)
    }

    fn lists(&self) -> &OperatorLists {
        &self.lists
    }

    fn node(&self) -> Option<&Node> {
        None
    }
}

impl NaiveRouter {
    fn store(&mut self, request: StoreRequest) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.waiting.insert(ticket, request.clone());
        self.commands.push(Command::Store { request, ticket });
    }

    fn store_replied(&mut self, ticket: u64, result: Result<StoreReply, StoreFailure>) {
        let Some(request) = self.waiting.remove(&ticket) else {
            return;
        };
        match result {
            Err(_) => self.store(request),
            Ok(StoreReply::Rows { rows }) => {
                let lists = rows
                    .first()
                    .and_then(|row: &Row| serde_json::from_str(&row.value).ok());
                self.lists = lists.unwrap_or_default();
            }
            Ok(_) => {}
        }
    }

    fn edit(&mut self, change: &Change, operation: std::sync::Arc<str>) {
        if self.lists.apply(change).is_ok() {
            let version = self.lists.version;
            let value = serde_json::to_string(&self.lists).unwrap_or_default();
            let writes = vec![Write {
                key: "lists".into(),
                value: Some(value.into()),
            }];
            self.store(StoreRequest::Transact {
                conditions: Vec::new(),
                writes,
            });
            let answer = EditAnswer::Accepted { version };
            self.commands
                .push(Command::AnswerEdit { answer, operation });
        }
    }

    fn retry(&mut self, request: &RequestId, attempt: u32) {
        let is_call = self.calls.contains_key(request);
        if attempt < 2 {
            return self.send(request, is_call, attempt + 1);
        }
        let refusal = Refusal {
            kind: types::RefusalKind::NoTarget,
            retry_after: Duration::ZERO,
        };
        let request = request.clone();
        self.commands.push(match is_call {
            true => Command::AnswerCall {
                outcome: CallOutcome::NotRun(refusal),
                request,
            },
            false => Command::Refuse { refusal, request },
        });
    }

    fn send(&mut self, request: &RequestId, is_call: bool, attempt: u32) {
        let is_suitable = |one: &&Listing| match one.role {
            ListingRole::Engine { .. } => !is_call,
            ListingRole::Entry { .. } => false,
            ListingRole::Service { .. } => is_call,
        };
        let suitable: Vec<Listing> = self.targets.iter().filter(is_suitable).cloned().collect();
        if suitable.is_empty() {
            return;
        }
        let stage = |one: &Listing, start: u32| Stage {
            address: one.address,
            layers: LayerRange {
                start,
                end: start + 8,
            },
            target: one.id.clone(),
        };
        let first = &suitable[self.random.random_range(0..suitable.len())];
        let second = &suitable[self.random.random_range(0..suitable.len())];
        if is_call {
            self.calls.insert(request.clone(), attempt);
            let (address, target) = (first.address, first.id.clone());
            return self.commands.push(Command::DispatchCall {
                address,
                attempt,
                request: request.clone(),
                target,
            });
        }
        let start = |one: &Listing| if one.id.ends_with('0') { 0 } else { 8 };
        let stages = vec![stage(first, start(first)), stage(second, start(second))];
        self.commands.push(Command::DispatchGenerate {
            attempt,
            backup: None,
            priority: 1,
            request: request.clone(),
            route: Route {
                layer_count: 16,
                stages,
            },
        });
    }
}
