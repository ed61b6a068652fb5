//! What an instance knows of targets, and the choice of targets for each request.
//!
//! Plain services are served by one target. A model whose layers are spread over engines is served
//! by a path: stages that hold adjacent ranges and together each layer once.

use {
    catalog::{DomainName, EngineProfile, HardwareKind, ServiceName},
    layout::LayerRange,
    rand::Rng,
    serde::{Deserialize, Serialize},
    slotmap::{SlotMap, new_key_type},
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    window::{RepeatWindow, SPAN_COUNT},
};

mod budget;
mod demand;
mod departures;
mod entry;
mod finder;
mod fleet;
mod health;
mod intake;
mod load;
mod load_table;
mod notices;
mod observations;
mod path;
mod pipes;
mod roster;
mod settings;
mod shared_load;
mod target;
mod transfers;

pub use {
    budget::RetryBudget,
    demand::Demand,
    departures::Departure,
    fleet::Fleet,
    health::Outcome,
    load::Load,
    load_table::LoadTable,
    path::{NoPath, Path, Stage},
    roster::Roster,
    settings::FleetSettings,
    shared_load::{LOAD_AGE, SharedLoad},
    target::{Incarnation, Target},
};

use {
    departures::Departures,
    entry::Entry,
    finder::{Candidate, Finder},
    health::Health,
    intake::Intake,
    pipes::Pipes,
    shared_load::OtherLoads,
    transfers::Transfers,
};

/// Id of one start of a target.
pub type TargetId = Arc<str>;

new_key_type! {
    /// Handle of a target.
    pub struct TargetKey;
}
