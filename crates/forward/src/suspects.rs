use super::*;

/// Maximum number of crash reports in one message to another instance.
const MAX_REPORTS: usize = 64;

/// Requests that are suspected of crashing the targets that run them.
#[derive(Debug)]
pub struct Suspects {
    crashes: CrashDetector,
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
    ) {
        let run = InterruptedRun {
            fingerprint,
            incarnation: target.incarnation,
            request: request.clone(),
            target: target.id.clone(),
            was_suspect: self.quarantine.is_suspect(now, fingerprint),
        };
        self.crashes.record_interruption(now, run);
    }

    /// Records that a request got a complete answer, which clears it of suspicion.
    pub(crate) fn record_success(&mut self, fingerprint: Fingerprint) {
        self.quarantine.clear(fingerprint);
    }

    /// Records that a target answers, so that it did not crash.
    pub(crate) fn record_answer(&mut self, target: &Stage) {
        self.crashes.record_answer(&target.id, target.incarnation);
    }

    /// Records that targets have terminated. Requests that were interrupted there count as crashes.
    pub(crate) fn record_ended(
        &mut self,
        now: Duration,
        has_ended: impl Fn(&InterruptedRun) -> bool,
    ) {
        self.quarantine.tick(now);
        for run in self.crashes.take_crashed(now, has_ended) {
            tracing::info!(
                request = &*run.request,
                fingerprint = run.fingerprint,
                target = &*run.target,
                was_suspect = run.was_suspect,
                "request was running on a target that terminated"
            );
            self.quarantine.record_crash(
                now,
                run.fingerprint,
                &run.target,
                run.incarnation,
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
