use super::*;

/// Outcome of a request or a probe at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The target answered.
    Answered,
    /// The target could not be reached, closed the connection early or timed out.
    Failed,
    /// The target refused the request because it has no capacity.
    Full,
    /// The target did not answer a probe. It is probed again until it does.
    Unreachable,
}

/// Recent failures of a target, which decide whether it is avoided.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    avoided_until: Duration,
    /// Until when it counts as full after it refused a request for lack of capacity.
    full_until: Duration,
    /// Consecutive failures.
    failure_count: u32,
    /// Whether it did not answer the last probe. It is avoided until it answers.
    is_unreachable: bool,
}

impl Health {
    /// Applies the outcome of a request or probe.
    pub(crate) fn record(&mut self, now: Duration, outcome: Outcome, settings: &FleetSettings) {
        match outcome {
            Outcome::Answered => *self = Self::default(),
            Outcome::Failed => {
                // Requests that were in flight together often fail together; such failures count
                // as one.
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

    /// Whether it did not answer the last probe.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Whether it refused a request for lack of capacity within `FleetSettings::full_cooldown`.
    pub(crate) fn is_full(&self, now: Duration) -> bool {
        now < self.full_until
    }

    /// Whether it is avoided because of failures or an unanswered probe.
    pub(crate) fn is_avoided(&self, now: Duration) -> bool {
        self.is_unreachable || now < self.avoided_until
    }
}
