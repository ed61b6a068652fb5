//! Schedules over two instances, one key and a faulty table. Guards against a second run of a
//! non-repeatable operation, and against a caller that is told `not run` of a call that ran.

#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

mod support;

use {
    control::{
        CallQuery, Command, Context, Members, OwnerStatus, RecordEffect, RecordSettings, Records,
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    std::sync::Arc,
    support::{
        context, identity, members, ms,
        search::{Model, follow, search},
        table::Table,
    },
    types::{
        CallOutcome, CallReply, CallSubmission, OperationKind, Refusal, RefusalKind, RequestId,
        Row, StoreFailure, StoreReply, StoreRequest, StoreTicket,
    },
    yare::parameterized,
};

const ROW: &str = "call/shop/k";

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The clock of all moves on; processes that are not ticked are paused.
    Advance,
    /// The question at this place gets the owner's answer.
    Ask(usize),
    /// The target replies.
    Complete(usize),
    /// The table gives its reply.
    Deliver(usize),
    /// The table takes the request up at a later time, and the reply is lost.
    Delay(usize),
    /// A delayed write takes effect.
    Land(usize),
    /// The table takes the request up, and the reply is lost.
    LoseReply(usize),
    /// The connection breaks after bytes were sent.
    Lose(usize),
    /// The table is down.
    Refuse(usize),
    /// The target runs the call, however long ago the dispatch was sent.
    Run(usize),
    /// The process starts again under the same id.
    Restart(usize),
    Submit(usize),
    /// Time passes at the instance, which sees the other one as gone or live.
    Tick(usize, bool),
    /// The target refuses.
    Turn(usize),
}

#[derive(Clone)]
struct Process {
    context: Context,
    /// Request whose dispatch is on its way, and whether it ran.
    dispatched: Option<(RequestId, bool)>,
    incarnation: u64,
    /// Whether the last row that it saw was another's claim.
    is_informed: bool,
    name: &'static str,
    records: Records,
    /// Advances that it has noticed.
    ticked: usize,
}

#[derive(Clone, Copy)]
struct Allowed {
    advances: usize,
    faults: usize,
    submits: usize,
}

#[derive(Clone)]
struct World {
    advance_count: usize,
    /// Faults, submissions and advances that the schedule may still use.
    allowed: Allowed,
    answers: Vec<(RequestId, CallOutcome)>,
    asks: Vec<(usize, CallQuery, RequestId)>,
    late: Vec<StoreRequest>,
    processes: Vec<Process>,
    restart_count: usize,
    runs: Vec<RequestId>,
    submit_count: usize,
    table: Table,
    view: Arc<Vec<[Members; 2]>>,
    waiting: Vec<(usize, StoreTicket, StoreRequest)>,
}

impl Process {
    fn name(&self) -> String {
        format!("\"{}\"", self.name)
    }
}

impl World {
    fn new(allowed: Allowed) -> Self {
        let names = ["a", "b"];
        let view = |own: usize| {
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
            is_informed: false,
            name: names[index],
            records: Records::new(identity(names[index], 1), settings()),
            ticked: 0,
        };
        Self {
            advance_count: 0,
            allowed,
            answers: Vec::new(),
            asks: Vec::new(),
            late: Vec::new(),
            processes: vec![process(0), process(1)],
            restart_count: 0,
            runs: Vec::new(),
            submit_count: 0,
            table: Table::default(),
            view: Arc::new(vec![view(0), view(1)]),
            waiting: Vec::new(),
        }
    }

    fn settle(&mut self, index: usize, effects: Vec<RecordEffect>) -> Result<(), String> {
        let process = &mut self.processes[index];
        for effect in effects {
            match effect {
                RecordEffect::Answer { outcome, request } => {
                    let is_not_run = matches!(outcome, CallOutcome::NotRun(_));
                    if is_not_run && process.is_informed && !self.runs.is_empty() {
                        return Err(format!("{request} was told `not run` beside a seen claim"));
                    }
                    self.answers.push((request, outcome));
                }
                RecordEffect::Cleared { request } => {
                    if process.records.may_dispatch(process.context.now, &request) {
                        process.dispatched = Some((request, false));
                    }
                }
            }
        }
        for command in std::mem::take(&mut process.context.commands) {
            match command {
                Command::AskOwner { query, request, .. } => {
                    self.asks.push((index, query, request));
                }
                Command::Store { request, ticket } => self.waiting.push((index, ticket, request)),
                _ => {}
            }
        }
        self.check()
    }

