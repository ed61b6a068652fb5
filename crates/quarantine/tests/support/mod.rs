//! Instances with a quarantine each, which exchange their reports with a delay, before targets that crash.

use {
    quarantine::{CrashPhase, PartQuarantine, PartSettings, PhasedVictimReport, PromptRun},
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
};

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(5);
/// Time from the arrival of a request at its target to the head of the answer, and from there to the first
/// event.
const READ_TIME: Duration = Duration::from_millis(50);
const FIRST_EVENT_TIME: Duration = Duration::from_millis(20);
/// Time for which a target that crashed is down.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time between two records of an answer that goes on.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);
/// Number of sound parts; some are used more often than others.
const SOUND_PARTS: u64 = 60;
/// First id of the crashing parts.
const CRASHING: u64 = 1_000;
/// First id of the rare parts.
const RARE: u64 = 1_000_000;

/// Load and faults of a simulation.
#[derive(Clone, Debug)]
pub struct Load {
    pub accounts: u64,
    /// Time for which events of an answer come after the first one.
    pub answer_time: Duration,
    /// Number of targets to which a request is sent until one of them answers it completely.
    pub attempts: u32,
    /// Points of the answer at which crashing parts end a target; drawn for each request.
    pub crash_phases: Vec<CrashPhase>,
    /// Number of accounts that send requests with crashing parts.
    pub crashing_accounts: u64,
    /// Time from which requests with crashing parts come.
    pub crashing_from: Duration,
    pub crashing_parts: u64,
    pub crashing_per_s: f64,
    /// Time until a change at one instance is known to another.
    pub exchange_delay: Duration,
    pub instances: usize,
    /// Interval at which an instance is killed and restarts without any state.
    pub kill_every: Option<Duration>,
    /// Number of targets that end at once when they crash for another reason.
    pub lost_together: usize,
    /// Interval at which targets crash for another reason.
    pub other_crash_every: Option<Duration>,
    /// Number of rare parts, of which each sound request has one behind its first part; 0 for none.
    pub rare_parts: u64,
    pub sound_per_s: f64,
    pub targets: usize,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            accounts: 10,
            answer_time: Duration::ZERO,
            attempts: 1,
            crash_phases: vec![CrashPhase::BeforeFirstEvent],
            crashing_accounts: 10,
            crashing_from: Duration::ZERO,
            crashing_parts: 1,
            crashing_per_s: 1.5,
            exchange_delay: Duration::from_millis(150),
            instances: 7,
            kill_every: None,
            lost_together: 1,
            other_crash_every: None,
            rare_parts: 0,
            sound_per_s: 55.0,
            targets: 12,
        }
    }
}

/// What happened in a simulation.
#[derive(Debug, Default)]
pub struct SimulationResult {
    /// Times of the crashes that each crashing part caused.
    pub crashes: BTreeMap<u64, Vec<Duration>>,
    /// Times at which requests with each crashing part reached a target.
    pub reached: BTreeMap<u64, Vec<Duration>>,
    /// Number of sound requests that were refused or stopped by the quarantine.
    pub refused_count: usize,
    pub sound_count: usize,
}

#[derive(Clone)]
struct ActiveRequest {
    attempts_left: u32,
    crash_phase: CrashPhase,
    crashing_part: Option<u64>,
    id: u64,
    instance: usize,
    run: PromptRun,
    sent_at: Duration,
    target: usize,
}

impl ActiveRequest {
    /// Time since the first event; none before it.
    fn answered_for(&self, now: Duration) -> Option<Duration> {
        now.checked_sub(self.sent_at + READ_TIME + FIRST_EVENT_TIME)
    }

    fn phase(&self, now: Duration) -> CrashPhase {
        match self.answered_for(now) {
            Some(time) => CrashPhase::AfterFirstEvent(time),
            None if now < self.sent_at + READ_TIME => CrashPhase::BeforeHead,
            None => CrashPhase::BeforeFirstEvent,
        }
    }

    /// Whether a crashing part ends the target now.
    fn crashes_target(&self, now: Duration) -> bool {
        let after = match self.crash_phase {
            CrashPhase::BeforeHead => READ_TIME / 2,
            CrashPhase::BeforeFirstEvent => READ_TIME + FIRST_EVENT_TIME / 2,
            CrashPhase::AfterFirstEvent(time) => READ_TIME + FIRST_EVENT_TIME + time,
        };
        self.crashing_part.is_some() && self.sent_at + after <= now
    }
}

