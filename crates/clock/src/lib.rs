//! Monotonic time that includes system suspension. Leases must be measured with it: the usual monotonic
//! clock stops during a suspension, so that a lease measured with it would last longer than allowed.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

mod run_monitor;

pub use run_monitor::RunMonitor;

/// Returns the time since boot, including time in suspension.
#[must_use]
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or_default(),
        u32::try_from(time.tv_nsec).unwrap_or_default(),
    )
}
