//! Model checking of the takeover of a stream, with its owner, its backup and two instances that
//! resume it. Guards against two instances that deliver the same stream, and against delivered
//! tokens that are missing after a resume.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    control::{
        AppendAnswer, Holder, JournalAppend, JournalSettings, Journals, TakeAnswer, TakeRequest,
    },
    std::time::Duration,
    support::search::{Model, search},
    types::Journal,
    yare::parameterized,
};

const NAMES: [&str; 4] = ["owner", "backup", "first", "second"];
const BACKUP: usize = 1;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The copy reaches the backup, and the answer reaches the holder.
    Copy(usize),
    /// The copy reaches the backup, and the answer is still in transit.
    CopyWithoutAnswer(usize),
    /// The instance crashes and loses its memory.
    Kill(usize),
    /// The answer to a copy is lost.
    LoseAnswer(usize),
    /// A holder appends a token to its journal, and delivers it once the copy is answered.
    Generate(usize),
    /// The first owner cannot be reached by the instances that resume, and continues to run.
    IsolateOwner,
    /// The caller reconnects at an instance.
    Resume(usize),
}

#[derive(Clone, Debug)]
struct Run {
    /// Copy in transit; with the backup's answer once the copy has arrived there.
    copy: Option<(JournalAppend, Option<AppendAnswer>)>,
    epoch: u32,
    has_backup: bool,
    holder: Holder,
    instance: usize,
    is_running: bool,
    next: u32,
}

#[derive(Clone, Debug)]
struct World {
    /// Number of tokens that the caller has, and the index of the run that it reads from.
    caller: (u32, usize),
    dead: [bool; 4],
    fault_count: u32,
    is_owner_isolated: bool,
    journals: Vec<Journals>,
    /// Index of the run that generated each delivered token.
    generated_by: Vec<usize>,
    /// Instance that is named as owner in the last event that the caller received, and whether the
    /// event names a backup.
    last_event: (usize, bool),
    resume_count: u32,
    runs: Vec<Run>,
}

fn now() -> Duration {
    Duration::from_secs(1)
}

impl World {
    fn new() -> Self {
        let journal = Journal {
            account: "lagoon".into(),
            attempt: 1,
            finish: None,
            max_tokens: 100,
            model: "m".into(),
            prompt: "prompt".into(),
            request: "r".into(),
            seed: 7,
            tokens: Vec::new(),
        };
        let journals = Journals::new(JournalSettings::default());
        let mut world = Self {
            caller: (0, 0),
            dead: [false; 4],
            fault_count: 2,
            is_owner_isolated: false,
            journals: vec![journals; 4],
            generated_by: Vec::new(),
            last_event: (0, true),
            resume_count: 0,
            runs: Vec::new(),
        };
        let holder = world.holder(0);
        world.open(0, holder, 0, journal);
        world
    }

    fn holder(&self, instance: usize) -> Holder {
        Holder {
            instance: NAMES[instance].into(),
            nonce: format!("{}", self.runs.len()).into(),
        }
    }

    /// Starts to serve the stream at an instance. The first copy is the whole journal.
    fn open(&mut self, instance: usize, holder: Holder, epoch: u32, journal: Journal) {
        let owner = holder.clone();
        let next = journal.tokens.len() as u32;
        let whole = JournalAppend::Whole {
            epoch,
            journal,
            owner,
        };
        let answer = self.journals[instance].append(now(), whole.clone());
        self.runs.push(Run {
            copy: Some((whole, None)),
            epoch,
            has_backup: true,
            holder,
            instance,
            is_running: matches!(answer, AppendAnswer::Appended { .. }),
            next,
        });
    }

    fn generate(&mut self, run_index: usize) -> Result<(), String> {
        let run = &mut self.runs[run_index];
        let append = JournalAppend::Tokens {
            attempt: 1,
            finish: None,
            from: run.next,
            owner: run.holder.clone(),
            request: "r".into(),
            tokens: vec![format!("{}", run.next).into()],
        };
        match self.journals[run.instance].append(now(), append.clone()) {
            AppendAnswer::Appended { next } => run.next = next,
            _ => run.is_running = false,
        }
        if run.has_backup {
            run.copy = Some((append, None));
            return Ok(());
        }
        self.deliver(run_index)
    }