struct Target {
    /// Time until which it is down after a crash.
    down_until: Duration,
    incarnation: u64,
}

pub struct Simulation {
    active: Vec<ActiveRequest>,
    instances: Vec<PartQuarantine>,
    load: Load,
    messages: Vec<(Duration, Vec<PhasedVictimReport>)>,
    next_id: u64,
    now: Duration,
    result: SimulationResult,
    rng: ChaCha8Rng,
    targets: Vec<Target>,
}

impl Simulation {
    pub fn new(load: Load, seed: u64) -> Self {
        let mut targets = Vec::new();
        targets.resize_with(load.targets, || Target {
            down_until: Duration::ZERO,
            incarnation: 1,
        });
        let instances = (0..load.instances as u64).map(new_quarantine).collect();
        Self {
            active: Vec::new(),
            instances,
            load,
            messages: Vec::new(),
            next_id: 0,
            now: Duration::from_secs(1),
            result: SimulationResult::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            targets,
        }
    }

    pub fn run(mut self, duration: Duration) -> SimulationResult {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.deliver_reports();
            self.inject_faults();
            self.advance_requests();
            self.stop_suspects();
            self.accept_requests();
        }
        self.result
    }

    fn deliver_reports(&mut self) {
        let now = self.now;
        let due = self.messages.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<_> = due.collect();
        for (_, reports) in due {
            for instance in &mut self.instances {
                instance.merge_phased(now, &reports);
            }
        }
    }

    fn publish(&mut self, instance: usize) {
        let reports = self.instances[instance].phased_reports(self.now);
        self.messages
            .push((self.now + self.load.exchange_delay, reports));
    }

    /// Whether an event with this interval happens in the current step.
    fn happens(&self, every: Option<Duration>) -> bool {
        every.is_some_and(|every| self.now.as_millis() % every.as_millis() < STEP.as_millis())
    }

    fn inject_faults(&mut self) {
        if self.happens(self.load.other_crash_every) {
            let first = self.rng.random_range(0..self.targets.len());
            for offset in 0..self.load.lost_together {
                self.crash((first + offset) % self.targets.len());
            }
        }
        if self.happens(self.load.kill_every) {
            let killed = self.rng.random_range(0..self.instances.len());
            self.active.retain(|request| request.instance != killed);
            // A started instance receives the state of another one before it serves.
            let other = (killed + 1) % self.instances.len();
            let reports = self.instances[other].phased_reports(self.now);
            self.instances[killed] = new_quarantine(self.rng.random());
            self.instances[killed].merge_phased(self.now, &reports);
        }
    }

    /// Ends a target. Requests that ran there are its victims, and are sent to other targets.
    fn crash(&mut self, index: usize) {
        let (now, target) = (self.now, &mut self.targets[index]);
        if target.down_until > now {
            return;
        }
        target.down_until = now + RESTART_TIME;
        let crash: std::sync::Arc<str> = format!("t{index}#{}", target.incarnation).into();
        target.incarnation += 1;
        let interrupted = self
            .active
            .extract_if(.., |request| request.target == index);
        let interrupted: Vec<_> = interrupted.collect();
        for request in &interrupted {
            let quarantine = &mut self.instances[request.instance];
            let phase = request.phase(now);
            quarantine.record_crash_in(phase, now, crash.clone(), &request.run);
            self.publish(request.instance);
        }
        for mut request in interrupted {
            if request.attempts_left == 0 {
                continue;
            }
            request.attempts_left -= 1;
            let is_sound = request.crashing_part.is_none();
            if !self.dispatch(request) && is_sound {
                self.result.refused_count += 1;
            }
        }
    }

    fn advance_requests(&mut self) {
        let now = self.now;
        let crashing = self
            .active
            .iter()
            .filter(|request| request.crashes_target(now))
            .filter_map(|request| Some((request.target, request.crashing_part?)));
        let crashing: Vec<(usize, u64)> = crashing.collect();
        for (target, part) in crashing {
            if self.targets[target].down_until <= now {
                let crashes = self.result.crashes.entry(part).or_default();
                crashes.push(now);
            }
            self.crash(target);
        }
        let answer_time = self.load.answer_time;
        let done = self
            .active
            .extract_if(.., |request| request.answered_for(now) >= Some(answer_time));
        let done: Vec<_> = done.collect();
        for request in done {
            let quarantine = &mut self.instances[request.instance];
            let cleared = quarantine.record_completion(now, &request.run);
            if !cleared.is_empty() {
                self.publish(request.instance);
            }
        }
        self.record_progress();
    }

    /// Records the answers that go on, each at its first event and at a fixed interval afterwards.
    fn record_progress(&mut self) {
        let now = self.now;
        let mut changed = Vec::new();
        for request in &self.active {
            let Some(answered_for) = request.answered_for(now) else {
                continue;
            };
            let since_record = answered_for.as_millis() % PROGRESS_INTERVAL.as_millis();
            if since_record >= STEP.as_millis() {
                continue;
            }
            let quarantine = &mut self.instances[request.instance];
            let cleared = quarantine.record_progress(now, &request.run, answered_for);
            if !cleared.is_empty() {
                changed.push(request.instance);
            }
        }
        for instance in changed {
            self.publish(instance);
        }
    }

    /// Stops requests whose parts have become suspects since they were sent.
    fn stop_suspects(&mut self) {
        let (now, instances) = (self.now, &self.instances);
        let stopped = self.active.extract_if(.., |request| {
            if request.answered_for(now).is_some() {
                return false;
            }
            let quarantine = &instances[request.instance];
            let id = request.id.to_string().into();
            quarantine.hold(now, &request.run, &id).is_some()
        });
        let sound = stopped.filter(|request| request.crashing_part.is_none());
        self.result.refused_count += sound.count();
    }

    fn accept_requests(&mut self) {
        let step_s = STEP.as_secs_f64();
        for _ in 0..self.count(self.load.sound_per_s * step_s) {
            let account = self.rng.random_range(0..self.load.accounts);
            self.result.sound_count += 1;
            let part = self.sound_part();
            let rare = (self.load.rare_parts > 0)
                .then(|| RARE + self.rng.random_range(0..self.load.rare_parts));
            let parts: Vec<u64> = std::iter::once(part).chain(rare).collect();
            if !self.send(account, &parts, None) {
                self.result.refused_count += 1;
            }
        }
        if self.now < self.load.crashing_from {
            return;
        }
        for _ in 0..self.count(self.load.crashing_per_s * step_s) {
            let account = self.rng.random_range(0..self.load.crashing_accounts);
            let crashing = CRASHING + self.rng.random_range(0..self.load.crashing_parts);
            self.send(account, &[0, crashing], Some(crashing));
        }
    }

    /// Number of arrivals in a step with the given mean.
    fn count(&mut self, mean: f64) -> u32 {
        let whole = mean.floor();
        whole as u32 + u32::from(self.rng.random_bool(mean - whole))
    }

    fn sound_part(&mut self) -> u64 {
        let drawn: f64 = self.rng.random();
        (drawn * drawn * SOUND_PARTS as f64) as u64
    }

    /// Sends a request from a random instance to a random target. Returns false if it is refused because of
    /// a suspect part.
    fn send(&mut self, account: u64, parts: &[u64], crashing_part: Option<u64>) -> bool {
        self.next_id += 1;
        let phases = &self.load.crash_phases;
        let crash_phase = match phases.len() {
            1 => phases[0],
            _ => *phases.choose(&mut self.rng).expect("a phase"),
        };
        let request = ActiveRequest {
            attempts_left: self.load.attempts - 1,
            crash_phase,
            crashing_part,
            id: self.next_id,
            instance: self.rng.random_range(0..self.instances.len()),
            run: PromptRun::new(account, self.next_id, parts.iter().copied()),
            sent_at: self.now,
            target: 0,
        };
        self.dispatch(request)
    }

    /// Sends a request from its instance to a random target. Returns false if it is refused because of a suspect
    /// part.
    fn dispatch(&mut self, mut request: ActiveRequest) -> bool {
        let now = self.now;
        let id = request.id.to_string().into();
        let quarantine = &mut self.instances[request.instance];
        if quarantine.admit(now, &request.run, &id).is_err() {
            return false;
        }
        let running =
            (0..self.targets.len()).filter(|index| self.targets[*index].down_until <= now);
        let running: Vec<usize> = running.collect();
        let Some(target) = running.choose(&mut self.rng) else {
            return true;
        };
        if let Some(part) = request.crashing_part {
            self.result.reached.entry(part).or_default().push(now);
        }
        request.sent_at = now;
        request.target = *target;
        self.active.push(request);
        true
    }
}

fn new_quarantine(seed: u64) -> PartQuarantine {
    PartQuarantine::new(PartSettings::default(), seed)
}
