use super::*;

/// Most crashes that one exchange with another instance carries.
const MAX_REPORTS: usize = 64;

/// Start number of targets, whose ids already name one start each.
const INCARNATION: u64 = 0;

/// Requests that may crash the targets that run them.
#[derive(Debug)]
pub struct Suspects {
    crashes: CrashDetector,
    quarantine: Quarantine,
}

impl Suspects {
    pub(crate) fn new(settings: QuarantineSettings) -> Self {
        Self {
            crashes: CrashDetector::default(),
            quarantine: Quarantine::new(settings),
        }
    }

    /// Time for which a request is refused; none if it may run.
    pub(crate) fn blocked_for(&self, now: Duration, fingerprint: Fingerprint) -> Option<Duration> {
        self.quarantine.blocked_for(now, fingerprint)
    }

    /// Notes that the connection broke on which a target was to answer a request.
    pub(crate) fn record_interruption(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        target: &Stage,
    ) {
        let run = InterruptedRun {
            fingerprint,
            target: target.id.clone(),
            was_suspect: self.quarantine.is_suspect(now, fingerprint),
        };
        self.crashes.record_interruption(now, run);
    }

    /// Notes that a request was answered to its end.
    pub(crate) fn record_success(&mut self, fingerprint: Fingerprint) {
        self.quarantine.clear(fingerprint);
    }

    /// Notes that a target answers.
    pub(crate) fn record_answer(&mut self, target: &TargetId) {
        self.crashes.record_answer(target);
    }

    /// Notes that targets have ended, so that the runs that broke there were crashes.
    pub(crate) fn record_ended(&mut self, now: Duration, has_ended: impl Fn(&TargetId) -> bool) {
        self.quarantine.tick(now);
        for run in self.crashes.take_crashed(now, has_ended) {
            tracing::info!(
                fingerprint = run.fingerprint,
                target = &*run.target,
                was_suspect = run.was_suspect,
                "request ran on a target that ended"
            );
            self.quarantine.record_crash(
                now,
                run.fingerprint,
                &run.target,
                INCARNATION,
                run.was_suspect,
            );
        }
    }

    /// Crashes that this instance saw.
    pub fn own_reports(&mut self, now: Duration) -> Vec<CrashReport> {
        self.quarantine.tick(now);
        most_important(self.quarantine.reports(now))
    }

    /// Crashes that this instance and all others but `peer` saw.
    pub fn reports_for(&mut self, now: Duration, peer: &Arc<str>) -> Vec<CrashReport> {
        self.quarantine.tick(now);
        most_important(self.quarantine.reports_for(now, peer))
    }

    /// Takes over the crashes that another instance knows of.
    pub fn merge_reports(&mut self, now: Duration, peer: &Arc<str>, reports: &[CrashReport]) {
        self.quarantine.record_heartbeat(now, peer, reports);
    }
}

/// The reports that are closest to a refusal.
fn most_important(mut reports: Vec<CrashReport>) -> Vec<CrashReport> {
    reports.sort_by_key(|report| Reverse(report.crashes.len()));
    reports.truncate(MAX_REPORTS);
    reports
}
