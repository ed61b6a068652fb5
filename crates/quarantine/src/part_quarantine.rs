use super::*;

/// Maximum number of crash victims kept, and thus sent in one message. Beyond it, those without suspect parts
/// are removed first, then those of which no other instance is told yet, then those whose answers had gone on for
/// longest, then the oldest.
pub(crate) const MAX_VICTIMS: usize = 128;
/// Maximum number of parts whose answers are kept.
const MAX_ANSWERED_PARTS: usize = 4_096;
/// Time for which a complete answer counts to have gone on.
const COMPLETE: Duration = Duration::MAX;

/// Parts of prompts, and whole requests, that are suspected of crashing targets.
///
/// A part that crashes targets does so each time, whatever else the request holds. So a single answer that goes on
/// for longer than those whose targets crashed clears all parts of its prompt, until targets crash with them again.
/// The victims of all instances are merged; instances that have
/// exchanged their reports decide alike, apart from what each has served itself.
#[derive(Clone, Debug)]
pub struct PartQuarantine {
    /// Parts for which an answer has begun at this instance, and how long the longest of these answers went on.
    answered: RecentMap<Duration>,
    /// Number of victims that were removed because there were too many.
    evicted_count: u64,
    /// Whether crashes in the short phase have changed since `take_urgent` was called.
    is_urgent: bool,
    /// Spreads the trials of the instances.
    seed: u64,
    settings: PartSettings,
    /// Requests on trial by suspect part, and when each was admitted.
    trials: BTreeMap<Fingerprint, (RequestId, Duration)>,
    pub(crate) victims: BTreeMap<(CrashId, Fingerprint), CrashVictim>,
}

/// Why a request is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hold {
    /// Number of separate crashes that the part may have caused.
    pub crash_count: u32,
    /// Whether only some accounts are refused, the one of the request among them.
    pub is_account_only: bool,
    /// Latest crash.
    pub last_crash: CrashId,
    /// Time since the latest crash.
    pub last_crash_age: Duration,
    /// Suspect part, or the fingerprint of the request if it is a suspect as a whole.
    pub suspect: Fingerprint,
    /// Time until this instance tries a request with the part.
    pub wait: Duration,
}

impl PartQuarantine {
    /// Creates an empty quarantine. `seed` should differ between instances.
    #[must_use]
    pub fn new(settings: PartSettings, seed: u64) -> Self {
        Self {
            answered: RecentMap::new(MAX_ANSWERED_PARTS),
            evicted_count: 0,
            is_urgent: false,
            seed,
            settings,
            trials: BTreeMap::new(),
            victims: BTreeMap::new(),
        }
    }

    /// Checks whether a request may be sent now.
    ///
    /// # Errors
    ///
    /// Returns the suspicion with the longest wait if the request must not be sent.
    pub fn check(&self, now: Duration, run: &PromptRun, request: &RequestId) -> Result<(), Hold> {
        longest_wait(self.holds(now, run, request)).map(drop)
    }

    /// Checks a request that is about to be sent. If the hold of its suspect parts is over, it becomes the
    /// only trial of this instance. Returns the parts that it tries.
    ///
    /// # Errors
    ///
    /// Returns the suspicion with the longest wait if the request must not be sent.
    pub fn admit(
        &mut self,
        now: Duration,
        run: &PromptRun,
        request: &RequestId,
    ) -> Result<Vec<Fingerprint>, Hold> {
        let holds = longest_wait(self.holds(now, run, request))?;
        let tried: Vec<Fingerprint> = holds.iter().map(|hold| hold.suspect).collect();
        for part in &tried {
            self.trials.insert(*part, (request.clone(), now));
        }
        Ok(tried)
    }

    /// Returns why a request that was admitted earlier should no longer run; none if it may go on.
    #[must_use]
    pub fn hold(&self, now: Duration, run: &PromptRun, request: &RequestId) -> Option<Hold> {
        let holds = self.holds(now, run, request);
        let holds = holds
            .into_iter()
            .filter(|hold| !self.is_trial(hold.suspect, request));
        holds.max_by_key(|hold| hold.wait)
    }

    /// Records that a target crashed between the head of the answer to a request and the first event. Returns
    /// whether this was not known.
    pub fn record_crash(&mut self, now: Duration, crash: CrashId, run: &PromptRun) -> bool {
        self.record_crash_in(CrashPhase::BeforeFirstEvent, now, crash, run)
    }

