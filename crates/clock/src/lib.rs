//! Time that goes on while the machine is suspended. Leases must be counted on it: the usual
//! monotonic clock stands still during a suspension, and a lease counted on that clock would
//! outlive its limit.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

/// Time since the machine started, including time in suspension.
#[must_use]
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or_default(),
        u32::try_from(time.tv_nsec).unwrap_or_default(),
    )
}
