//! Simulation of two instances, one key and a faulty table, for searches over schedules.

use {
    crate::support::{
        context,
        faulty::{FaultyTable, Reply},
        identity, members, ms, records,
        search::Model,
    },
    control::{
        CallQuery, Command, Context, Members, OwnerStatus, RecordEffect, RecordSettings, Records,
    },
    std::sync::Arc,
    types::{CallOutcome, RequestId, Row, StoreReply},
};

/// Key of the call row.
pub const ROW: &str = "call/shop/k";

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Time advances for all processes. Those that are not ticked afterwards are paused.
    Advance,
    /// The question at this position is answered by the other process.
    Ask(usize),
    /// The target replies.
    Complete(usize),
    /// The table executes the request at this position and replies.
    Deliver(usize),
    /// The table executes the request later, and the reply is lost.
    Delay(usize),
    /// The table executes a delayed request.
    ApplyLate(usize),
    /// The table executes the request, and the reply is lost.
    LoseReply(usize),
    /// The connection to the target breaks after bytes were sent.
    Lose(usize),
    /// The table refuses the request.
    Refuse(usize),
    /// The target runs the call, at any time after its dispatch.
    Run(usize),
    /// The process restarts under the same id.
    Restart(usize),
    /// A caller submits the key to the process.
    Submit(usize),
    /// The process is ticked; the flag says whether it sees the other one as gone.
    Tick(usize, bool),
    /// The target refuses the call.
    Reject(usize),
}

#[derive(Clone)]
pub struct Process {
    context: Context,
    /// Dispatched request, and whether the target ran it.
    pub dispatched: Option<(RequestId, bool)>,
    incarnation: u64,
    /// Whether the last row that it saw was a claim of the other process.
    has_seen_claim: bool,
    name: &'static str,
    records: Records,
    /// Number of advances at its last tick.
    seen_advances: usize,
}

/// Steps of each kind that a schedule may still take.
#[derive(Clone, Copy)]
pub struct Budget {
    pub advances: usize,
    pub faults: usize,
    pub submits: usize,
}

#[derive(Clone)]
pub struct Simulation {
    advance_count: usize,
    budget: Budget,
    pub answers: Vec<(RequestId, CallOutcome)>,
    pub questions: Vec<(usize, CallQuery, RequestId)>,
    pub processes: Vec<Process>,
    pub restart_count: usize,
    pub runs: Vec<RequestId>,
    pub submit_count: usize,
    pub store: FaultyTable,
    views: Arc<Vec<[Members; 2]>>,
}

impl Process {
    fn quoted_name(&self) -> String {
        format!("\"{}\"", self.name)
    }
}

impl Simulation {
    pub fn new(budget: Budget) -> Self {
        let names = ["a", "b"];
        let views = |own: usize| {
            let other = names[1 - own];
            [
                members(names[own], &names, &[other]),
                members(names[own], &names, &[]),
            ]
        };
        let process = |index: usize| Process {
            context: context(index as u64),
            dispatched: None,
            incarnation: 1,
            has_seen_claim: false,
            name: names[index],
            records: Records::new(identity(names[index], 1), settings()),
            seen_advances: 0,
        };
        Self {
            advance_count: 0,
            budget,
            answers: Vec::new(),
            questions: Vec::new(),
            processes: vec![process(0), process(1)],
            restart_count: 0,
            runs: Vec::new(),
            submit_count: 0,
            store: FaultyTable::default(),
            views: Arc::new(vec![views(0), views(1)]),
        }
    }

    fn process_effects(&mut self, index: usize, effects: Vec<RecordEffect>) -> Result<(), String> {
        let process = &mut self.processes[index];
        for effect in effects {
            match effect {
                RecordEffect::Answer { outcome, request } => {
                    let is_not_run = matches!(outcome, CallOutcome::NotRun(_));
                    if is_not_run && process.has_seen_claim && !self.runs.is_empty() {
                        return Err(format!(
                            "{request} was told `not run` although its instance saw another claim"
                        ));
                    }
                    self.answers.push((request, outcome));
                }
                RecordEffect::ClaimConfirmed { request } => {
                    if process.records.may_dispatch(process.context.now, &request) {
                        process.dispatched = Some((request, false));
                    }
                }
            }
        }
        for command in std::mem::take(&mut process.context.commands) {
            match command {
                Command::AskOwner { query, request, .. } => {
                    self.questions.push((index, query, request));
                }
                Command::Store { request, ticket } => {
                    self.store.waiting.push((index, ticket, request));
                }
                _ => {}
            }
        }
        self.check_invariants()
    }

