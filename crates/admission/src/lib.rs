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

mod queue;
mod rate;
mod settings;
mod ticket;
mod turn;

pub use {
    queue::Queue,
    settings::AdmissionSettings,
    ticket::{Ticket, TicketKey},
    turn::Turn,
};

use rate::Rate;
