use super::*;

/// Time for which the first requests wait until this instance has learned what others know. Afterwards they
/// are sent, as there may be no other instance.
const SYNC_TIMEOUT: Duration = Duration::from_millis(200);

/// Quarantine of requests and parts of prompts that crash targets, shared by all tasks of an instance.
#[derive(Debug)]
pub struct PromptParts {
    /// Counts the changes of what is known of crashes.
    changed: watch::Sender<u64>,
    /// Whether requests need not wait for what other instances know.
    is_synced: watch::Sender<bool>,
    checks: CrashChecks,
    quarantine: Mutex<PartQuarantine>,
}

impl PromptParts {
    pub(crate) fn new(settings: PartSettings, seed: u64) -> Self {
        Self {
            changed: watch::Sender::new(0),
            is_synced: watch::Sender::new(false),
            checks: CrashChecks::default(),
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
        let cleared = self.lock().record_progress(now, run, answered_for);
        self.report_cleared(admitted, &cleared);
    }

    /// Records that the answer to a request is complete.
    pub(crate) fn record_completion(&self, now: Duration, admitted: &Admitted) {
        let cleared = self.lock().record_completion(now, &admitted.prompt_run);
        self.report_cleared(admitted, &cleared);
    }

    fn report_cleared(&self, admitted: &Admitted, cleared: &BTreeSet<Fingerprint>) {
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
        self.notify();
    }

    /// Records that a target crashed while it ran a request.
    fn record_crash(&self, phase: CrashPhase, now: Duration, admitted: &Admitted, target: &Stage) {
        let crash: CrashId = format!("{}#{}", target.id, target.incarnation).into();
        let run = &admitted.prompt_run;
        let is_new = self.lock().record_crash_in(phase, now, crash, run);
        tracing::info!(
            request = &*admitted.metadata.id,
            target = &*target.id,
            incarnation = target.incarnation,
            ?phase,
            shared_parts = admitted.shared_parts_text(),
            is_new,
            "target crashed while it ran the request"
        );
        if is_new {
            self.notify();
        }
    }

    /// Whether the parts of a prompt have probably not caused a crash in `phase`.
    fn are_outlasted(&self, admitted: &Admitted, phase: CrashPhase) -> bool {
        self.lock().are_outlasted(&admitted.prompt_run, phase)
    }

    /// Merges the crash victims that an instance of an earlier version reports.
    pub fn merge(&self, now: Duration, reports: &[VictimReport]) {
        let has_new = self.lock().merge(now, reports);
        self.report_merged(has_new, reports.len());
    }

    /// Merges the crash victims that another instance reports.
    pub fn merge_phased(&self, now: Duration, reports: &[PhasedVictimReport]) {
        let has_new = self.lock().merge_phased(now, reports);
        self.report_merged(has_new, reports.len());
    }

    fn report_merged(&self, has_new: bool, victims: usize) {
        if has_new {
            tracing::info!(victims, "other instances report crashes by requests");
            self.notify();
        }
    }

    /// Digest and reports of the crash victims that instances of earlier versions know.
    pub fn reports(&self, now: Duration) -> (u64, Vec<VictimReport>) {
        let mut quarantine = self.lock();
        quarantine.tick(now);
        (quarantine.digest(), quarantine.reports(now))
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

    /// Receiver of the number of changes of what is known of crashes.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Forgets targets that are no longer listed.
    pub(crate) fn retain_listed(&self, is_listed: impl Fn(TargetKey) -> bool) {
        self.checks.retain_listed(is_listed);
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, PartQuarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Finds out whether a connection that broke in `phase` of an answer ended with a crash of the target, and records
/// the crash. Returns at once if the parts of the prompt have probably not caused it, or if there is no time left, so
/// that the request goes on without a delay.
pub(crate) async fn record_interruption(
    router: &Arc<Router>,
    admitted: &Admitted,
    target: &Stage,
    phase: CrashPhase,
) {
    let is_short = phase == CrashPhase::BeforeFirstEvent;
    if !is_short && admitted.prompt_run.parts.is_empty() {
        return;
    }
    let (router, admitted, target) = (router.clone(), admitted.clone(), target.clone());
    let parts = &router.prompt_parts;
    let is_suspect = is_short || !parts.are_outlasted(&admitted, phase);
    let is_awaited = is_suspect && admitted.time_left() > crash_checks::CHECK_TIMEOUT;
    let record = async move {
        let parts = &router.prompt_parts;
        if parts.checks.has_crashed(&router, &target).await {
            parts.record_crash(phase, clock::now(), &admitted, &target);
        }
    };
    if is_awaited {
        record.await;
    } else {
        tokio::spawn(record);
    }
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
