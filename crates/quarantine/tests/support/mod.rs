//! Instances with a quarantine each, which exchange their reports with a delay, before targets that crash.

use {
    quarantine::{PartQuarantine, PartSettings, PromptRun, VictimReport},
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
};

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(5);
/// Time from the arrival of a request at its target to the head of the answer, and from there to the first
/// event. A crashing part ends the target between the two.
const READ_TIME: Duration = Duration::from_millis(50);
const FIRST_EVENT_TIME: Duration = Duration::from_millis(20);
/// Time for which a target that crashed is down.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Number of sound parts; some are used more often than others.
const SOUND_PARTS: u64 = 60;
/// First id of the crashing parts.
const CRASHING: u64 = 1_000;

/// Load and faults of a simulation.
#[derive(Clone, Debug)]
pub struct Load {
    pub accounts: u64,
    /// Number of accounts that send requests with crashing parts.
    pub crashing_accounts: u64,
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
    pub sound_per_s: f64,
    pub targets: usize,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            accounts: 10,
            crashing_accounts: 10,
            crashing_parts: 1,
            crashing_per_s: 1.5,
            exchange_delay: Duration::from_millis(150),
            instances: 7,
            kill_every: None,
            lost_together: 1,
            other_crash_every: None,
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

struct ActiveRequest {
    crashing_part: Option<u64>,
    id: u64,
    instance: usize,
    run: PromptRun,
    sent_at: Duration,
    target: usize,
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
    messages: Vec<(Duration, Vec<VictimReport>)>,
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
                instance.merge(now, &reports);
            }
        }
    }

    fn publish(&mut self, instance: usize) {
        let reports = self.instances[instance].reports(self.now);
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
            let reports = self.instances[other].reports(self.now);
            self.instances[killed] = new_quarantine(self.rng.random());
            self.instances[killed].merge(self.now, &reports);
        }
    }

    /// Ends a target. Requests whose answers had begun there are its victims.
    fn crash(&mut self, index: usize) {
        let (now, target) = (self.now, &mut self.targets[index]);
        if target.down_until > now {
            return;
        }
        target.down_until = now + RESTART_TIME;
        let crash = format!("t{index}#{}", target.incarnation).into();
        target.incarnation += 1;
        let interrupted = self
            .active
            .extract_if(.., |request| request.target == index);
        let interrupted: Vec<_> = interrupted.collect();
        for request in interrupted {
            if now < request.sent_at + READ_TIME {
                continue;
            }
            let quarantine = &mut self.instances[request.instance];
            quarantine.record_crash(now, std::sync::Arc::clone(&crash), &request.run);
            self.publish(request.instance);
        }
    }

    fn advance_requests(&mut self) {
        let begun = |request: &ActiveRequest, after: Duration| request.sent_at + after <= self.now;
        let crashing: Vec<(usize, u64)> = self
            .active
            .iter()
            .filter(|request| begun(request, READ_TIME + FIRST_EVENT_TIME / 2))
            .filter_map(|request| Some((request.target, request.crashing_part?)))
            .collect();
        for (target, part) in crashing {
            if self.targets[target].down_until <= self.now {
                let crashes = self.result.crashes.entry(part).or_default();
                crashes.push(self.now);
            }
            self.crash(target);
        }
        let now = self.now;
        let done = self.active.extract_if(.., |request| {
            request.sent_at + READ_TIME + FIRST_EVENT_TIME <= now
        });
        let done: Vec<_> = done.collect();
        for request in done {
            let quarantine = &mut self.instances[request.instance];
            if !quarantine.record_first_event(now, &request.run).is_empty() {
                self.publish(request.instance);
            }
        }
    }

    /// Stops requests whose parts have become suspects since they were sent.
    fn stop_suspects(&mut self) {
        let (now, instances) = (self.now, &self.instances);
        let stopped = self.active.extract_if(.., |request| {
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
            if !self.send(account, &[part], None) {
                self.result.refused_count += 1;
            }
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
        let (id, now) = (self.next_id, self.now);
        let run = PromptRun::new(account, id, parts.iter().copied());
        let instance = self.rng.random_range(0..self.instances.len());
        let request = id.to_string().into();
        if self.instances[instance].admit(now, &run, &request).is_err() {
            return false;
        }
        let running =
            (0..self.targets.len()).filter(|index| self.targets[*index].down_until <= now);
        let running: Vec<usize> = running.collect();
        let Some(target) = running.choose(&mut self.rng) else {
            return true;
        };
        if let Some(part) = crashing_part {
            self.result.reached.entry(part).or_default().push(now);
        }
        self.active.push(ActiveRequest {
            crashing_part,
            id,
            instance,
            run,
            sent_at: now,
            target: *target,
        });
        true
    }
}

fn new_quarantine(seed: u64) -> PartQuarantine {
    PartQuarantine::new(PartSettings::default(), seed)
}
