use super::*;

/// Interval at which a server records that it runs.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two ticks of a server that runs. After a longer one it was suspended or had no processor
/// time.
const MAX_TICK_GAP: Duration = Duration::from_millis(200);
/// Ticks in time after a gap until all bytes that arrived during the gap count as read.
const CATCH_UP_TICKS: u32 = 2;

/// Records when a server runs, so that bytes which arrived while it did not are not dated by when they are read.
#[derive(Debug)]
pub(crate) struct RunMonitor(Mutex<RunState>);

#[derive(Clone, Copy, Debug)]
struct RunState {
    /// Start of the last gap; none if all bytes that arrived in it count as read.
    stopped_at: Option<Duration>,
    /// Ticks in time since the last gap.
    tick_count: u32,
    ticked_at: Duration,
}

impl RunMonitor {
    pub(crate) fn new(now: Duration) -> Self {
        Self(Mutex::new(RunState {
            stopped_at: None,
            tick_count: 0,
            ticked_at: now,
        }))
    }

    /// Records ticks until the task is aborted.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            self.tick(clock::now());
        }
    }

    /// Records that the server runs.
    pub(crate) fn tick(&self, now: Duration) {
        let mut state = self.lock();
        let gap = now.saturating_sub(state.ticked_at);
        if gap > MAX_TICK_GAP {
            let ticked_at = state.ticked_at;
            state.stopped_at.get_or_insert(ticked_at);
            state.tick_count = 0;
            tracing::debug!(
                gap_ms = gap.as_millis() as u64,
                "the server did not run for some time"
            );
        } else {
            state.tick_count = state.tick_count.saturating_add(1);
            if state.tick_count >= CATCH_UP_TICKS {
                state.stopped_at = None;
            }
        }
        state.ticked_at = now;
    }

    /// Time of the last tick. All events before it have been seen.
    pub(crate) fn ticked_at(&self) -> Duration {
        self.lock().ticked_at
    }

    /// Earliest time at which bytes that are read at `now` may have arrived. Nothing had arrived by `empty_at`.
    pub(crate) fn earliest_arrival(&self, now: Duration, empty_at: Duration) -> Duration {
        let state = *self.lock();
        let has_gap = now.saturating_sub(state.ticked_at) > MAX_TICK_GAP;
        let stopped_at = state.stopped_at.or(has_gap.then_some(state.ticked_at));
        stopped_at.map_or(now, |at| at.max(empty_at).min(now))
    }

    fn lock(&self) -> MutexGuard<'_, RunState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
