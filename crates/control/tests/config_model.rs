//! Model check of conflicting edits at two instances over a faulty table. Guards against an edit
//! that is applied twice, reverted, answered incorrectly, or written by an instance without a
//! majority.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    control::{Command, ConfigReplica, ConfigSettings, Context, Members},
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    std::sync::Arc,
    support::{
        context,
        faulty::{FaultyTable, Reply},
        members, ms,
        search::{Model, follow, search},
    },
    types::{Change, ChangeRecord, EditAnswer, OperatorLists, Plan, StoreRequest},
    yare::parameterized,
};

#[derive(Clone, Copy, Debug)]
enum Step {
    Advance,
    /// The instance loses contact with the majority.
    Isolate(usize),
    Deliver(usize),
    /// The table runs the request later, and the reply is lost.
    Delay(usize),
    /// The operator submits the edit with the second number to the instance with the first.
    Edit(usize, usize),
    Reconnect(usize),
    ApplyLate(usize),
    LoseReply(usize),
    Push(usize),
    Refuse(usize),
    Tick(usize),
}

#[derive(Clone)]
struct Simulation {
    advance_count: usize,
    answers: Vec<(usize, EditAnswer)>,
    edits: Vec<(usize, usize)>,
    fault_count: usize,
    instances: Vec<(Context, ConfigReplica, usize)>,
    is_isolated: [bool; 2],
    pushes: Vec<(usize, Vec<ChangeRecord>)>,
    store: FaultyTable,
    ticked: [usize; 2],
    view: Arc<[Members; 2]>,
}

impl Simulation {
    /// Two ready instances with empty lists.
    fn new(fault_count: usize) -> Self {
        let names = ["a", "b"];
        let instance = |index| {
            let mut config = ConfigReplica::new(ConfigSettings::default());
            config.set_majority(true);
            (context(index), config, 0)
        };
        let mut simulation = Self {
            advance_count: 0,
            answers: Vec::new(),
            edits: Vec::new(),
            fault_count,
            instances: vec![instance(0), instance(1)],
            is_isolated: [false; 2],
            pushes: Vec::new(),
            store: FaultyTable::default(),
            ticked: [0; 2],
            view: Arc::new([members("a", &names, &["b"]), members("b", &names, &["a"])]),
        };
        for _ in 0..3 {
            simulation.recovery_step().unwrap();
        }
        assert!(
            simulation
                .instances
                .iter()
                .all(|(_, config, _)| config.is_ready())
        );
        simulation
    }

    fn recovery_step(&mut self) -> Result<(), String> {
        while !self.store.late.is_empty() {
            self.take(&Step::ApplyLate(0))?;
        }
        while !self.store.waiting.is_empty() {
            self.take(&Step::Deliver(0))?;
        }
        while !self.pushes.is_empty() {
            self.take(&Step::Push(0))?;
        }
        self.take(&Step::Reconnect(0))?;
        self.take(&Step::Reconnect(1))?;
        self.take(&Step::Advance)?;
        self.take(&Step::Tick(0))?;
        self.take(&Step::Tick(1))
    }

    fn process_commands(&mut self, index: usize) -> Result<(), String> {
        for command in std::mem::take(&mut self.instances[index].0.commands) {
            match command {
                Command::AnswerEdit { answer, operation } => {
                    let number = operation[1..].parse().unwrap();
                    self.answers.push((number, answer));
                }
                Command::PushChanges { records, .. } => self.pushes.push((1 - index, records)),
                Command::Store { request, ticket } => {
                    if self.is_isolated[index] && matches!(request, StoreRequest::Transact { .. }) {
                        return Err("an instance without a majority sent a write".into());
                    }
                    self.store.waiting.push((index, ticket, request));
                }
                _ => {}
            }
        }
        self.check()
    }

    fn series(&self) -> Vec<ChangeRecord> {
        let rows = self
            .store
            .table
            .rows
            .range::<Arc<str>, _>(Arc::from("config/change/")..);
        let changes = rows.filter(|(key, _)| key.starts_with("config/change/"));
        changes
            .map(|(_, row)| serde_json::from_str(&row.value).unwrap())
            .collect()
    }

