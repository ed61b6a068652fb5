use super::*;

/// Time after a connection broke within which the end of its target is taken as the cause. It exceeds the
/// three seconds after which the list entry of an ended target lapses.
const ATTRIBUTION_WINDOW: Duration = Duration::from_secs(5);

/// An execution of a request whose connection broke before the answer was complete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InterruptedRun {
    /// Fingerprint of the request's content.
    pub fingerprint: Fingerprint,
    /// Incarnation of the target that ran the request.
    pub incarnation: Incarnation,
    /// Id of the request, for logs.
    pub request: RequestId,
    /// Target that ran the request.
    pub target: TargetId,
    /// Whether the request was already a suspect when the connection broke.
    pub was_suspect: bool,
}

/// Finds out which interrupted runs were caused by a crash of their target.
///
/// A connection can break for many reasons; only the end of the target counts as a crash. Evidence for it
/// is a failed connection to the target, a probe without an answer, or the target's absence from the list.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    /// Interrupted runs whose cause is not known yet, and when they were interrupted.
    interrupted: Vec<(InterruptedRun, Duration)>,
}

impl CrashDetector {
    /// Records an interrupted run.
    pub fn record_interruption(&mut self, now: Duration, run: InterruptedRun) {
        let oldest = now.saturating_sub(ATTRIBUTION_WINDOW);
        self.interrupted.retain(|(_, at)| *at >= oldest);
        self.interrupted.push((run, now));
    }

    /// Records that a target answered. This incarnation has not ended, so its interrupted runs are no crashes.
    pub fn record_answer(&mut self, target: &TargetId, incarnation: Incarnation) {
        self.interrupted
            .retain(|(run, _)| run.target != *target || run.incarnation != incarnation);
    }

    /// Forgets all interrupted runs, because their connections broke through no fault of their targets.
    pub fn clear(&mut self) {
        self.interrupted.clear();
    }

    /// Removes and returns the runs that were interrupted because their targets have ended. Runs
    /// interrupted longer ago than `ATTRIBUTION_WINDOW` are removed but not returned.
    pub fn take_crashed(
        &mut self,
        now: Duration,
        has_ended: impl Fn(&InterruptedRun) -> bool,
    ) -> Vec<InterruptedRun> {
        let oldest = now.saturating_sub(ATTRIBUTION_WINDOW);
        let mut crashed = Vec::new();
        self.interrupted.retain(|(run, at)| {
            let is_crash = has_ended(run);
            if is_crash && *at >= oldest {
                crashed.push(run.clone());
            }
            !is_crash
        });
        crashed
    }
}
