//! Who may run how much: queues, shares, concurrency, retries and quarantine.

use super::*;

pub(crate) mod admission;
pub(crate) mod limit;
pub(crate) mod quarantine;
pub(crate) mod retry;
