use super::*;

/// Time within which the end of a target explains a connection that broke. Entries of ended targets
/// lapse after three seconds.
const ATTRIBUTION_WINDOW: Duration = Duration::from_secs(5);

/// A run whose connection broke before its answer was complete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InterruptedRun {
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
pub struct CrashDetector {
    /// Broken runs with the time at which they broke.
    interrupted: Vec<(InterruptedRun, Duration)>,
}

impl CrashDetector {
    /// Notes a broken run.
    pub fn record_interruption(&mut self, now: Duration, run: InterruptedRun) {
        let oldest = now.saturating_sub(ATTRIBUTION_WINDOW);
        self.interrupted.retain(|(_, at)| *at >= oldest);
        self.interrupted.push((run, now));
    }

    /// Notes that a target answers, so that it has not ended.
    pub fn record_answer(&mut self, target: &TargetId) {
        self.interrupted.retain(|(run, _)| run.target != *target);
    }

    /// Runs that broke because their targets have ended.
    pub fn take_crashed(
        &mut self,
        now: Duration,
        has_ended: impl Fn(&TargetId) -> bool,
    ) -> Vec<InterruptedRun> {
        let oldest = now.saturating_sub(ATTRIBUTION_WINDOW);
        let mut crashed = Vec::new();
        self.interrupted.retain(|(run, at)| {
            let is_crash = has_ended(&run.target);
            if is_crash && *at >= oldest {
                crashed.push(run.clone());
            }
            !is_crash
        });
        crashed
    }
}