    fn copy(&mut self, run_index: usize, is_lost: bool) -> Result<(), String> {
        let run = &self.runs[run_index];
        let Some((append, answer)) = run.copy.clone() else {
            return Ok(());
        };
        let answer = match answer {
            _ if self.dead[BACKUP] || run.instance == BACKUP => None,
            Some(answer) => Some(answer),
            None => Some(self.journals[BACKUP].append(now(), append)),
        };
        let run = &mut self.runs[run_index];
        run.copy = None;
        match answer.filter(|_| !is_lost) {
            Some(AppendAnswer::Appended { .. }) => return self.deliver(run_index),
            Some(AppendAnswer::Incomplete { .. }) => {
                let journal = self.journals[run.instance]
                    .get(&"r".into())
                    .unwrap()
                    .clone();
                let (epoch, owner) = (run.epoch, run.holder.clone());
                run.copy = Some((
                    JournalAppend::Whole {
                        epoch,
                        journal,
                        owner,
                    },
                    None,
                ));
            }
            Some(AppendAnswer::Taken { .. }) => run.is_running = false,
            Some(AppendAnswer::Full) | None => {
                run.has_backup = false;
                return self.deliver(run_index);
            }
        }
        Ok(())
    }

    /// Delivers the tokens that the caller lacks, if it reads from this run.
    fn deliver(&mut self, run_index: usize) -> Result<(), String> {
        let run = &self.runs[run_index];
        if !run.is_running || self.caller.1 != run_index {
            return Ok(());
        }
        self.caller.0 = run.next;
        self.last_event = (run.instance, run.has_backup);
        for index in self.generated_by.len()..run.next as usize {
            debug_assert!(index == self.generated_by.len());
            self.generated_by.push(run_index);
        }
        Ok(())
    }

    fn resume(&mut self, instance: usize) -> Result<(), String> {
        self.resume_count += 1;
        let holder = self.holder(instance);
        let mut sources = vec![self.last_event.0];
        sources.extend(self.last_event.1.then_some(BACKUP));
        for source in sources {
            let is_isolated = self.is_owner_isolated && source == 0;
            if self.dead[source] || is_isolated {
                continue;
            }
            let take = TakeRequest {
                account: "lagoon".into(),
                only_idle: false,
                owner: NAMES[self.last_event.0].into(),
                request: "r".into(),
                taker: holder.clone(),
            };
            match self.journals[source].take(now(), &take) {
                TakeAnswer::Given { epoch, journal } => {
                    return self.complete_takeover(source, instance, holder, epoch, *journal);
                }
                TakeAnswer::Taken { .. } => return Ok(()),
                TakeAnswer::Unknown => {}
            }
        }
        Ok(())
    }

    fn complete_takeover(
        &mut self,
        from: usize,
        instance: usize,
        holder: Holder,
        epoch: u32,
        journal: Journal,
    ) -> Result<(), String> {
        if (journal.tokens.len() as u32) < self.caller.0 {
            return Err(format!(
                "{} delivered, {:?} handed over",
                self.caller.0, journal.tokens
            ));
        }
        // An instance stops serving a stream before it hands the journal over.
        for run in self.runs.iter_mut().filter(|run| run.instance == from) {
            run.is_running = false;
        }
        self.open(instance, holder, epoch, journal);
        self.caller.1 = self.runs.len() - 1;
        Ok(())
    }

