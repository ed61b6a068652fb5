use super::*;

/// Time for which the first requests wait until this instance has learned what others know. Afterwards they
/// are sent, as there may be no other instance.
const SYNC_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which changes in other phases than the short one are collected before other instances are told.
const SLOW_DELAY: Duration = Duration::from_millis(300);

/// Waits for changes of what is known of crashes.
#[derive(Debug)]
pub struct CrashChanges {
    slow: watch::Receiver<u64>,
    urgent: watch::Receiver<u64>,
}

impl CrashChanges {
    /// Waits until other instances should be told of a change.
    pub async fn changed(&mut self) {
        let slow = async {
            if self.slow.changed().await.is_err() {
                return std::future::pending().await;
            }
            tokio::time::sleep(SLOW_DELAY).await;
        };
        tokio::select! {
            () = slow => {}
            _ = self.urgent.changed() => {}
        }
    }

    /// Waits for `SLOW_DELAY`, or until a change must be told at once.
    pub async fn pause(&mut self) {
        let _ = timeout(SLOW_DELAY, self.urgent.changed()).await;
    }
}

/// Quarantine of requests and parts of prompts that crash targets, shared by all tasks of an instance.
#[derive(Debug)]
pub struct PromptParts {
    /// Counts the changes of what is known of crashes in the short phase.
    changed: watch::Sender<u64>,
    /// Counts the changes of what is known of crashes in other phases.
    changed_slowly: watch::Sender<u64>,
    /// Whether requests need not wait for what other instances know.
    is_synced: watch::Sender<bool>,
    pub(crate) checks: CrashChecks,
    /// Interrupted requests of which it is not known yet whether their targets have crashed.
    interruptions: Mutex<CrashDetector<InterruptedPrompt>>,
    quarantine: Mutex<PartQuarantine>,
}

/// A request with shared parts that was interrupted.
#[derive(Clone, Debug)]
struct InterruptedPrompt {
    admitted: Admitted,
    /// Point that its answer had reached.
    phase: CrashPhase,
}

impl PromptParts {
    pub(crate) fn new(settings: PartSettings, seed: u64) -> Self {
        Self {
            changed: watch::Sender::new(0),
            changed_slowly: watch::Sender::new(0),
            is_synced: watch::Sender::new(false),
            checks: CrashChecks::default(),
            interruptions: Mutex::default(),
            quarantine: Mutex::new(PartQuarantine::new(settings, seed)),
        }
    }

    /// Records that this instance knows what another one knows.
    pub fn mark_synced(&self) {
        self.is_synced.send_replace(true);
    }

    /// Waits until this instance knows what the others know. An instance that has just started would
    /// otherwise send requests that they refuse.
    pub(crate) async fn wait_for_sync(&self, admitted: &Admitted) {
        if admitted.prompt_run.parts.is_empty() || *self.is_synced.borrow() {
            return;
        }
        let mut synced = self.is_synced.subscribe();
        if timeout(SYNC_TIMEOUT, synced.wait_for(|is_synced| *is_synced))
            .await
            .is_err()
        {
            tracing::info!(
                request = &*admitted.metadata.id,
                "no other instance has reported crashes, sending requests without"
            );
            self.mark_synced();
        }
    }

    /// Checks whether a request may be sent.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request or a part of its prompt is suspected of crashing targets.
    pub(crate) fn check(&self, now: Duration, admitted: &Admitted) -> Result<(), Refusal> {
        let Admitted {
            metadata,
            prompt_run,
            ..
        } = admitted;
        let checked = self.lock().check(now, prompt_run, &metadata.id);
        checked.map_err(|hold| refuse(admitted, &hold))
    }

    /// Checks a request right before it is sent. It may become the trial of a suspect part.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request or a part of its prompt is suspected of crashing targets.
    pub(crate) fn admit(&self, now: Duration, admitted: &Admitted) -> Result<(), Refusal> {
        let Admitted {
            metadata,
            prompt_run,
            ..
        } = admitted;
        let admission = self.lock().admit(now, prompt_run, &metadata.id);
        let tried = admission.map_err(|hold| refuse(admitted, &hold))?;
        for part in tried {
            tracing::info!(
                request = &*metadata.id,
                suspect = admitted.suspect_id(part),
                "trying a request that may crash its target"
            );
        }
        Ok(())
    }