    fn check(&self) -> Result<(), String> {
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
                    return Err(format!("{request} was told `not run` and ran or may run"));
                }
                CallOutcome::Ran(_) if self.runs.is_empty() => {
                    return Err(format!("{request} was told `ran` and nothing ran"));
                }
                _ => {}
            }
        }
        let state = self.table.field(ROW, "state");
        if state == "\"not_run\"" && !self.runs.is_empty() {
            return Err("the row says not_run of a call that ran".into());
        }
        for process in &self.processes {
            let nonce: String = self.table.field(ROW, "nonce").replace('"', "");
            let query = CallQuery::Nonce(nonce.as_str().into());
            let owner = process.records.owner_status(&query);
            let is_own = self.table.field(ROW, "owner") == process.name();
            let is_current =
                self.table.field(ROW, "incarnation") == process.incarnation.to_string();
            let is_forgotten = owner == OwnerStatus::UnknownClaim && state == "\"started\"";
            if is_own && is_current && is_forgotten {
                return Err("the owner forgot a claim that the row shows".into());
            }
        }
        let unexpected = self
            .processes
            .iter()
            .map(|one| one.context.unexpected_count);
        if unexpected.sum::<u64>() > 0 {
            return Err("a chart met an event that it does not list".into());
        }
        Ok(())
    }

    fn reply(&mut self, place: usize, result: Result<(), StoreFailure>) -> Result<(), String> {
        let (index, ticket, request) = self.waiting.remove(place);
        let result = result.map(|()| self.table.run(&request));
        let process = &mut self.processes[index];
        if let Ok(StoreReply::Conflict { rows } | StoreReply::Rows { rows }) = &result {
            let name = format!("\"owner\":{}", process.name());
            let is_other = |row: &Row| row.value.contains("started") && !row.value.contains(&name);
            process.is_informed = rows.iter().any(is_other);
        }
        let effects = process
            .records
            .store_replied(&mut process.context, ticket, &result);
        self.settle(index, effects.unwrap_or_default())
    }

    fn end(&mut self, index: usize, step: Step) -> Result<(), String> {
        let process = &mut self.processes[index];
        let Some((request, _)) = process.dispatched.take() else {
            return Ok(());
        };
        let (records, context) = (&mut process.records, &mut process.context);
        let reply = CallReply {
            body: "done".into(),
            status: 200,
        };
        let refusal = Refusal {
            kind: RefusalKind::NoTarget,
            retry_after: ms(100),
        };
        let effects = match step {
            Step::Complete(_) => records.completed(context, &request, reply),
            Step::Lose(_) => records.lost(context, &request),
            _ => records.not_run(context, &request, refusal),
        };
        self.settle(index, effects)
    }

    fn submit(&mut self, index: usize) -> Result<(), String> {
        self.submit_count += 1;
        self.allowed.submits -= 1;
        let process = &mut self.processes[index];
        let call = submission(&format!("r{}", self.submit_count));
        let count = process.records.count();
        let effects = process.records.submit(&mut process.context, &call);
        process.is_informed &= process.records.count() == count;
        self.settle(index, effects)
    }

    fn restart(&mut self, index: usize) {
        self.restart_count += 1;
        let incarnation = 1 + self.restart_count as u64;
        let process = &mut self.processes[index];
        process.incarnation = incarnation;
        process.records = Records::new(identity(process.name, incarnation), settings());
        process.is_informed = false;
        // Bytes that have left the process are not called back by its end.
        if process.dispatched.as_ref().is_some_and(|(_, ran)| !ran) {
            process.dispatched = None;
        }
        for (_, _, request) in self.waiting.extract_if(.., |(owner, _, _)| *owner == index) {
            self.late.push(request);
        }
        self.asks.retain(|(asker, _, _)| *asker != index);
    }

    fn ask(&mut self, place: usize) -> Result<(), String> {
        let (index, query, request) = self.asks.remove(place);
        let status: OwnerStatus = self.processes[1 - index].records.owner_status(&query);
        let owner = self.processes[1 - index].name.into();
        let process = &mut self.processes[index];
        let effects =
            process
                .records
                .owner_answered(&mut process.context, &owner, &request, status);
        self.settle(index, effects)
    }

    fn tick(&mut self, index: usize, is_gone: bool) -> Result<(), String> {
        let view = self.view.clone();
        let process = &mut self.processes[index];
        process.ticked = self.advance_count;
        let members = &view[index][usize::from(is_gone)];
        let effects = process.records.tick(&mut process.context, members);
        self.settle(index, effects)
    }
}