    fn check_invariants(&self) -> Result<(), String> {
        if self.runs.len() > 1 {
            return Err(format!("ran {} times", self.runs.len()));
        }
        for (request, outcome) in &self.answers {
            let has_run = self.runs.contains(request);
            let is_dispatched = self.processes.iter().any(|process| {
                let dispatched = process.dispatched.as_ref();
                dispatched.is_some_and(|(dispatched, _)| dispatched == request)
            });
            match outcome {
                CallOutcome::NotRun(_) if has_run || is_dispatched => {
                    return Err(format!(
                        "{request} was told `not run` but ran or may still run"
                    ));
                }
                CallOutcome::Ran(_) if self.runs.is_empty() => {
                    return Err(format!("{request} was told `ran` but nothing ran"));
                }
                _ => {}
            }
        }
        let state = self.store.table.field(ROW, "state");
        if state == "\"not_run\"" && !self.runs.is_empty() {
            return Err("the row is `not_run` but the call ran".into());
        }
        for process in &self.processes {
            let nonce: String = self.store.table.field(ROW, "nonce").replace('"', "");
            let query = CallQuery::Nonce(nonce.as_str().into());
            let owner = process.records.owner_status(&query);
            let is_own = self.store.table.field(ROW, "owner") == process.quoted_name();
            let is_current =
                self.store.table.field(ROW, "incarnation") == process.incarnation.to_string();
            let is_forgotten = owner == OwnerStatus::UnknownClaim && state == "\"started\"";
            if is_own && is_current && is_forgotten {
                return Err("the owner does not know the claim that the row holds".into());
            }
        }
        let unexpected = self
            .processes
            .iter()
            .map(|one| one.context.unexpected_count);
        if unexpected.sum::<u64>() > 0 {
            return Err("a state chart received an event that its state does not list".into());
        }
        Ok(())
    }

    fn receive_reply(&mut self, (index, ticket, result): Reply) -> Result<(), String> {
        let process = &mut self.processes[index];
        if let Ok(StoreReply::Conflict { rows } | StoreReply::Rows { rows }) = &result {
            let name = format!("\"owner\":{}", process.quoted_name());
            let is_other = |row: &Row| row.value.contains("started") && !row.value.contains(&name);
            process.has_seen_claim = rows.iter().any(is_other);
        }
        let effects = process
            .records
            .store_replied(&mut process.context, ticket, &result);
        self.process_effects(index, effects.unwrap_or_default())
    }

    fn end_attempt(&mut self, index: usize, step: Step) -> Result<(), String> {
        let process = &mut self.processes[index];
        let Some((request, _)) = process.dispatched.take() else {
            return Ok(());
        };
        let (record, context) = (&mut process.records, &mut process.context);
        let effects = match step {
            Step::Complete(_) => record.call_completed(context, &request, records::done()),
            Step::Lose(_) => record.call_lost(context, &request),
            _ => record.call_not_run(context, &request, records::refusal()),
        };
        self.process_effects(index, effects)
    }

    fn submit(&mut self, index: usize) -> Result<(), String> {
        self.submit_count += 1;
        self.budget.submits -= 1;
        let process = &mut self.processes[index];
        let mut call = records::submission(&format!("r{}", self.submit_count), "k");
        call.deadline = ms(60_000);
        let count = process.records.count();
        let effects = process.records.submit(&mut process.context, &call);
        process.has_seen_claim &= process.records.count() == count;
        self.process_effects(index, effects)
    }

    fn restart(&mut self, index: usize) {
        self.restart_count += 1;
        let incarnation = 1 + self.restart_count as u64;
        let process = &mut self.processes[index];
        process.incarnation = incarnation;
        process.records = Records::new(identity(process.name, incarnation), settings());
        process.has_seen_claim = false;
        // A call that the target ran stays dispatched when the process ends.
        if process.dispatched.as_ref().is_some_and(|(_, ran)| !ran) {
            process.dispatched = None;
        }
        for (_, _, request) in self
            .store
            .waiting
            .extract_if(.., |(owner, _, _)| *owner == index)
        {
            self.store.late.push(request);
        }
        self.questions.retain(|(sender, _, _)| *sender != index);
    }

