use super::*;

/// Longest time for which an instance without a configuration waits for the leader's row.
const ROW_WAIT: Duration = Duration::from_millis(300);
/// Longest time for which an instance without a configuration waits for that of another instance, after the
/// store was restored from a copy. Operators and targets write again within this time.
const RESTORED_WAIT: Duration = Duration::from_secs(2);

/// What an instance knows about the age of the store, which may have been restored from an older copy.
#[derive(Clone, Debug, Default)]
pub struct StoreTrust {
    /// When the leader's row was first read, and whether the leader has found its configuration in the store
    /// since the last restoration; none before the first read.
    leader_row: Option<(Duration, bool)>,
    /// When this instance first checked whether it may use the configuration in the store.
    checked_at: Option<Duration>,
    settled_era: u64,
}

impl StoreTrust {
    /// Records that the leader's row was read. `is_settled` says whether the leader has found its configuration
    /// in the store since the last restoration.
    pub fn record_leader_row(&mut self, now: Duration, is_settled: bool) {
        let before = self.leader_row;
        if before.is_none_or(|(_, before)| before != is_settled) {
            tracing::info!(
                is_settled,
                "age of the store is known from the leader's row"
            );
        }
        let read_at = before.map_or(now, |(at, _)| at);
        self.leader_row = Some((read_at, is_settled));
    }

    /// Whether an instance without a configuration may use the one in the store. Other instances may know a newer
    /// one, in which keys were withdrawn.
    pub fn is_usable(&mut self, now: Duration) -> bool {
        let checked_at = *self.checked_at.get_or_insert(now);
        match self.leader_row {
            None => now >= checked_at + ROW_WAIT,
            Some((_, true)) => true,
            Some((read_at, false)) => now >= read_at + RESTORED_WAIT,
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