    /// Records that a target crashed at a point of the answer to a request. Returns whether this was not known.
    /// A crash outside of the short phase concerns only parts: `CrashDetector` finds whole requests.
    pub fn record_crash_in(
        &mut self,
        phase: CrashPhase,
        now: Duration,
        crash: CrashId,
        run: &PromptRun,
    ) -> bool {
        self.record_earlier_crash(phase, (now, now), crash, run)
    }

    /// Records a crash at `at` that became known at `now`, as `record_crash_in`.
    pub fn record_earlier_crash(
        &mut self,
        phase: CrashPhase,
        (at, now): (Duration, Duration),
        crash: CrashId,
        run: &PromptRun,
    ) -> bool {
        if !self.is_attributed(phase) || (!phase.is_short() && run.parts.is_empty()) {
            return false;
        }
        let is_delayed = !phase.is_short() && self.are_outlasted(run, phase);
        let delay = match is_delayed {
            false => Duration::ZERO,
            true => self.settings.report_delay,
        };
        self.insert(
            crash,
            run.request,
            CrashVictim {
                account: run.account,
                at,
                is_request_cleared: !phase.is_short(),
                parts: run.parts.iter().map(|part| (*part, false)).collect(),
                phase,
                reported_from: now + delay,
            },
        )
    }

    /// Number of victims that are known.
    #[must_use]
    pub fn victim_count(&self) -> usize {
        self.victims.len()
    }

    /// Number of victims that were removed so far because there were too many.
    #[must_use]
    pub fn evicted_count(&self) -> u64 {
        self.evicted_count
    }