impl Model for World {
    type Move = Step;

    fn moves(&self) -> Vec<Step> {
        let mut moves = Vec::new();
        for (index, process) in self.processes.iter().enumerate() {
            if process.ticked < self.advance_count || process.is_informed {
                moves.push(Step::Tick(index, false));
            }
            if process.is_informed {
                moves.push(Step::Tick(index, true));
            }
            if self.allowed.submits > 0 {
                moves.push(Step::Submit(index));
            }
            if self.allowed.faults > 0 {
                moves.push(Step::Restart(index));
            }
            match process.dispatched {
                None => {}
                Some((_, false)) => moves.extend([Step::Run(index), Step::Turn(index)]),
                Some((_, true)) => moves.extend([Step::Complete(index), Step::Lose(index)]),
            }
        }
        for place in 0..self.waiting.len() {
            moves.push(Step::Deliver(place));
            if self.allowed.faults > 0 {
                moves.extend([Step::LoseReply(place), Step::Delay(place)]);
                moves.push(Step::Refuse(place));
            }
        }
        moves.extend((0..self.late.len()).map(Step::Land));
        moves.extend((0..self.asks.len()).map(Step::Ask));
        if self.allowed.advances > 0 {
            moves.push(Step::Advance);
        }
        moves
    }

    fn take(&mut self, step: &Step) -> Result<(), String> {
        let is_fault = matches!(
            step,
            Step::Delay(_) | Step::LoseReply(_) | Step::Refuse(_) | Step::Restart(_)
        );
        self.allowed.faults -= usize::from(is_fault);
        match *step {
            Step::Advance => {
                self.advance_count += 1;
                self.allowed.advances = self.allowed.advances.saturating_sub(1);
                for process in &mut self.processes {
                    process.context.now += ms(2_100);
                    process.context.wall += ms(2_100);
                }
            }
            Step::Ask(place) => return self.ask(place),
            Step::Deliver(place) => return self.reply(place, Ok(())),
            Step::Delay(place) => {
                self.late.push(self.waiting[place].2.clone());
                return self.reply(place, Err(StoreFailure::Ambiguous));
            }
            Step::Land(place) => {
                let request = self.late.remove(place);
                self.table.run(&request);
            }
            Step::LoseReply(place) => {
                let request = self.waiting[place].2.clone();
                self.table.run(&request);
                return self.reply(place, Err(StoreFailure::Ambiguous));
            }
            Step::Refuse(place) => return self.reply(place, Err(StoreFailure::Unavailable)),
            Step::Run(index) => {
                if let Some((request, ran)) = &mut self.processes[index].dispatched {
                    *ran = true;
                    self.runs.push(request.clone());
                }
            }
            Step::Restart(index) => self.restart(index),
            Step::Submit(index) => return self.submit(index),
            Step::Tick(index, is_gone) => return self.tick(index, is_gone),
            Step::Complete(index) | Step::Lose(index) | Step::Turn(index) => {
                return self.end(index, *step);
            }
        }
        self.check()
    }

