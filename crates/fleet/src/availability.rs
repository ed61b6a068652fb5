use super::*;

/// Longest time for which a target keeps this instance away with one answer.
const LONGEST_HOLD: Duration = Duration::from_secs(3_600);

/// What a target said about taking further requests of this instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Intake {
    /// Until when it asked this instance to send nothing.
    held_until: Duration,
    /// Whether it said that it leaves. Invariant: never undone for the same start of a target.
    pub(crate) is_leaving: bool,
}

impl Intake {
    /// Notes that it wants no requests for `wait`. A later, shorter time does not end an earlier one.
    /// Returns whether it is kept away for longer than before.
    pub(crate) fn hold(&mut self, now: Duration, wait: Duration) -> bool {
        let until = now + wait.min(LONGEST_HOLD);
        let is_longer = until > self.held_until;
        self.held_until = self.held_until.max(until);
        is_longer
    }

    /// Time until it takes requests again; zero if it takes them now.
    pub(crate) fn held_for(&self, now: Duration) -> Duration {
        self.held_until.saturating_sub(now)
    }

    /// Whether a request may be sent to it.
    pub(crate) fn is_open(&self, now: Duration) -> bool {
        !self.is_leaving && self.held_until <= now
    }
}
