//! Who waits for room at targets that are full, and who is refused.
//!
//! Room comes back within milliseconds while requests end, so a refusal at once sends callers away that
//! could have been served in time. A request waits if room is expected for it while its caller still
//! wants the answer, and is refused at once otherwise. Those whose goal can still be kept go first, and
//! accounts take turns, so that a large one in a burst does not hold up the others.

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