    fn digest(&self) -> String {
        let records: Vec<_> = self.processes.iter().map(|one| &one.records).collect();
        let dispatched: Vec<_> = self.processes.iter().map(|one| &one.dispatched).collect();
        let now: Vec<_> = self
            .processes
            .iter()
            .map(|one| (one.ticked, one.is_informed))
            .collect();
        let now = (
            now,
            self.advance_count,
            self.allowed.faults,
            self.submit_count,
        );
        let (table, waiting) = (&self.table, &self.waiting);
        let (late, asks, runs, answers) = (&self.late, &self.asks, &self.runs, &self.answers);
        format!(
            "{records:?}{dispatched:?}{table:?}{waiting:?}{late:?}{asks:?}{runs:?}{answers:?}{now:?}"
        )
    }
}

fn settings() -> RecordSettings {
    RecordSettings {
        batch_ms: 0,
        ..RecordSettings::default()
    }
}

fn submission(request: &str) -> CallSubmission {
    CallSubmission {
        account: "shop".into(),
        body_hash: "h".into(),
        deadline: ms(60_000),
        fingerprint: 1,
        key: Some("k".into()),
        kind: OperationKind::NonRepeatable,
        operation: "book".into(),
        request: request.into(),
        service: "s".into(),
    }
}

/// Delivers everything, with the other instance in view or not, until nothing changes.
fn heal(world: &mut World) -> Result<(), String> {
    for _ in 0..15 {
        while !world.late.is_empty() {
            world.take(&Step::Land(0))?;
        }
        while !world.waiting.is_empty() {
            world.take(&Step::Deliver(0))?;
        }
        while !world.asks.is_empty() {
            world.take(&Step::Ask(0))?;
        }
        for index in 0..2 {
            if world.processes[index]
                .dispatched
                .as_ref()
                .is_some_and(|(_, ran)| !ran)
            {
                world.take(&Step::Run(index))?;
            }
            world.take(&Step::Complete(index))?;
            world.take(&Step::Advance)?;
            world.take(&Step::Tick(index, false))?;
        }
    }
    Ok(())
}

/// Searches all short schedules from a dangerous start: each guards against a second run, a false
/// answer and a claim that its owner forgot.
#[parameterized(
    claim_is_delayed = { &[Step::Submit(0), Step::Delay(0), Step::Deliver(0)] },
    claim_is_delayed_and_window_closed = {
        &[Step::Submit(0), Step::Delay(0), Step::Advance, Step::Tick(0, false)]
    },
    owner_is_paused_before_dispatch = {
        &[Step::Submit(0), Step::Deliver(0), Step::Submit(1), Step::Deliver(0)]
    },
    refused_and_reply_lost = {
        &[Step::Submit(0), Step::Deliver(0), Step::Turn(0), Step::Tick(0, false), Step::LoseReply(0)]
    },
)]
fn no_short_schedule_breaks_an_invariant(start: &[Step]) {
    let mut world = World::new(Allowed {
        advances: 2,
        faults: 2,
        submits: 3,
    });
    for step in start {
        world.take(step).unwrap();
    }
    let (count, depth) = search(world, 6_000);
    println!("{count} states, all schedules of {depth} further steps");
}

proptest! {
    #![proptest_config(Config {
        cases: 600,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    })]

    /// Guards against rows that stay `started` after their claim was abandoned, and callers
    /// without an answer, once the table works again.
    #[test]
    fn long_schedules_keep_the_invariants_and_heal(choices in prop::collection::vec(any::<u16>(), 0..100)) {
        let mut world = World::new(Allowed { advances: 6, faults: 5, submits: 4 });
        follow(&mut world, &choices).map_err(TestCaseError::fail)?;
        heal(&mut world).map_err(TestCaseError::fail)?;
        let restarted = world.restart_count > 0;
        let state = world.table.field(ROW, "state");
        prop_assert!(restarted || state != "\"started\"", "{state}");
        prop_assert!(world.runs.is_empty() || state != "\"not_run\"", "{state}");
        prop_assert!(restarted || world.answers.len() == world.submit_count);
    }
}
