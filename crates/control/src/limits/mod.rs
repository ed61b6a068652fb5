//! Who may run how much: queues, shares, concurrency and retries.

use super::*;

pub(crate) mod admission;
pub(crate) mod concurrency_limits;
pub(crate) mod retry_budget;
