use super::*;

/// Time over which unused permits accumulate. A target tolerates one and a half times its limit and five
/// requests over four seconds, of which this uses an eighth of the limit.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Permits that accumulate at low rates. With one, much of a low limit would stay unused when requests arrive
/// at irregular times.
const MIN_BURST: u32 = 2;
/// Lowest rate of a schedule, which keeps the interval between permits finite.
const MIN_RATE_PER_S: f64 = 1e-4;

/// Spaces the permits of one limit evenly in time.
///
/// A permit may be reserved for a later time, so that requests that wait go in the order of their arrival
/// and each of them knows at once when it goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitSchedule {
    /// Time at which the next permit is due at the steady rate. Permits are given out earlier by as much as
    /// the burst allows.
    due_at: Duration,
    /// Invariant: at least `MIN_RATE_PER_S`.
    rate_per_s: f64,
}

impl PermitSchedule {
    /// Creates a schedule whose first permit is available at `start`.
    #[must_use]
    pub fn new(start: Duration, rate_per_s: f64) -> Self {
        let mut schedule = Self {
            due_at: Duration::ZERO,
            rate_per_s: rate_per_s.max(MIN_RATE_PER_S),
        };
        schedule.due_at = start + schedule.burst_lead();
        schedule
    }

    /// Creates a schedule for a share of a limit, whose first permit is due after one interval.
    #[must_use]
    pub fn empty(now: Duration, rate_per_s: f64) -> Self {
        let mut schedule = Self::new(now, rate_per_s);
        schedule.due_at += schedule.interval();
        schedule
    }

    /// Changes the rate. Requests that wait for a reserved permit keep their times, and later ones wait as if all
    /// permits had been reserved at the new rate.
    pub fn set_rate(&mut self, now: Duration, rate_per_s: f64) {
        let rate_per_s = rate_per_s.max(MIN_RATE_PER_S);
        if rate_per_s == self.rate_per_s {
            return;
        }
        // As many permits are reserved as before.
        let available_at = self.available_at();
        let reserved = available_at.saturating_sub(now);
        let scaled = reserved.mul_f64(self.rate_per_s / rate_per_s);
        self.rate_per_s = rate_per_s;
        self.due_at = available_at.min(now) + scaled + self.burst_lead();
    }

    /// Takes a permit that is available within `max_wait`.
    pub fn take(&mut self, now: Duration, max_wait: Duration) -> Permit {
        let wait = self.available_at().saturating_sub(now);
        if wait > max_wait {
            return Permit::Denied(wait);
        }
        self.due_at = self.due_at.max(now) + self.interval();
        Permit::Granted(wait)
    }

    /// Time from which the next permit is given out.
    fn available_at(&self) -> Duration {
        self.due_at.saturating_sub(self.burst_lead())
    }

    fn interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate_per_s)
    }

    /// Time by which permits are given out before they are due.
    fn burst_lead(&self) -> Duration {
        let burst_time = BURST_TIME.max(self.interval() * MIN_BURST);
        burst_time - self.interval()
    }
}
