use super::*;

/// Longest time for which an instance without a configuration waits for the leader's row.
const ROW_WAIT: Duration = Duration::from_millis(300);
/// Longest time for which an instance without a configuration waits for that of another instance, after the
/// store was restored from a copy. Operators and targets write again within this time.
const RESTORED_WAIT: Duration = Duration::from_secs(2);

/// Longest time between two checks that counts as waiting. After a longer one this instance did not run, and
/// could not receive what it waits for.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What an instance knows about the age of the store, which may have been restored from an older copy.
#[derive(Clone, Debug, Default)]
pub struct StoreTrust {
    /// Whether the leader has found its configuration in the store since the last restoration; none before its
    /// row was first read.
    leader_row: Option<bool>,
    /// When this instance last checked whether it may use the configuration in the store, or first read the
    /// leader's row.
    checked_at: Option<Duration>,
    settled_era: u64,
    /// Time for which this instance has waited for the leader's row or, once that is known, for the
    /// configuration of another instance.
    waited: Duration,
}

impl StoreTrust {
    /// Records that the leader's row was read. `is_settled` says whether the leader has found its configuration
    /// in the store since the last restoration.
    pub fn record_leader_row(&mut self, now: Duration, is_settled: bool) {
        let before = self.leader_row;
        if before.is_none() {
            (self.checked_at, self.waited) = (Some(now), Duration::ZERO);
        }
        if before != Some(is_settled) {
            tracing::info!(
                is_settled,
                "age of the store is known from the leader's row"
            );
        }
        self.leader_row = Some(is_settled);
    }

    /// Whether an instance without a configuration may use the one in the store. Other instances may know a newer
    /// one, in which keys were withdrawn. Must be called at short intervals.
    pub fn is_usable(&mut self, now: Duration) -> bool {
        let interval = now.saturating_sub(self.checked_at.replace(now).unwrap_or(now));
        if interval <= MAX_CHECK_INTERVAL {
            self.waited += interval;
        }
        match self.leader_row {
            None => self.waited >= ROW_WAIT,
            Some(true) => true,
            Some(false) => self.waited >= RESTORED_WAIT,
        }
    }

    /// Records that the configuration of this instance, or a newer one, was found in the store in this era.
    pub fn record_settled_era(&mut self, era: u64) {
        self.settled_era = self.settled_era.max(era);
    }

    /// Last era of the store in which the configuration of this instance, or a newer one, was found there.
    #[must_use]
    pub fn settled_era(&self) -> u64 {
        self.settled_era
    }
}