    /// Checks that at most one holder could get a further token accepted by its instance and the
    /// backup.
    fn check(&self) -> Result<(), String> {
        let mut able_holders = Vec::new();
        for run in self
            .runs
            .iter()
            .filter(|run| run.is_running && run.copy.is_none())
        {
            let probe = JournalAppend::Tokens {
                attempt: 1,
                finish: None,
                from: run.next,
                owner: run.holder.clone(),
                request: "r".into(),
                tokens: Vec::new(),
            };
            let instances = [run.instance, BACKUP];
            let can_deliver = instances[..1 + usize::from(run.has_backup)]
                .iter()
                .all(|instance| {
                    let answer = self.journals[*instance]
                        .clone()
                        .append(now(), probe.clone());
                    matches!(answer, AppendAnswer::Appended { .. })
                });
            able_holders.extend(can_deliver.then_some(NAMES[run.instance]));
        }
        match able_holders.len() {
            0 | 1 => Ok(()),
            _ => Err(format!("{able_holders:?} can all deliver the stream")),
        }
    }
}

impl Model for World {
    type Move = Step;

    fn moves(&self) -> Vec<Step> {
        let mut moves = Vec::new();
        for (run_index, run) in self.runs.iter().enumerate() {
            // A copy that was sent may arrive after its sender has stopped.
            let is_sent = matches!(run.copy, Some((_, None)));
            moves
                .extend((is_sent && !run.is_running).then_some(Step::CopyWithoutAnswer(run_index)));
        }
        for (run_index, run) in self
            .runs
            .iter()
            .enumerate()
            .filter(|(_, run)| run.is_running)
        {
            match &run.copy {
                None if run.next < 4 => moves.push(Step::Generate(run_index)),
                None => {}
                Some((_, answer)) => {
                    moves.push(Step::Copy(run_index));
                    moves.extend(
                        answer
                            .is_none()
                            .then_some(Step::CopyWithoutAnswer(run_index)),
                    );
                    moves.extend((self.fault_count > 1).then_some(Step::LoseAnswer(run_index)));
                }
            }
        }
        for instance in [2, 3] {
            if self.resume_count < 3 && !self.dead[instance] {
                moves.push(Step::Resume(instance));
            }
        }
        if self.fault_count > 0 {
            moves.extend([Step::Kill(0), Step::IsolateOwner]);
        }
        if self.fault_count == 2 {
            moves.extend([Step::Kill(1), Step::Kill(2)]);
        }
        moves
    }

    fn take(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Copy(run_index) => self.copy(run_index, false)?,
            Step::CopyWithoutAnswer(run_index) => {
                let (append, _) = self.runs[run_index].copy.clone().unwrap();
                let answer = self.journals[BACKUP].append(now(), append.clone());
                self.runs[run_index].copy = Some((append, Some(answer)));
            }
            Step::Kill(instance) => {
                self.fault_count -= 1;
                self.dead[instance] = true;
                self.journals[instance] = Journals::new(JournalSettings::default());
                for run in self.runs.iter_mut().filter(|run| run.instance == instance) {
                    run.is_running = false;
                }
            }
            Step::LoseAnswer(run_index) => {
                self.fault_count -= 1;
                self.copy(run_index, true)?;
            }
            Step::Generate(run_index) => self.generate(run_index)?,
            Step::IsolateOwner => {
                self.fault_count -= 1;
                self.is_owner_isolated = true;
            }
            Step::Resume(instance) => self.resume(instance)?,
        }
        self.check()
    }

    fn digest(&self) -> String {
        format!("{self:?}")
    }
}

/// Searches all short schedules from several states, such as a running stream, and one whose owner
/// cannot be reached.
#[parameterized(
    first_copy_is_late = {
        &[Step::Resume(2), Step::Copy(1), Step::Generate(1), Step::Copy(1)]
    },
    fresh = { &[Step::Copy(0)] },
    owner_is_silent = { &[Step::Copy(0), Step::Generate(0), Step::Copy(0), Step::Generate(0), Step::IsolateOwner, Step::Resume(2)] },
    running = { &[Step::Copy(0), Step::Generate(0), Step::Copy(0), Step::Generate(0), Step::CopyWithoutAnswer(0)] },
)]
fn one_holder_delivers_and_delivered_tokens_survive_takeover(start: &[Step]) {
    let mut world = World::new();
    for step in start {
        world.take(step).unwrap();
    }
    let (count, depth) = search(world, 8_000);
    println!("{count} states, all schedules of {depth} further steps");
}
