//! Schedules of conflicting edits at two instances over a faulty table. Guards against an edit
//! that is applied twice, reverted, reported wrongly, or written by an instance without a majority.
#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

mod support;

use {
    control::{Command, ConfigSettings, Configs, Context, Members},
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
    /// The instance no longer hears from a majority.
    CutOff(usize),
    Deliver(usize),
    /// The table takes the request up at a later time, and the reply is lost.
    Delay(usize),
    /// The operator sends the edit of this number to the instance.
    Edit(usize, usize),
    Join(usize),
    Land(usize),
    LoseReply(usize),
    Push(usize),
    Refuse(usize),
    Tick(usize),
}

#[derive(Clone)]
struct World {
    advance_count: usize,
    answers: Vec<(usize, EditAnswer)>,
    edits: Vec<(usize, usize)>,
    fault_count: usize,
    instances: Vec<(Context, Configs, usize)>,
    is_cut_off: [bool; 2],
    pushes: Vec<(usize, Vec<ChangeRecord>)>,
    store: FaultyTable,
    ticked: [usize; 2],
    view: Arc<[Members; 2]>,
}

impl World {
    /// Two instances that have joined an empty configuration.
    fn new(fault_count: usize) -> Self {
        let names = ["a", "b"];
        let instance = |index| {
            let mut configs = Configs::new(ConfigSettings::default());
            configs.note_majority(true);
            (context(index), configs, 0)
        };
        let mut world = Self {
            advance_count: 0,
            answers: Vec::new(),
            edits: Vec::new(),
            fault_count,
            instances: vec![instance(0), instance(1)],
            is_cut_off: [false; 2],
            pushes: Vec::new(),
            store: FaultyTable::default(),
            ticked: [0; 2],
            view: Arc::new([members("a", &names, &["b"]), members("b", &names, &["a"])]),
        };
        for _ in 0..3 {
            world.heal_step().unwrap();
        }
        assert!(
            world
                .instances
                .iter()
                .all(|(_, configs, _)| configs.is_ready())
        );
        world
    }

    fn heal_step(&mut self) -> Result<(), String> {
        while !self.store.late.is_empty() {
            self.take(&Step::Land(0))?;
        }
        while !self.store.waiting.is_empty() {
            self.take(&Step::Deliver(0))?;
        }
        while !self.pushes.is_empty() {
            self.take(&Step::Push(0))?;
        }
        self.take(&Step::Join(0))?;
        self.take(&Step::Join(1))?;
        self.take(&Step::Advance)?;
        self.take(&Step::Tick(0))?;
        self.take(&Step::Tick(1))
    }