    /// Whether crashes in the short phase have changed since the last call, so that other instances must know at
    /// once. Those in other phases are many, and it takes several of them to refuse a part.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.is_urgent)
    }

    /// Whether crashes in `phase` count against the parts of prompts.
    #[must_use]
    pub fn is_attributed(&self, phase: CrashPhase) -> bool {
        phase.answered_for() <= self.settings.max_answer_time
    }

    /// Whether each part of a prompt has been answered here for so long that it probably does not cause crashes in
    /// `phase`.
    fn are_outlasted(&self, run: &PromptRun, phase: CrashPhase) -> bool {
        run.parts.iter().all(|part| self.is_outlasted(*part, phase))
    }

    fn is_outlasted(&self, part: Fingerprint, phase: CrashPhase) -> bool {
        let longest = self.answered.get(part);
        longest.is_some_and(|longest| *longest >= self.settings.outlasting_time(phase))
    }

    /// Records that an answer has begun. Returns the suspects that it clears.
    pub fn record_first_event(&mut self, now: Duration, run: &PromptRun) -> BTreeSet<Fingerprint> {
        self.record_progress(now, run, Duration::ZERO)
    }

    /// Records that an answer is complete. Returns the suspects that it clears.
    pub fn record_completion(&mut self, now: Duration, run: &PromptRun) -> BTreeSet<Fingerprint> {
        self.record_progress(now, run, COMPLETE)
    }

    /// Records that an answer still goes on `answered_for` after its first event, which clears the parts of its
    /// prompt of crashes that came earlier in an answer. Returns those that were suspects.
    pub fn record_progress(
        &mut self,
        now: Duration,
        run: &PromptRun,
        answered_for: Duration,
    ) -> BTreeSet<Fingerprint> {
        for part in &run.parts {
            let longest = self.answered.get(*part).copied();
            let longest = longest.unwrap_or_default().max(answered_for);
            self.answered.insert(now, *part, longest);
        }
        let mut cleared = BTreeSet::new();
        for ((_, request), victim) in &mut self.victims {
            if *request == run.request && !victim.is_request_cleared {
                victim.is_request_cleared = true;
                cleared.insert(run.request);
                self.is_urgent |= victim.phase.is_short();
            }
            if answered_for < self.settings.outlasting_time(victim.phase) {
                continue;
            }
            for part in &run.parts {
                if victim.is_suspect(*part) {
                    victim.parts.insert(*part, true);
                    cleared.insert(*part);
                    self.is_urgent |= victim.phase.is_short();
                }
            }
        }
        // Nobody else knows of these, so nobody has to learn that they are cleared.
        self.victims
            .retain(|_, victim| victim.is_reported(now) || !victim.is_cleared());
        self.end_trials(&cleared);
        cleared
    }

    /// Removes what has expired.
    pub fn tick(&mut self, now: Duration) {
        let retention = self.settings.retention;
        self.answered.expire(now.saturating_sub(retention));
        let mut victims = std::mem::take(&mut self.victims);
        victims.retain(|_, victim| now < victim.at + self.retention(victim));
        self.victims = victims;
        let trial_timeout = self.settings.trial_timeout;
        self.trials
            .retain(|_, (_, since)| now < *since + trial_timeout);
    }

    /// Time for which a victim is kept after its crash.
    pub(crate) fn retention(&self, victim: &CrashVictim) -> Duration {
        match (victim.is_cleared(), victim.is_request_cleared) {
            (true, true) => self.settings.cleared_retention,
            (true, false) => self.settings.request_retention,
            (false, _) => self.settings.retention,
        }
    }

    /// Suspicions because of which a request must wait or is a trial.
    fn holds(&self, now: Duration, run: &PromptRun, request: &RequestId) -> Vec<Hold> {
        let mut holds = Vec::new();
        if self.victims.is_empty() {
            return holds;
        }
        for part in std::iter::once(&run.request).chain(&run.parts) {
            let Some((suspicion, hold)) = self.suspicion(*part, run) else {
                continue;
            };
            holds.push(Hold {
                crash_count: suspicion.crash_count,
                is_account_only: !suspicion.accounts.is_empty(),
                last_crash_age: now.saturating_sub(suspicion.last_crash_at),
                wait: self.wait(now, *part, request, suspicion.last_crash_at, hold),
                last_crash: suspicion.last_crash,
                suspect: *part,
            });
        }
        holds
    }

    /// Whether a request is refused for a part, until the hold is over.
    pub(crate) fn is_refused(&self, part: Fingerprint, run: &PromptRun) -> bool {
        self.suspicion(part, run).is_some()
    }

    /// Suspicion against a part or the whole request, and the time from the latest crash to the first trial;
    /// none if the request is not refused for it.
    fn suspicion(&self, part: Fingerprint, run: &PromptRun) -> Option<(Suspicion, Duration)> {
        let settings = &self.settings;
        if part == run.request {
            let of_request = self.victims.iter();
            let of_request = of_request
                .filter(|((_, request), victim)| *request == part && !victim.is_request_cleared);
            let suspicion = Suspicion::new(of_request, Duration::ZERO)?;
            let hold = settings.hold_duration(suspicion.crash_count);
            return (suspicion.crash_count >= settings.request_crashes)
                .then_some((suspicion, hold));
        }
        let of_part = self.victims.iter();
        let of_part = of_part.filter(|(_, victim)| victim.is_suspect(part));
        let victim_count = of_part.clone().count();
        let has_short_phase = of_part.clone().any(|(_, victim)| victim.phase.is_short());
        if !has_short_phase && victim_count < settings.long_phase_crashes as usize {
            return None;
        }
        let in_short_phase = of_part
            .clone()
            .filter(|(_, victim)| victim.phase.is_short());
        let short = Suspicion::new(in_short_phase, settings.crash_gap)
            .and_then(|suspicion| self.short_phase_hold(part, suspicion, run));
        let all = Suspicion::new(of_part, settings.crash_gap)
            .and_then(|suspicion| self.any_phase_hold(part, suspicion, run));
        short.into_iter().chain(all).max_by_key(|(_, hold)| *hold)
    }

    /// Judges a part by the crashes in the short phase alone, in which few requests are interrupted: one is enough
    /// if no answer has begun here with the part.
    fn short_phase_hold(
        &self,
        part: Fingerprint,
        suspicion: Suspicion,
        run: &PromptRun,
    ) -> Option<(Suspicion, Duration)> {
        let hold = match self.is_outlasted(part, CrashPhase::BeforeFirstEvent) {
            false => self.settings.hold_duration(suspicion.crash_count),
            true => self.answered_part_hold(&suspicion)?,
        };
        suspicion.concerns(run).then_some((suspicion, hold))
    }

    /// Judges a part by the crashes in all phases. Sound requests are interrupted by them too, and again where they
    /// are resumed, so that it takes several crashes and as many requests.
    fn any_phase_hold(
        &self,
        part: Fingerprint,
        suspicion: Suspicion,
        run: &PromptRun,
    ) -> Option<(Suspicion, Duration)> {
        let crash_count = suspicion.crash_count.min(suspicion.request_count as u32);
        if crash_count < self.settings.long_phase_crashes {
            return None;
        }
        let hold = match self.is_outlasted(part, suspicion.latest_phase) {
            false => self.settings.hold_duration(suspicion.crash_count),
            true => self.answered_part_hold(&suspicion)?,
        };
        suspicion.concerns(run).then_some((suspicion, hold))
    }

    /// Time from the latest crash to the first trial of a part that has been answered here for longer than those
    /// whose targets crashed; none if it is not refused. It takes several crashes that have no other explanation.
    fn answered_part_hold(&self, suspicion: &Suspicion) -> Option<Duration> {
        let settings = &self.settings;
        let crash_count = suspicion.crash_count;
        if crash_count < settings.known_part_crashes || suspicion.is_single_request {
            return None;
        }
        Some(match crash_count - settings.known_part_crashes {
            0 => settings.known_part_hold,
            further_count => settings.hold_duration(further_count),
        })
    }

    /// Time until a request with `part` may be tried here.
    fn wait(
        &self,
        now: Duration,
        part: Fingerprint,
        request: &RequestId,
        last_crash_at: Duration,
        hold: Duration,
    ) -> Duration {
        let spread = hold.mul_f64(self.settings.trial_spread * self.spread_of(part));
        let tried_from = last_crash_at + hold + spread;
        let trial_until = match self.trials.get(&part) {
            Some((on_trial, since)) if on_trial != request => *since + self.settings.trial_timeout,
            _ => Duration::ZERO,
        };
        tried_from.max(trial_until).saturating_sub(now)
    }

    /// Position of this instance among all that try a part, from 0 to 1.
    fn spread_of(&self, part: Fingerprint) -> f64 {
        let hash = fingerprint(&[&self.seed.to_le_bytes(), &part.to_le_bytes()]);
        hash as f64 / u64::MAX as f64
    }

    fn is_trial(&self, part: Fingerprint, request: &RequestId) -> bool {
        let trial = self.trials.get(&part);
        trial.is_some_and(|(on_trial, _)| on_trial == request)
    }

    fn end_trials(&mut self, parts: &BTreeSet<Fingerprint>) {
        self.trials.retain(|part, _| !parts.contains(part));
    }

    /// Adds a victim or merges it with what is known of it. Returns whether anything was new.
    pub(crate) fn insert(
        &mut self,
        crash: CrashId,
        request: Fingerprint,
        victim: CrashVictim,
    ) -> bool {
        let key = (crash, request);
        let Some(known) = self.victims.get_mut(&key) else {
            self.is_urgent |= victim.phase.is_short();
            // Trials that began before this crash became known must not cause another one.
            self.end_trials(&victim.suspects());
            self.victims.insert(key, victim);
            self.evict();
            return true;
        };
        let is_short = known.phase.is_short();
        known.at = known.at.min(victim.at);
        known.reported_from = known.reported_from.min(victim.reported_from);
        let mut has_new = victim.is_request_cleared && !known.is_request_cleared;
        known.is_request_cleared |= victim.is_request_cleared;
        for (part, is_cleared) in victim.parts {
            let known = known.parts.entry(part).or_insert(is_cleared);
            has_new |= is_cleared && !*known;
            *known |= is_cleared;
        }
        self.is_urgent |= has_new && is_short;
        has_new
    }

    fn evict(&mut self) {
        if self.victims.len() <= MAX_VICTIMS {
            return;
        }
        let least = self.victims.iter().min_by_key(|(_, victim)| {
            let is_delayed = victim.reported_from > victim.at;
            let answered_for = Reverse(victim.phase.answered_for());
            (!victim.is_cleared(), !is_delayed, answered_for, victim.at)
        });
        if let Some(key) = least.map(|(key, _)| key.clone()) {
            self.victims.remove(&key);
            self.evicted_count += 1;
        }
    }
}

/// Returns the suspicions if none of them requires a wait.
///
/// # Errors
///
/// Returns the suspicion with the longest wait.
fn longest_wait(holds: Vec<Hold>) -> Result<Vec<Hold>, Hold> {
    match holds.iter().max_by_key(|hold| hold.wait) {
        Some(hold) if !hold.wait.is_zero() => Err(hold.clone()),
        _ => Ok(holds),
    }
}