    fn answer_question(&mut self, position: usize) -> Result<(), String> {
        let (index, query, request) = self.questions.remove(position);
        let status: OwnerStatus = self.processes[1 - index].records.owner_status(&query);
        let owner = self.processes[1 - index].name.into();
        let process = &mut self.processes[index];
        let effects =
            process
                .records
                .owner_answered(&mut process.context, &owner, &request, status);
        self.process_effects(index, effects)
    }

    fn tick(&mut self, index: usize, is_gone: bool) -> Result<(), String> {
        let views = self.views.clone();
        let process = &mut self.processes[index];
        process.seen_advances = self.advance_count;
        let members = &views[index][usize::from(is_gone)];
        let effects = process.records.tick(&mut process.context, members);
        self.process_effects(index, effects)
    }
}

impl Model for Simulation {
    type Move = Step;

    fn moves(&self) -> Vec<Step> {
        let mut moves = Vec::new();
        for (index, process) in self.processes.iter().enumerate() {
            if process.seen_advances < self.advance_count || process.has_seen_claim {
                moves.push(Step::Tick(index, false));
            }
            if process.has_seen_claim {
                moves.push(Step::Tick(index, true));
            }
            if self.budget.submits > 0 {
                moves.push(Step::Submit(index));
            }
            if self.budget.faults > 0 {
                moves.push(Step::Restart(index));
            }
            match process.dispatched {
                None => {}
                Some((_, false)) => moves.extend([Step::Run(index), Step::Reject(index)]),
                Some((_, true)) => moves.extend([Step::Complete(index), Step::Lose(index)]),
            }
        }
        for position in 0..self.store.waiting.len() {
            moves.push(Step::Deliver(position));
            if self.budget.faults > 0 {
                moves.extend([Step::LoseReply(position), Step::Delay(position)]);
                moves.push(Step::Refuse(position));
            }
        }
        moves.extend((0..self.store.late.len()).map(Step::ApplyLate));
        moves.extend((0..self.questions.len()).map(Step::Ask));
        if self.budget.advances > 0 {
            moves.push(Step::Advance);
        }
        moves
    }

    fn take(&mut self, step: &Step) -> Result<(), String> {
        let is_fault = matches!(
            step,
            Step::Delay(_) | Step::LoseReply(_) | Step::Refuse(_) | Step::Restart(_)
        );
        self.budget.faults -= usize::from(is_fault);
        match *step {
            Step::Advance => {
                self.advance_count += 1;
                self.budget.advances = self.budget.advances.saturating_sub(1);
                for process in &mut self.processes {
                    process.context.now += ms(2_100);
                    process.context.wall += ms(2_100);
                }
            }
            Step::Ask(position) => return self.answer_question(position),
            Step::Deliver(position) => {
                let reply = self.store.deliver(position);
                return self.receive_reply(reply);
            }
            Step::Delay(position) => {
                let reply = self.store.delay(position);
                return self.receive_reply(reply);
            }
            Step::ApplyLate(position) => {
                self.store.apply_late(position);
            }
            Step::LoseReply(position) => {
                let reply = self.store.lose_reply(position);
                return self.receive_reply(reply);
            }
            Step::Refuse(position) => {
                let reply = self.store.refuse(position);
                return self.receive_reply(reply);
            }
            Step::Run(index) => {
                if let Some((request, ran)) = &mut self.processes[index].dispatched {
                    *ran = true;
                    self.runs.push(request.clone());
                }
            }
            Step::Restart(index) => self.restart(index),
            Step::Submit(index) => return self.submit(index),
            Step::Tick(index, is_gone) => return self.tick(index, is_gone),
            Step::Complete(index) | Step::Lose(index) | Step::Reject(index) => {
                return self.end_attempt(index, *step);
            }
        }
        self.check_invariants()
    }

    fn digest(&self) -> String {
        let records: Vec<_> = self.processes.iter().map(|one| &one.records).collect();
        let dispatched: Vec<_> = self.processes.iter().map(|one| &one.dispatched).collect();
        let now: Vec<_> = self
            .processes
            .iter()
            .map(|one| (one.seen_advances, one.has_seen_claim))
            .collect();
        let now = (
            now,
            self.advance_count,
            self.budget.faults,
            self.submit_count,
        );
        let (store, questions, runs, answers) =
            (&self.store, &self.questions, &self.runs, &self.answers);
        format!("{records:?}{dispatched:?}{store:?}{questions:?}{runs:?}{answers:?}{now:?}")
    }
}

fn settings() -> RecordSettings {
    RecordSettings {
        batch_ms: 0,
        ..RecordSettings::default()
    }
}
