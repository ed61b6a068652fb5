//! Who may run how much: queues, shares, concurrency and retries.

use super::*;

pub(crate) mod admission;
pub(crate) mod limit;
pub(crate) mod retry;
