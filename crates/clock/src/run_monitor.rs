use std::{sync::PoisonError, time::Duration};
use tracing_mutex::stdsync::{Mutex, MutexGuard};

/// Longest time between two ticks of a task that runs. After a longer one its process was suspended or had no
/// processor time.
const MAX_TICK_GAP: Duration = Duration::from_millis(200);
/// Ticks in time after a gap until everything that arrived during the gap counts as read.
const CATCH_UP_TICKS: u32 = 2;

/// Records when a task runs, so that what arrived while it did not run is not dated by when it is read.
#[derive(Debug)]
pub struct RunMonitor(Mutex<RunState>);

#[derive(Clone, Copy, Debug)]
struct RunState {
    /// Start of the last gap; none if everything that arrived in it counts as read.
    stopped_at: Option<Duration>,
    /// Ticks in time since the last gap.
    tick_count: u32,
    ticked_at: Duration,
}

impl RunMonitor {
    /// Interval at which `tick` must be called.
    pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

    /// Creates a monitor of a task that runs at `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self(Mutex::new(RunState {
            stopped_at: None,
            tick_count: 0,
            ticked_at: now,
        }))
    }

    /// Records that the task runs. Returns the time since the last tick if the task did not run meanwhile.
    pub fn tick(&self, now: Duration) -> Option<Duration> {
        let mut state = self.lock();
        let gap = now.saturating_sub(state.ticked_at);
        let ticked_at = std::mem::replace(&mut state.ticked_at, now);
        if gap > MAX_TICK_GAP {
            state.stopped_at.get_or_insert(ticked_at);
            state.tick_count = 0;
            return Some(gap);
        }
        state.tick_count = state.tick_count.saturating_add(1);
        if state.tick_count >= CATCH_UP_TICKS {
            state.stopped_at = None;
        }
        None
    }

    /// Time of the last tick. Everything that arrived before it has been signaled.
    #[must_use]
    pub fn ticked_at(&self) -> Duration {
        self.lock().ticked_at
    }

    /// Earliest time at which bytes that are read at `now` may have arrived. None had arrived by `empty_at`.
    #[must_use]
    pub fn earliest_arrival(&self, now: Duration, empty_at: Duration) -> Duration {
        let state = *self.lock();
        let has_gap = now.saturating_sub(state.ticked_at) > MAX_TICK_GAP;
        let stopped_at = state.stopped_at.or(has_gap.then_some(state.ticked_at));
        stopped_at.map_or(now, |at| at.max(empty_at).min(now))
    }

    fn lock(&self) -> MutexGuard<'_, RunState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
