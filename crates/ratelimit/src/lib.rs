//! Shares the request rates that targets allow between instances.
//!
//! A target may limit the requests per second that it takes from all instances together. For each target, one
//! instance is the owner of its limit, and the others ask it for a permit before each request. So a limit of
//! any size is kept exactly, and each instance gets as much of it as its callers need. All instances derive
//! the owner from the list of instances, without messages. While the owner does not answer, or has taken the
//! role over only recently, each instance uses a small share of the limit by itself.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
        time::Duration,
    },
    types::Incarnation,
};

mod members;
mod message;
mod permit_schedule;
mod permit_table;

pub use {
    members::Members,
    message::{Permit, PermitQuery, PermitReply},
    permit_schedule::PermitSchedule,
    permit_table::PermitTable,
};

/// Id of an instance.
pub type InstanceId = Arc<str>;
/// Id of a target.
pub type TargetId = Arc<str>;
