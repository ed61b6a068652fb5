use super::*;

/// Maximum number of crash reports in one message to another instance.
const MAX_REPORTS: usize = 64;

/// An execution of a request that was interrupted.
#[derive(Clone, Debug)]
struct InterruptedRun {
    /// Fingerprint of the request's content.
    fingerprint: Fingerprint,
    request: RequestId,
    /// Whether the request was already a suspect when it was interrupted.
    was_suspect: bool,
}

/// Requests that are suspected of crashing the targets that run them.
#[derive(Debug)]
pub struct Suspects {
    crashes: CrashDetector<InterruptedRun>,
    quarantine: Quarantine,
    /// Number of crashes from which on a request is refused.
    refused_from: usize,
}

impl Suspects {
    pub(crate) fn new(settings: QuarantineSettings) -> Self {
        Self {
            crashes: CrashDetector::default(),
            refused_from: settings.crash_count as usize,
            quarantine: Quarantine::new(settings),
        }
    }

    /// Remaining time for which a request is refused; none if it may run.
    pub(crate) fn blocked_for(&self, now: Duration, fingerprint: Fingerprint) -> Option<Duration> {
        self.quarantine.blocked_for(now, fingerprint)
    }

    /// Records that the connection to a target broke before its answer to a request was complete.
    pub(crate) fn record_interruption(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        request: &RequestId,
        target: &Stage,
        is_staying: bool,
    ) {
        let run = InterruptedRun {
            fingerprint,
            request: request.clone(),
            was_suspect: self.quarantine.is_suspect(now, fingerprint),
        };
        self.crashes
            .record_interruption(now, crash_checks::target_run(target), is_staying, run);
    }

    /// Records that a request got a complete answer, which clears it of suspicion.
    pub(crate) fn record_success(&mut self, fingerprint: Fingerprint) {
        self.quarantine.clear(fingerprint);
    }

    /// Targets with interrupted requests of which it is not known whether they crashed.
    pub(crate) fn pending_targets(&self) -> HashSet<TargetRun> {
        self.crashes.pending_targets()
    }

    /// Records a sign of a target. Requests that were interrupted by its end count as crashes.
    pub(crate) fn record_sign(&mut self, now: Duration, target: &TargetRun, sign: TargetSign) {
        for Interruption { run, target, .. } in self.crashes.record_sign(now, target, sign) {
            tracing::info!(
                request = &*run.request,
                fingerprint = run.fingerprint,
                target = &*target.id,
                was_suspect = run.was_suspect,
                "request was running on a target that terminated"
            );
            self.quarantine.tick(now);
            self.quarantine.record_crash(
                now,
                run.fingerprint,
                &target.id,
                target.incarnation,
                run.was_suspect,
            );
        }
    }

    /// Forgets the connections that broke, because this instance has lost its links to all targets.
    pub(crate) fn forget_interruptions(&mut self) {
        self.crashes.clear();
    }

    /// Crashes that this instance observed.
    pub fn own_reports(&mut self, now: Duration) -> Vec<CrashReport> {
        self.quarantine.tick(now);
        most_important(self.quarantine.reports(now))
    }

    /// Crashes of the requests that are refused for them, whichever instance observed them.
    pub fn refused_reports(&mut self, now: Duration) -> Vec<CrashReport> {
        let mut reports = self.own_reports(now);
        reports.retain(|report| report.crashes.len() >= self.refused_from);
        reports
    }

    /// Crashes that this instance and all others except `peer` observed.
    pub fn reports_for(&mut self, now: Duration, peer: &Arc<str>) -> Vec<CrashReport> {
        self.quarantine.tick(now);
        most_important(self.quarantine.reports_for(now, peer))
    }

    /// Merges the crashes that another instance reports.
    pub fn merge_reports(&mut self, now: Duration, peer: &Arc<str>, reports: &[CrashReport]) {
        self.quarantine.record_heartbeat(now, peer, reports);
    }
}

/// Keeps the reports with the most crashes, whose requests are closest to being refused.
fn most_important(mut reports: Vec<CrashReport>) -> Vec<CrashReport> {
    reports.sort_by_key(|report| Reverse(report.crashes.len()));
    reports.truncate(MAX_REPORTS);
    reports
}
