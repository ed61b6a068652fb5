//! Admission: queues and shares per account, concurrency limits, and the retry budget.

use super::*;

pub(crate) mod admission;
pub(crate) mod concurrency_limits;
pub(crate) mod retry_budget;
