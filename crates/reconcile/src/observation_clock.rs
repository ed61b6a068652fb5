use super::*;

/// Longest time between two ticks of an instance that runs. After a longer one it was suspended or had no
/// processor time.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);
/// Time for which this instance counts as connected after a message of another instance.
const CONTACT_VALIDITY: Duration = Duration::from_secs(2);
/// Time after standing still within which other instances query this one or answer it again.
const WAKE_TIME: Duration = Duration::from_secs(1);
/// Time after standing still within which this instance may read messages that were sent before.
const QUEUED_MESSAGE_TIME: Duration = Duration::from_millis(300);

/// Measures the time in which this instance can observe the store and the other instances.
///
/// While an instance is suspended, or cut off from everything, nothing answers it, although all others may
/// go on as usual. Time that is compared with the silence of others must not include such periods.
#[derive(Clone, Debug, Default)]
pub struct ObservationClock {
    /// Time of the last message of another instance; none before the first one.
    contact_at: Option<Duration>,
    /// Sum of the time observed so far.
    observed: Duration,
    /// Last tick before the last period in which this instance did not run.
    stopped_at: Duration,
    /// Time of the last tick; none before the first one.
    ticked_at: Option<Duration>,
    /// End of the last period in which this instance did not run; none if it always ran.
    woke_at: Option<Duration>,
}

impl ObservationClock {
    /// Records that another instance sent a query or an answer.
    pub fn record_contact(&mut self, now: Duration) {
        self.contact_at = Some(now);
    }

    /// Adds the time since the last tick, unless this instance did not run or, although it knows others
    /// (`knows_others`), none of them was in contact. Returns the time observed so far.
    pub fn tick(&mut self, now: Duration, knows_others: bool) -> Duration {
        let gap = now.saturating_sub(self.ticked_at.unwrap_or(now));
        self.ticked_at = Some(now);
        let is_recent = |at| now.saturating_sub(at) < CONTACT_VALIDITY;
        if gap > MAX_TICK_GAP {
            tracing::warn!(
                gap_ms = gap.as_millis() as u64,
                "this instance did not run for some time"
            );
            // Messages from before say nothing about the time after.
            self.contact_at = None;
            self.stopped_at = now.saturating_sub(gap);
            self.woke_at = Some(now);
        } else if !knows_others || self.contact_at.is_some_and(is_recent) {
            self.observed += gap;
        }
        self.observed
    }

    /// Whether this instance did not run until a moment ago, so that others had no time to reach it since. As
    /// of the last tick.
    #[must_use]
    pub fn has_just_woken(&self, now: Duration) -> bool {
        self.woke_at
            .is_some_and(|at| now.saturating_sub(at) < WAKE_TIME)
    }

    /// Earliest time at which a message that is read at `now` may have been sent. Messages that arrived while this
    /// instance did not run are read after it. As of the last tick.
    #[must_use]
    pub fn earliest_sending(&self, now: Duration) -> Duration {
        let is_recent = |at: Duration| now.saturating_sub(at) < QUEUED_MESSAGE_TIME;
        match self.woke_at.is_some_and(is_recent) {
            true => self.stopped_at,
            false => now,
        }
    }
}
