use super::*;

/// Longest time for which a target keeps this instance away with one answer.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

/// What a target said about taking further requests of this instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Availability {
    /// Until when it asked this instance to send nothing.
    paused_until: Duration,
    /// Whether it said that it leaves. Invariant: never undone for the same start of a target.
    pub(crate) is_leaving: bool,
}

impl Availability {
    /// Notes that it wants no requests for `wait`. A later, shorter time does not end an earlier one.
    /// Returns whether it is kept away for longer than before.
    pub(crate) fn pause(&mut self, now: Duration, wait: Duration) -> bool {
        let until = now + wait.min(MAX_PAUSE);
        let is_longer = until > self.paused_until;
        self.paused_until = self.paused_until.max(until);
        is_longer
    }

    /// Time until it takes requests again; zero if it takes them now.
    pub(crate) fn pause_left(&self, now: Duration) -> Duration {
        self.paused_until.saturating_sub(now)
    }

    /// Whether a request may be sent to it.
    pub(crate) fn accepts_requests(&self, now: Duration) -> bool {
        !self.is_leaving && self.paused_until <= now
    }
}
