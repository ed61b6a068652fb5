//! The state of targets as seen by one instance, and the choice of targets for each request.
//!
//! A request for a service without a model goes to one target. A request for a model whose layers are
//! spread over engines follows a path of stages, which run adjacent ranges and together run each layer
//! once.

use {
    catalog::{DomainName, EngineProfile, HardwareKind, ServiceName},
    layout::LayerRange,
    rand::{Rng, seq::IteratorRandom},
    serde::{Deserialize, Serialize},
    slotmap::{SlotMap, new_key_type},
    std::{
        collections::{BTreeSet, HashMap, VecDeque},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    window::{BUCKET_COUNT, RetryWindow},
};

mod availability;
mod budget;
mod demand;
mod departures;
mod fleet;
mod health;
mod link_loads;
mod listed_end;
mod load;
mod load_table;
mod notices;
mod observations;
mod path;
mod path_finder;
mod rate_limit;
mod retry_share;
mod settings;
mod shared_load;
mod target;
mod target_list;
mod target_state;
mod transfer_times;

pub use {
    budget::RetryBudget,
    demand::Demand,
    departures::Departure,
    fleet::Fleet,
    health::Outcome,
    listed_end::ListedEnd,
    load::Load,
    load_table::LoadTable,
    path::{NoPath, Path, Stage},
    rate_limit::RateLimit,
    retry_share::RetryShare,
    settings::FleetSettings,
    shared_load::{MAX_LOAD_AGE, SharedLoad},
    target::{Incarnation, Target},
    target_list::TargetList,
};

use {
    availability::Availability,
    departures::Departures,
    health::Health,
    link_loads::LinkLoads,
    path_finder::{Candidate, PathFinder},
    rate_limit::Denial,
    shared_load::PeerLoads,
    target_state::TargetState,
    transfer_times::TransferTimes,
};

/// Id of a target. A restarted target may keep it and then has another `Incarnation`.
pub type TargetId = Arc<str>;

new_key_type! {
    /// Handle of a listed target in a `Fleet`.
    pub struct TargetKey;
}
