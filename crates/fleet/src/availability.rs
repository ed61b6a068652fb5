use super::*;

/// Maximum pause that a target can request with one answer.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);
/// Time for which an incarnation that has ended gets no requests. Longer than its entry stays listed; if it is still
/// listed then, the sign of its end was wrong.
const ENDED_RETENTION: Duration = Duration::from_secs(10);

/// Whether a target accepts further requests of this instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Availability {
    /// Until when this incarnation counts as ended, although it is still listed.
    ended_until: Duration,
    /// Whether another target that started later is listed at its address.
    pub(crate) is_replaced: bool,
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

    /// Whether requests may be sent to it: it is neither paused nor leaving, and has not ended.
    pub(crate) fn accepts_requests(&self, now: Duration) -> bool {
        !self.is_leaving && !self.has_ended(now) && self.paused_until <= now
    }

    /// Records that this incarnation has ended. Returns whether this is new.
    pub(crate) fn record_ended(&mut self, now: Duration) -> bool {
        let is_new = self.ended_until <= now;
        self.ended_until = now + ENDED_RETENTION;
        is_new
    }

    /// Whether this incarnation has ended.
    pub(crate) fn has_ended(&self, now: Duration) -> bool {
        self.is_replaced || now < self.ended_until
    }
}