    fn check(&self) -> Result<(), String> {
        let series = self.series();
        let mut lists = OperatorLists::default();
        let mut history = vec![lists.clone()];
        for (position, record) in series.iter().enumerate() {
            if record.version != position as u64 + 1 {
                return Err("the change log has a gap".into());
            }
            lists
                .apply(&record.change)
                .map_err(|error| error.to_string())?;
            history.push(lists.clone());
        }
        for number in 0..3 {
            let operation = format!("e{number}");
            let records = series
                .iter()
                .filter(|record| *record.operation == *operation);
            if records.count() > 1 {
                return Err(format!("{operation} was applied twice"));
            }
        }
        for (context, config, highest) in &self.instances {
            let version = config.lists().version as usize;
            if version < *highest || history.get(version) != Some(&**config.lists()) {
                return Err(
                    "an instance reverted to an older version or differs from the change log"
                        .into(),
                );
            }
            if context.unexpected_count > 0 {
                return Err("a state chart got an event that it does not list".into());
            }
        }
        for (number, answer) in &self.answers {
            self.check_answer(*number, answer, &series)?;
        }
        Ok(())
    }

    fn check_answer(
        &self,
        number: usize,
        answer: &EditAnswer,
        series: &[ChangeRecord],
    ) -> Result<(), String> {
        let operation = format!("e{number}");
        let position = series.iter().find(|record| *record.operation == *operation);
        let is_single = self.edits.iter().filter(|edit| edit.1 == number).count() == 1;
        match answer {
            EditAnswer::Accepted { version }
                if position.is_none_or(|record| record.version != *version) =>
            {
                return Err(format!(
                    "{operation} was accepted and is not in the change log"
                ));
            }
            EditAnswer::Accepted { .. } | EditAnswer::Unknown { .. } => {}
            _ if is_single && position.is_some() => {
                return Err(format!("{operation} was refused and is in the change log"));
            }
            _ => {}
        }
        Ok(())
    }

    fn reply(&mut self, (index, ticket, result): Reply) -> Result<(), String> {
        self.act(index, |context, config| {
            config.store_replied(context, ticket, &result);
        })
    }

    fn advance(&mut self) {
        self.advance_count += 1;
        for (context, _, _) in &mut self.instances {
            context.now += ms(1_100);
        }
    }

    fn edit(&mut self, index: usize, number: usize) -> Result<(), String> {
        self.edits.push((index, number));
        let operation = Arc::from(format!("e{number}"));
        let change = Change::PutPlan {
            id: Arc::clone(&operation),
            plan: Plan::default(),
        };
        self.act(index, |context, config| {
            config.edit(context, &operation, None, change);
        })
    }

    /// Runs `act` on one instance and processes its commands.
    fn act(
        &mut self,
        index: usize,
        act: impl FnOnce(&mut Context, &mut ConfigReplica),
    ) -> Result<(), String> {
        let (context, config, highest) = &mut self.instances[index];
        *highest = config.lists().version as usize;
        act(context, config);
        self.is_isolated[index] = !config.has_majority();
        self.process_commands(index)
    }
}

impl Model for Simulation {
    type Move = Step;

    fn moves(&self) -> Vec<Step> {
        let mut moves = Vec::new();
        for index in 0..2 {
            if self.ticked[index] < self.advance_count {
                moves.push(Step::Tick(index));
            }
            moves.extend(match self.is_isolated[index] {
                false if self.fault_count > 0 => Some(Step::Isolate(index)),
                false => None,
                true => Some(Step::Reconnect(index)),
            });
            // Edit 0 may be submitted to both instances, the others to one instance each.
            for number in [0, 1 + index] {
                let sent = self.edits.iter().filter(|edit| edit.1 == number).count();
                if sent < if number == 0 { 3 } else { 1 } {
                    moves.push(Step::Edit(index, number));
                }
            }
        }
        for position in 0..self.store.waiting.len() {
            moves.push(Step::Deliver(position));
            if self.fault_count > 0 {
                moves.extend([
                    Step::LoseReply(position),
                    Step::Delay(position),
                    Step::Refuse(position),
                ]);
            }
        }
        moves.extend((0..self.store.late.len()).map(Step::ApplyLate));
        moves.extend((0..self.pushes.len()).map(Step::Push));
        if self.advance_count < 9 {
            moves.push(Step::Advance);
        }
        moves
    }

