use super::*;

/// How a request ended at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The target answered.
    Answered,
    /// The target was not reached, broke off or was silent.
    Failed,
    /// The target refused because it has no room.
    Full,
    /// The target did not answer a question; it is asked again until it does.
    Unreachable,
}

/// Whether a target is avoided because of what it did.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    avoided_until: Duration,
    /// Until when it is taken to have no room, as it said so.
    full_until: Duration,
    /// Failures without an answer between them.
    failure_count: u32,
    /// Whether it did not answer when it was asked. Then it is avoided until it does.
    is_unreachable: bool,
}

impl Health {
    pub(crate) fn record(&mut self, now: Duration, outcome: Outcome, settings: &FleetSettings) {
        match outcome {
            Outcome::Answered => *self = Self::default(),
            Outcome::Failed => {
                // Failures of requests that were sent before the first one count once.
                if self.failure_count > 0 && now < self.avoided_until {
                    return;
                }
                let factor = 2_u32.saturating_pow(self.failure_count.min(16));
                let avoidance = settings.min_avoidance.saturating_mul(factor);
                self.failure_count += 1;
                self.avoided_until = now + avoidance.min(settings.max_avoidance);
            }
            Outcome::Full => self.full_until = now + settings.full_cooldown,
            Outcome::Unreachable => self.is_unreachable = true,
        }
    }

    /// Whether it did not answer when it was asked.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Whether it said a moment ago that it has no room.
    pub(crate) fn is_full(&self, now: Duration) -> bool {
        now < self.full_until
    }

    pub(crate) fn is_avoided(&self, now: Duration) -> bool {
        self.is_unreachable || now < self.avoided_until
    }
}
