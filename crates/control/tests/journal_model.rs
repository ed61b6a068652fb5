//! Schedules of a stream's hand-over between its owner, its backup and two resumers. Guards against
//! two instances that deliver one stream, and against delivered tokens that a resume does not find.
#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

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
    /// The copy reaches the backup, and its answer the holder.
    Copy(usize),
    /// The copy reaches the backup, and the answer is still under way.
    CopyFirst(usize),
    /// The instance ends, and its memory is gone.
    Kill(usize),
    /// The answer to a copy is lost.
    LoseAnswer(usize),
    /// A holder keeps a token; it delivers it when the copy is answered.
    Make(usize),
    /// The owner is out of reach for resumers, and runs on.
    Mute,
    /// The caller comes back at an instance.
    Resume(usize),
}

#[derive(Clone, Debug)]
struct Run {
    /// Copy under way, with its answer if the backup has it.
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
    /// Tokens that the caller has, and the instance that it reads from.
    caller: (u32, usize),
    dead: [bool; 4],
    fault_count: u32,
    is_muted: bool,
    journals: Vec<Journals>,
    /// Instances that made each delivered token.
    made: Vec<usize>,
    /// Instance that the last event of the caller names as owner, and whether it names a backup.
    point: (usize, bool),
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
            is_muted: false,
            journals: vec![journals; 4],
            made: Vec::new(),
            point: (0, true),
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

    /// Starts to serve the stream at an instance; the first copy is of the whole journal.
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

    fn make(&mut self, place: usize) -> Result<(), String> {
        let run = &mut self.runs[place];
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
        self.deliver(place)
    }

    fn copy(&mut self, place: usize, is_lost: bool) -> Result<(), String> {
        let run = &self.runs[place];
        let Some((append, answer)) = run.copy.clone() else {
            return Ok(());
        };
        let answer = match answer {
            _ if self.dead[BACKUP] || run.instance == BACKUP => None,
            Some(answer) => Some(answer),
            None => Some(self.journals[BACKUP].append(now(), append)),
        };
        let run = &mut self.runs[place];
        run.copy = None;
        match answer.filter(|_| !is_lost) {
            Some(AppendAnswer::Appended { .. }) => return self.deliver(place),
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
                return self.deliver(place);
            }
        }
        Ok(())
    }

    /// Gives the caller the tokens that it lacks, if it reads from this instance.
    fn deliver(&mut self, place: usize) -> Result<(), String> {
        let run = &self.runs[place];
        if !run.is_running || self.caller.1 != place {
            return Ok(());
        }
        self.caller.0 = run.next;
        self.point = (run.instance, run.has_backup);
        for index in self.made.len()..run.next as usize {
            debug_assert!(index == self.made.len());
            self.made.push(place);
        }
        Ok(())
    }

    fn resume(&mut self, instance: usize) -> Result<(), String> {
        self.resume_count += 1;
        let holder = self.holder(instance);
        let mut places = vec![self.point.0];
        places.extend(self.point.1.then_some(BACKUP));
        for place in places {
            let is_mute = self.is_muted && place == 0;
            if self.dead[place] || is_mute {
                continue;
            }
            let take = TakeRequest {
                account: "lagoon".into(),
                only_idle: false,
                owner: NAMES[self.point.0].into(),
                request: "r".into(),
                taker: holder.clone(),
            };
            match self.journals[place].take(now(), &take) {
                TakeAnswer::Given { epoch, journal } => {
                    return self.given(place, instance, holder, epoch, *journal);
                }
                TakeAnswer::Taken { .. } => return Ok(()),
                TakeAnswer::Unknown => {}
            }
        }
        Ok(())
    }

    fn given(
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
        // An instance that gives its stream away ends it first.
        for run in self.runs.iter_mut().filter(|run| run.instance == from) {
            run.is_running = false;
        }
        self.open(instance, holder, epoch, journal);
        self.caller.1 = self.runs.len() - 1;
        Ok(())
    }

    /// Holders that can have a further token accepted by their instance and the backup.
    fn check(&self) -> Result<(), String> {
        let mut able = Vec::new();
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
            let places = [run.instance, BACKUP];
            let is_able = places[..1 + usize::from(run.has_backup)]
                .iter()
                .all(|place| {
                    let answer = self.journals[*place].clone().append(now(), probe.clone());
                    matches!(answer, AppendAnswer::Appended { .. })
                });
            able.extend(is_able.then_some(NAMES[run.instance]));
        }
        match able.len() {
            0 | 1 => Ok(()),
            _ => Err(format!("{able:?} can all deliver the stream")),
        }
    }
}

