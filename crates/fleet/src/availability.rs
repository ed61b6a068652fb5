use super::*;

/// Maximum pause that a target can request with one answer.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

/// What a target announced about accepting further requests of this instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Availability {
    /// Until when it asked this instance to send no requests.
    paused_until: Duration,
    /// Whether it announced that it is leaving. Invariant: never reset for the same incarnation of a
    /// target.
    pub(crate) is_leaving: bool,
}

impl Availability {
    /// Pauses requests to the target for `wait`. A shorter pause does not cut an earlier one short.
    /// Returns whether the pause now ends later than before.
    pub(crate) fn pause(&mut self, now: Duration, wait: Duration) -> bool {
        let until = now + wait.min(MAX_PAUSE);
        let is_longer = until > self.paused_until;
        self.paused_until = self.paused_until.max(until);
        is_longer
    }

    /// Remaining time of the pause; zero if there is none.
    pub(crate) fn pause_left(&self, now: Duration) -> Duration {
        self.paused_until.saturating_sub(now)
    }

    /// Whether requests may be sent to it: it is neither paused nor leaving.
    pub(crate) fn accepts_requests(&self, now: Duration) -> bool {
        !self.is_leaving && self.paused_until <= now
    }
}