    /// Waits until a request that was sent must be stopped, because it or a part of its prompt has become a
    /// suspect since.
    pub(crate) async fn stopped(&self, admitted: &Admitted) -> Refusal {
        let mut changed = self.changed.subscribe();
        loop {
            let now = clock::now();
            let id = &admitted.metadata.id;
            let hold = self.lock().hold(now, &admitted.prompt_run, id);
            if let Some(hold) = hold {
                return refuse(admitted, &hold);
            }
            if changed.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Records that the answer to a request still goes on `answered_for` after its first event.
    pub(crate) fn record_progress(
        &self,
        now: Duration,
        admitted: &Admitted,
        answered_for: Duration,
    ) {
        let run = &admitted.prompt_run;
        let (cleared, is_urgent) = {
            let mut quarantine = self.lock();
            let cleared = quarantine.record_progress(now, run, answered_for);
            (cleared, quarantine.take_urgent())
        };
        self.report_cleared(admitted, &cleared, is_urgent);
    }

    /// Records that the answer to a request is complete.
    pub(crate) fn record_completion(&self, now: Duration, admitted: &Admitted) {
        let (cleared, is_urgent) = {
            let mut quarantine = self.lock();
            let cleared = quarantine.record_completion(now, &admitted.prompt_run);
            (cleared, quarantine.take_urgent())
        };
        self.report_cleared(admitted, &cleared, is_urgent);
    }

    fn report_cleared(
        &self,
        admitted: &Admitted,
        cleared: &BTreeSet<Fingerprint>,
        is_urgent: bool,
    ) {
        if cleared.is_empty() {
            return;
        }
        for part in cleared {
            tracing::info!(
                request = &*admitted.metadata.id,
                suspect = admitted.suspect_id(*part),
                "answer has begun or goes on, suspicion of crashing targets is lifted"
            );
        }
        // Other instances clear the rest by answers of their own, or learn of it with their next query.
        if is_urgent {
            self.notify(true);
        }
    }

    /// Targets with interrupted requests of which it is not known whether they crashed.
    pub(crate) fn pending_targets(&self) -> HashSet<TargetRun> {
        lock(&self.interruptions).pending_targets()
    }

    /// Whether it is not known yet if a target at which a request was interrupted has crashed.
    pub(crate) fn is_pending(&self, target: &TargetRun) -> bool {
        lock(&self.interruptions).is_pending(target)
    }

    /// Forgets the requests that were interrupted, because this instance has lost its links to all targets.
    pub(crate) fn forget_interruptions(&self) {
        lock(&self.interruptions).clear();
    }

    /// Records a sign of a target. Requests that were interrupted by its end count as crashes.
    pub(crate) fn record_sign(&self, now: Duration, target: &TargetRun, sign: TargetSign) {
        let crashed = lock(&self.interruptions).record_sign(now, target, sign);
        for interruption in crashed {
            self.record_crash(now, &interruption);
        }
    }

    /// Records that a target crashed while it ran a request.
    fn record_crash(&self, now: Duration, interruption: &Interruption<InterruptedPrompt>) {
        let Interruption {
            at, run, target, ..
        } = interruption;
        let InterruptedPrompt { admitted, phase } = run;
        let crash: CrashId = format!("{}#{}", target.id, target.incarnation).into();
        let (is_new, is_urgent, victims, evicted) = {
            let mut quarantine = self.lock();
            let run = &admitted.prompt_run;
            let is_new = quarantine.record_earlier_crash(*phase, (*at, now), crash, run);
            let is_urgent = quarantine.take_urgent();
            let evicted = quarantine.evicted_count();
            (is_new, is_urgent, quarantine.victim_count(), evicted)
        };
        tracing::info!(
            request = &*admitted.metadata.id,
            target = &*target.id,
            incarnation = target.incarnation,
            ?phase,
            age_ms = now.saturating_sub(*at).as_millis() as u64,
            shared_parts = admitted.shared_parts_text(),
            is_new,
            victims,
            evicted,
            "target crashed while it ran the request"
        );
        if is_new {
            self.notify(is_urgent);
        }
    }

    /// Whether a crash in `phase` would count against the request or its parts.
    fn is_attributed(&self, admitted: &Admitted, phase: CrashPhase) -> bool {
        let has_parts = !admitted.prompt_run.parts.is_empty();
        phase == CrashPhase::BeforeFirstEvent || (has_parts && self.lock().is_attributed(phase))
    }

    /// Merges the crash victims that an instance of an earlier version reports.
    pub fn merge(&self, now: Duration, reports: &[VictimReport]) {
        let (has_new, is_urgent) = {
            let mut quarantine = self.lock();
            (quarantine.merge(now, reports), quarantine.take_urgent())
        };
        self.report_merged(has_new, is_urgent, reports.len());
    }

    /// Merges the crash victims that another instance reports.
    pub fn merge_phased(&self, now: Duration, reports: &[PhasedVictimReport]) {
        let (has_new, is_urgent) = {
            let mut quarantine = self.lock();
            let has_new = quarantine.merge_phased(now, reports);
            (has_new, quarantine.take_urgent())
        };
        self.report_merged(has_new, is_urgent, reports.len());
    }

    fn report_merged(&self, has_new: bool, is_urgent: bool, victims: usize) {
        if has_new {
            tracing::info!(victims, "other instances report crashes by requests");
            self.notify(is_urgent);
        }
    }

    /// Digest and reports of the crash victims that instances of earlier versions know.
    pub fn reports(&self, now: Duration) -> (u64, Vec<VictimReport>) {
        let mut quarantine = self.lock();
        quarantine.tick(now);
        (quarantine.digest(), quarantine.reports(now))
    }

    /// Digest of the crash victims that this instance knows.
    pub fn phased_digest(&self, now: Duration) -> u64 {
        let mut quarantine = self.lock();
        quarantine.tick(now);
        quarantine.phased_digest(now)
    }

    /// Crash victims because of which parts are refused.
    pub fn refused_reports(&self, now: Duration) -> Vec<PhasedVictimReport> {
        self.lock().refused_reports(now)
    }

    /// Digest and reports of the crash victims that this instance knows.
    pub fn phased_reports(&self, now: Duration) -> (u64, Vec<PhasedVictimReport>) {
        let mut quarantine = self.lock();
        quarantine.tick(now);
        (
            quarantine.phased_digest(now),
            quarantine.phased_reports(now),
        )
    }

    /// Changes of what is known of crashes, from now on.
    pub fn changes(&self) -> CrashChanges {
        CrashChanges {
            slow: self.changed_slowly.subscribe(),
            urgent: self.changed.subscribe(),
        }
    }

    /// Forgets targets that are no longer listed.
    pub(crate) fn retain_listed(&self, is_listed: impl Fn(TargetKey) -> bool) {
        self.checks.retain_listed(is_listed);
    }

    fn notify(&self, is_urgent: bool) {
        let changed = match is_urgent {
            false => &self.changed_slowly,
            true => &self.changed,
        };
        changed.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, PartQuarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records that a request was interrupted in `phase` of its answer, and finds out whether its target has crashed. Waits
/// for the result only if a single crash is enough to suspect the request, so that others are resumed without a delay.
pub(crate) async fn record_interruption(
    router: &Arc<Router>,
    admitted: &Admitted,
    target: &Stage,
    phase: CrashPhase,
) {
    let parts = &router.prompt_parts;
    if !parts.is_attributed(admitted, phase) {
        return;
    }
    let run = InterruptedPrompt {
        admitted: admitted.clone(),
        phase,
    };
    let is_staying = router.is_staying(target);
    let (now, run_at) = (clock::now(), crash_checks::target_run(target));
    lock(&parts.interruptions).record_interruption(now, run_at, is_staying, run);
    let is_engine = admitted.pipeline().is_some();
    let has_time = admitted.time_left() > crash_checks::CHECK_TIMEOUT;
    if phase == CrashPhase::BeforeFirstEvent && has_time {
        parts.checks.run(router, target, is_engine).await;
        return;
    }
    let (router, target) = (router.clone(), target.clone());
    tokio::spawn(async move {
        let checks = &router.prompt_parts.checks;
        checks.run(&router, &target, is_engine).await;
    });
}

/// Logs why a request is refused.
fn refuse(admitted: &Admitted, hold: &Hold) -> Refusal {
    tracing::info!(
        request = &*admitted.metadata.id,
        suspect = admitted.suspect_id(hold.suspect),
        crashes = hold.crash_count,
        is_account_only = hold.is_account_only,
        last_crash = &*hold.last_crash,
        last_crash_age_ms = hold.last_crash_age.as_millis() as u64,
        wait_ms = hold.wait.as_millis() as u64,
        "request may crash its target"
    );
    match hold.suspect == admitted.fingerprint {
        true => Refusal::Quarantined(hold.wait),
        false => Refusal::SuspectPart(hold.wait),
    }
}
