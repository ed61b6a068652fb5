use super::*;

/// Maximum number of crash victims kept, and thus sent in one message. Beyond it, those without suspect parts
/// are removed first, then the oldest.
const MAX_VICTIMS: usize = 128;
/// Maximum number of parts kept as known.
const MAX_KNOWN_PARTS: usize = 4_096;

/// Parts of prompts, and whole requests, that are suspected of crashing targets.
///
/// A part that crashes targets does so each time, whatever else the request holds. So a single answer that
/// begins clears all parts of its prompt. The victims of all instances are merged; instances that have
/// exchanged their reports decide alike, apart from what each has served itself.
#[derive(Clone, Debug)]
pub struct PartQuarantine {
    /// Parts for which an answer has begun at this instance.
    known: RecentSet,
    /// Spreads the trials of the instances.
    seed: u64,
    settings: PartSettings,
    /// Requests on trial by suspect part, and when each was admitted.
    trials: BTreeMap<Fingerprint, (RequestId, Duration)>,
    victims: BTreeMap<(CrashId, Fingerprint), CrashVictim>,
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
            known: RecentSet::new(MAX_KNOWN_PARTS),
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

    /// Records that a target crashed after it had begun to answer a request and before the first event.
    /// Returns whether this was not known.
    pub fn record_crash(&mut self, now: Duration, crash: CrashId, run: &PromptRun) -> bool {
        self.insert(
            crash,
            run.request,
            CrashVictim {
                account: run.account,
                at: now,
                is_request_cleared: false,
                parts: run.parts.iter().map(|part| (*part, false)).collect(),
            },
        )
    }

    /// Records that an answer has begun, which clears the parts of its prompt. Returns those that were
    /// suspects.
    pub fn record_first_event(&mut self, now: Duration, run: &PromptRun) -> BTreeSet<Fingerprint> {
        for part in &run.parts {
            self.known.insert(now, *part);
        }
        let mut cleared = BTreeSet::new();
        for ((_, request), victim) in &mut self.victims {
            if *request == run.request && !victim.is_request_cleared {
                victim.is_request_cleared = true;
                cleared.insert(run.request);
            }
            for part in &run.parts {
                if victim.is_suspect(*part) {
                    victim.parts.insert(*part, true);
                    cleared.insert(*part);
                }
            }
        }
        self.end_trials(&cleared);
        cleared
    }

    /// Merges the reports of another instance. Returns whether they contained anything new.
    pub fn merge(&mut self, now: Duration, reports: &[VictimReport]) -> bool {
        let mut has_new = false;
        for report in reports.iter().take(MAX_VICTIMS) {
            let age = Duration::from_millis(report.age_ms);
            let victim = CrashVictim {
                account: report.account,
                at: now.saturating_sub(age),
                is_request_cleared: report.is_request_cleared,
                parts: report.parts.iter().copied().collect(),
            };
            if age >= self.retention(&victim) {
                continue;
            }
            has_new |= self.insert(report.crash.clone(), report.request, victim);
        }
        has_new
    }

    /// Returns reports of all victims for another instance.
    #[must_use]
    pub fn reports(&self, now: Duration) -> Vec<VictimReport> {
        let mut reports = Vec::new();
        for ((crash, request), victim) in &self.victims {
            reports.push(VictimReport {
                account: victim.account,
                age_ms: now.saturating_sub(victim.at).as_millis() as u64,
                crash: crash.clone(),
                is_request_cleared: victim.is_request_cleared,
                parts: victim.parts.iter().map(|(part, is)| (*part, *is)).collect(),
                request: *request,
            });
        }
        reports
    }

    /// Digest of the victims, by which two instances see whether they know the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut bytes = Vec::new();
        for ((crash, request), victim) in &self.victims {
            bytes.extend_from_slice(crash.as_bytes());
            bytes.extend_from_slice(&request.to_le_bytes());
            bytes.push(u8::from(victim.is_request_cleared));
            for (part, is_cleared) in &victim.parts {
                bytes.extend_from_slice(&part.to_le_bytes());
                bytes.push(u8::from(*is_cleared));
            }
        }
        fingerprint(&[&bytes])
    }

    /// Removes what has expired.
    pub fn tick(&mut self, now: Duration) {
        let retention = self.settings.retention;
        self.known.expire(now.saturating_sub(retention));
        let mut victims = std::mem::take(&mut self.victims);
        victims.retain(|_, victim| now < victim.at + self.retention(victim));
        self.victims = victims;
        let trial_timeout = self.settings.trial_timeout;
        self.trials
            .retain(|_, (_, since)| now < *since + trial_timeout);
    }

    /// Time for which a victim is kept after its crash.
    fn retention(&self, victim: &CrashVictim) -> Duration {
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
        let suspicion = Suspicion::new(of_part, settings.crash_gap)?;
        let hold = self.hold_duration(part, &suspicion)?;
        suspicion.concerns(run).then_some((suspicion, hold))
    }

    /// Time from the latest crash to the first trial; none if the part is not refused. A part that has been
    /// answered here before is refused only after several crashes that have no other explanation.
    fn hold_duration(&self, part: Fingerprint, suspicion: &Suspicion) -> Option<Duration> {
        let settings = &self.settings;
        let crash_count = suspicion.crash_count;
        if !self.known.contains(part) {
            return Some(settings.hold_duration(crash_count));
        }
        if crash_count < settings.known_part_crashes || suspicion.is_single_request {
            return None;
        }
        match crash_count - settings.known_part_crashes {
            0 => Some(settings.known_part_hold),
            further_count => Some(settings.hold_duration(further_count)),
        }
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
    fn insert(&mut self, crash: CrashId, request: Fingerprint, victim: CrashVictim) -> bool {
        let key = (crash, request);
        let Some(known) = self.victims.get_mut(&key) else {
            // Trials that began before this crash became known must not cause another one.
            self.end_trials(&victim.suspects());
            self.victims.insert(key, victim);
            self.evict();
            return true;
        };
        known.at = known.at.min(victim.at);
        let mut has_new = victim.is_request_cleared && !known.is_request_cleared;
        known.is_request_cleared |= victim.is_request_cleared;
        for (part, is_cleared) in victim.parts {
            let known = known.parts.entry(part).or_insert(is_cleared);
            has_new |= is_cleared && !*known;
            *known |= is_cleared;
        }
        has_new
    }

    fn evict(&mut self) {
        if self.victims.len() <= MAX_VICTIMS {
            return;
        }
        let oldest = self
            .victims
            .iter()
            .min_by_key(|(_, victim)| (!victim.is_cleared(), victim.at));
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.victims.remove(&key);
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