impl Model for World {
    type Move = Step;

    fn moves(&self) -> Vec<Step> {
        let mut moves = Vec::new();
        for (place, run) in self.runs.iter().enumerate() {
            // A copy that was sent arrives also after its sender has stopped.
            let is_sent = matches!(run.copy, Some((_, None)));
            moves.extend((is_sent && !run.is_running).then_some(Step::CopyFirst(place)));
        }
        for (place, run) in self
            .runs
            .iter()
            .enumerate()
            .filter(|(_, run)| run.is_running)
        {
            match &run.copy {
                None if run.next < 4 => moves.push(Step::Make(place)),
                None => {}
                Some((_, answer)) => {
                    moves.push(Step::Copy(place));
                    moves.extend(answer.is_none().then_some(Step::CopyFirst(place)));
                    moves.extend((self.fault_count > 1).then_some(Step::LoseAnswer(place)));
                }
            }
        }
        for instance in [2, 3] {
            if self.resume_count < 3 && !self.dead[instance] {
                moves.push(Step::Resume(instance));
            }
        }
        if self.fault_count > 0 {
            moves.extend([Step::Kill(0), Step::Mute]);
        }
        if self.fault_count == 2 {
            moves.extend([Step::Kill(1), Step::Kill(2)]);
        }
        moves
    }

    fn take(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Copy(place) => self.copy(place, false)?,
            Step::CopyFirst(place) => {
                let (append, _) = self.runs[place].copy.clone().unwrap();
                let answer = self.journals[BACKUP].append(now(), append.clone());
                self.runs[place].copy = Some((append, Some(answer)));
            }
            Step::Kill(instance) => {
                self.fault_count -= 1;
                self.dead[instance] = true;
                self.journals[instance] = Journals::new(JournalSettings::default());
                for run in self.runs.iter_mut().filter(|run| run.instance == instance) {
                    run.is_running = false;
                }
            }
            Step::LoseAnswer(place) => {
                self.fault_count -= 1;
                self.copy(place, true)?;
            }
            Step::Make(place) => self.make(place)?,
            Step::Mute => {
                self.fault_count -= 1;
                self.is_muted = true;
            }
            Step::Resume(instance) => self.resume(instance)?,
        }
        self.check()
    }

    fn digest(&self) -> String {
        format!("{self:?}")
    }
}

/// Searches all short schedules, also from a running stream and from one whose owner is silent.
#[parameterized(
    first_copy_is_late = {
        &[Step::Resume(2), Step::Copy(1), Step::Make(1), Step::Copy(1)]
    },
    fresh = { &[Step::Copy(0)] },
    owner_is_silent = { &[Step::Copy(0), Step::Make(0), Step::Copy(0), Step::Make(0), Step::Mute, Step::Resume(2)] },
    running = { &[Step::Copy(0), Step::Make(0), Step::Copy(0), Step::Make(0), Step::CopyFirst(0)] },
)]
fn one_holder_delivers_and_no_delivered_token_is_lost(start: &[Step]) {
    let mut world = World::new();
    for step in start {
        world.take(step).unwrap();
    }
    let (count, depth) = search(world, 8_000);
    println!("{count} states, all schedules of {depth} further steps");
}