    fn take(&mut self, step: &Step) -> Result<(), String> {
        let is_fault = matches!(
            step,
            Step::Isolate(_) | Step::Delay(_) | Step::LoseReply(_) | Step::Refuse(_)
        );
        self.fault_count -= usize::from(is_fault);
        match *step {
            Step::Advance => {
                self.advance();
                Ok(())
            }
            Step::Isolate(index) => self.act(index, |_, config| config.set_majority(false)),
            Step::Deliver(position) => {
                let reply = self.store.deliver(position);
                self.reply(reply)
            }
            Step::Delay(position) => {
                let reply = self.store.delay(position);
                self.reply(reply)
            }
            Step::Edit(index, number) => self.edit(index, number),
            Step::Reconnect(index) => self.act(index, |_, config| config.set_majority(true)),
            Step::ApplyLate(position) => {
                self.store.apply_late(position);
                self.check()
            }
            Step::LoseReply(position) => {
                let reply = self.store.lose_reply(position);
                self.reply(reply)
            }
            Step::Push(position) => {
                let (index, records) = self.pushes.remove(position);
                self.act(index, |context, config| {
                    config.changes_received(context, &records);
                })
            }
            Step::Refuse(position) => {
                let reply = self.store.refuse(position);
                self.reply(reply)
            }
            Step::Tick(index) => {
                self.ticked[index] = self.advance_count;
                let view = self.view.clone();
                self.act(index, |context, config| {
                    config.tick(context, &view[index]);
                })
            }
        }
    }

    fn digest(&self) -> String {
        let config: Vec<_> = self.instances.iter().map(|instance| &instance.1).collect();
        let store = &self.store;
        let (pushes, answers, edits) = (&self.pushes, &self.answers, &self.edits);
        let counts = (self.advance_count, self.fault_count, self.ticked);
        format!("{config:?}{store:?}{pushes:?}{answers:?}{edits:?}{counts:?}")
    }
}

/// Each start is a prefix after which a wrong rule soon applies an edit twice or answers it
/// incorrectly.
#[parameterized(
    conflict = { &[Step::Edit(0, 1), Step::Edit(1, 2)] },
    delayed_write_and_second_instance = { &[Step::Edit(0, 0), Step::Delay(0), Step::Edit(1, 0)] },
    isolation_while_a_reply_is_lost = { &[Step::Edit(0, 0), Step::LoseReply(0), Step::Isolate(0)] },
    lost_reply = { &[Step::Edit(0, 0), Step::LoseReply(0), Step::Deliver(0)] },
)]
fn no_short_schedule_breaks_an_invariant(start: &[Step]) {
    let mut simulation = Simulation::new(2);
    let outstanding = std::mem::take(&mut simulation.store.waiting);
    for (index, ticket, request) in outstanding {
        simulation.store.waiting.push((index, ticket, request));
        simulation.take(&Step::Deliver(0)).unwrap();
    }
    for step in start {
        simulation.take(step).unwrap();
    }
    let (count, depth) = search(simulation, 20_000);
    println!("{count} states, all schedules of {depth} further steps");
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    })]

    /// Guards against instances that stay behind, and edits without an answer, after the table has
    /// recovered.
    #[test]
    fn long_schedules_keep_the_invariants_and_recover(choices in prop::collection::vec(any::<u16>(), 0..80)) {
        let mut simulation = Simulation::new(8);
        follow(&mut simulation, &choices).map_err(TestCaseError::fail)?;
        for _ in 0..8 {
            simulation.recovery_step().map_err(TestCaseError::fail)?;
        }
        let version = simulation.series().len() as u64;
        for (_, config, _) in &simulation.instances {
            prop_assert_eq!(config.lists().version, version);
        }
        let mut sent: Vec<usize> = simulation.edits.iter().map(|edit| edit.1).collect();
        sent.sort_unstable();
        sent.dedup();
        for number in sent {
            prop_assert!(simulation.answers.iter().any(|answer| answer.0 == number));
        }
    }
}