    fn collect(&mut self, index: usize) -> Result<(), String> {
        for command in std::mem::take(&mut self.instances[index].0.commands) {
            match command {
                Command::AnswerEdit { answer, operation } => {
                    let number = operation[1..].parse().unwrap();
                    self.answers.push((number, answer));
                }
                Command::PushChanges { records, .. } => self.pushes.push((1 - index, records)),
                Command::Store { request, ticket } => {
                    if self.is_cut_off[index] && matches!(request, StoreRequest::Transact { .. }) {
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
        for (place, record) in series.iter().enumerate() {
            if record.version != place as u64 + 1 {
                return Err("the series has a gap".into());
            }
            lists
                .apply(&record.change)
                .map_err(|error| error.to_string())?;
            history.push(lists.clone());
        }
        for number in 0..3 {
            let operation = format!("e{number}");
            let places = series
                .iter()
                .filter(|record| *record.operation == *operation);
            if places.count() > 1 {
                return Err(format!("{operation} was applied twice"));
            }
        }
        for (context, configs, highest) in &self.instances {
            let version = configs.lists().version as usize;
            if version < *highest || history.get(version) != Some(&**configs.lists()) {
                return Err("an instance reverted, or has lists that are not in the series".into());
            }
            if context.unexpected_count > 0 {
                return Err("a chart met an event that it does not list".into());
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
        let place = series.iter().find(|record| *record.operation == *operation);
        let is_single = self.edits.iter().filter(|edit| edit.1 == number).count() == 1;
        match answer {
            EditAnswer::Accepted { version }
                if place.is_none_or(|record| record.version != *version) =>
            {
                return Err(format!("{operation} was accepted and is not in the series"));
            }
            EditAnswer::Accepted { .. } | EditAnswer::Unknown { .. } => {}
            _ if is_single && place.is_some() => {
                return Err(format!("{operation} was refused and is in the series"));
            }
            _ => {}
        }
        Ok(())
    }

    fn reply(&mut self, (index, ticket, result): Reply) -> Result<(), String> {
        self.act(index, |context, configs| {
            configs.store_replied(context, ticket, &result);
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
        self.act(index, |context, configs| {
            configs.edit(context, &operation, None, change);
        })
    }

    /// Lets one instance act and takes its commands.
    fn act(
        &mut self,
        index: usize,
        act: impl FnOnce(&mut Context, &mut Configs),
    ) -> Result<(), String> {
        let (context, configs, highest) = &mut self.instances[index];
        *highest = configs.lists().version as usize;
        act(context, configs);
        self.is_cut_off[index] = !configs.has_majority();
        self.collect(index)
    }
}

impl Model for World {
    type Move = Step;

    fn moves(&self) -> Vec<Step> {
        let mut moves = Vec::new();
        for index in 0..2 {
            if self.ticked[index] < self.advance_count {
                moves.push(Step::Tick(index));
            }
            moves.extend(match self.is_cut_off[index] {
                false if self.fault_count > 0 => Some(Step::CutOff(index)),
                false => None,
                true => Some(Step::Join(index)),
            });
            // The first edit may come to both instances, the others to one each.
            for number in [0, 1 + index] {
                let sent = self.edits.iter().filter(|edit| edit.1 == number).count();
                if sent < if number == 0 { 3 } else { 1 } {
                    moves.push(Step::Edit(index, number));
                }
            }
        }
        for place in 0..self.store.waiting.len() {
            moves.push(Step::Deliver(place));
            if self.fault_count > 0 {
                moves.extend([
                    Step::LoseReply(place),
                    Step::Delay(place),
                    Step::Refuse(place),
                ]);
            }
        }
        moves.extend((0..self.store.late.len()).map(Step::Land));
        moves.extend((0..self.pushes.len()).map(Step::Push));
        if self.advance_count < 9 {
            moves.push(Step::Advance);
        }
        moves
    }

    fn take(&mut self, step: &Step) -> Result<(), String> {
        let is_fault = matches!(
            step,
            Step::CutOff(_) | Step::Delay(_) | Step::LoseReply(_) | Step::Refuse(_)
        );
        self.fault_count -= usize::from(is_fault);
        match *step {
            Step::Advance => {
                self.advance();
                Ok(())
            }
            Step::CutOff(index) => self.act(index, |_, configs| configs.note_majority(false)),
            Step::Deliver(place) => {
                let reply = self.store.deliver(place);
                self.reply(reply)
            }
            Step::Delay(place) => {
                let reply = self.store.delay(place);
                self.reply(reply)
            }
            Step::Edit(index, number) => self.edit(index, number),
            Step::Join(index) => self.act(index, |_, configs| configs.note_majority(true)),
            Step::Land(place) => {
                self.store.land(place);
                self.check()
            }
            Step::LoseReply(place) => {
                let reply = self.store.lose_reply(place);
                self.reply(reply)
            }
            Step::Push(place) => {
                let (index, records) = self.pushes.remove(place);
                self.act(index, |context, configs| {
                    configs.changes_received(context, &records);
                })
            }
            Step::Refuse(place) => {
                let reply = self.store.refuse(place);
                self.reply(reply)
            }
            Step::Tick(index) => {
                self.ticked[index] = self.advance_count;
                let view = self.view.clone();
                self.act(index, |context, configs| {
                    configs.tick(context, &view[index]);
                })
            }
        }
    }

    fn digest(&self) -> String {
        let configs: Vec<_> = self.instances.iter().map(|one| &one.1).collect();
        let store = &self.store;
        let (pushes, answers, edits) = (&self.pushes, &self.answers, &self.edits);
        let counts = (self.advance_count, self.fault_count, self.ticked);
        format!("{configs:?}{store:?}{pushes:?}{answers:?}{edits:?}{counts:?}")
    }
}

/// Each start is a point from which a wrong rule applies or reports an edit wrongly soon.
#[parameterized(
    conflict = { &[Step::Edit(0, 1), Step::Edit(1, 2)] },
    delayed_write_and_second_instance = { &[Step::Edit(0, 0), Step::Delay(0), Step::Edit(1, 0)] },
    cut_off_while_a_reply_is_lost = { &[Step::Edit(0, 0), Step::LoseReply(0), Step::CutOff(0)] },
    lost_reply = { &[Step::Edit(0, 0), Step::LoseReply(0), Step::Deliver(0)] },
)]
fn no_short_schedule_breaks_an_invariant(start: &[Step]) {
    let mut world = World::new(2);
    let outstanding = std::mem::take(&mut world.store.waiting);
    for (index, ticket, request) in outstanding {
        world.store.waiting.push((index, ticket, request));
        world.take(&Step::Deliver(0)).unwrap();
    }
    for step in start {
        world.take(step).unwrap();
    }
    let (count, depth) = search(world, 20_000);
    println!("{count} states, all schedules of {depth} further steps");
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    })]

    /// Guards against instances that stay behind, and operators without an answer, once the table
    /// works again.
    #[test]
    fn long_schedules_keep_the_invariants_and_heal(choices in prop::collection::vec(any::<u16>(), 0..80)) {
        let mut world = World::new(8);
        follow(&mut world, &choices).map_err(TestCaseError::fail)?;
        for _ in 0..8 {
            world.heal_step().map_err(TestCaseError::fail)?;
        }
        let version = world.series().len() as u64;
        for (_, configs, _) in &world.instances {
            prop_assert_eq!(configs.lists().version, version);
        }
        let mut sent: Vec<usize> = world.edits.iter().map(|edit| edit.1).collect();
        sent.sort_unstable();
        sent.dedup();
        for number in sent {
            prop_assert!(world.answers.iter().any(|answer| answer.0 == number));
        }
    }
}
