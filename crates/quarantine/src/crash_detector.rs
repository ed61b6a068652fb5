use super::*;

/// Time within which the end of a target explains a connection that broke. Entries of ended targets
/// lapse after three seconds.
const EVIDENCE_TIME: Duration = Duration::from_secs(5);

/// A run whose connection broke before its answer was complete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BrokenRun {
    /// Request by content.
    pub fingerprint: Fingerprint,
    /// Target that ran the request.
    pub target: TargetId,
    /// Whether the request was suspect when the connection broke.
    pub was_suspect: bool,
}

/// Broken runs whose cause is not known yet.
///
/// A connection breaks for many reasons, of which only the end of the target counts as a crash. It is
/// shown by a failed connection to the target, by its silence, or by its missing in the listing.
#[derive(Clone, Debug, Default)]
pub struct CrashWatch {
    /// Broken runs with the time at which they broke.
    broken: Vec<(BrokenRun, Duration)>,
}

impl CrashWatch {
    /// Notes a broken run.
    pub fn broke_off(&mut self, now: Duration, run: BrokenRun) {
        let oldest = now.saturating_sub(EVIDENCE_TIME);
        self.broken.retain(|(_, at)| *at >= oldest);
        self.broken.push((run, now));
    }

    /// Notes that a target answers, so that it has not ended.
    pub fn answered(&mut self, target: &TargetId) {
        self.broken.retain(|(run, _)| run.target != *target);
    }

    /// Runs that broke because their targets have ended.
    pub fn ended(
        &mut self,
        now: Duration,
        has_ended: impl Fn(&TargetId) -> bool,
    ) -> Vec<BrokenRun> {
        let oldest = now.saturating_sub(EVIDENCE_TIME);
        let mut crashed = Vec::new();
        self.broken.retain(|(run, at)| {
            let is_crash = has_ended(&run.target);
            if is_crash && *at >= oldest {
                crashed.push(run.clone());
            }
            !is_crash
        });
        crashed
    }
}
