//! Queues requests while targets are full, and refuses those that cannot be served in time.
//!
//! Requests that end free capacity within milliseconds, so refusing all requests while targets are full
//! would turn away callers that could be served in time. A request waits if capacity is expected before
//! its deadline, and is refused at once otherwise. Requests that can still meet their latency goal go
//! first, and accounts take turns, so that a burst of one account does not delay the others.

use {
    slotmap::{SlotMap, new_key_type},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

mod decaying_count;
mod queue;
mod queue_decision;
mod queued_request;
mod settings;

pub use {
    queue::Queue,
    queue_decision::QueueDecision,
    queued_request::{QueuedRequest, QueuedRequestKey},
    settings::AdmissionSettings,
};

use decaying_count::DecayingCount;
