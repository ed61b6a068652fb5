//! Keeps the shared state of an instance up to date: configuration, targets, other instances, and
//! the layout of layers, which only the leader changes.
//!
//! The leader reads the shared stores, and the other instances query it. An instance that has no
//! leader to query reads the stores itself. Stores and other instances are accessed through traits.
//! The types that make decisions, `Leadership`, `Membership` and `LayoutReconciler`, do no I/O.

use {
    catalog::{Catalog, CatalogParts, EngineProfile},
    fleet::{Departure, LoadTable, MAX_LOAD_AGE, SharedLoad, Target, TargetList},
    forward::{CrashChanges, Engines, Error, Instance, OrderReply, PromptParts, Router},
    futures::future::{BoxFuture, join_all},
    layout::{Engine, EngineId, LayerRange, LayoutSettings, ModelShape, Placement},
    quarantine::{CrashId, PhasedVictimReport, VictimReport},
    ratelimit::{PermitQuery, PermitReply},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
        hash::{DefaultHasher, Hash, Hasher},
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::{Arc, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
    tracing_mutex::stdsync::{Mutex, MutexGuard},
    types::{CrashReport, Fingerprint},
};

mod catalog_loop;
mod crash_loop;
mod crash_records;
mod dependency_status;
mod follow_loop;
mod instance_loop;
mod layout_loop;
mod layout_reconciler;
mod leadership;
mod leadership_loop;
mod membership;
mod observation_clock;
mod relay_handler;
mod relay_message;
mod relay_tree;
mod relayed_targets;
mod reported_loads;
mod shared_settings;
mod shared_state;
mod sign_age;
mod silence_loop;
mod sources;
mod store_trust;
mod supervisor;
mod target_history;
mod target_loop;
mod victim_loop;

pub use {
    catalog_loop::follow_catalog,
    crash_loop::keep_crash_records,
    crash_records::CrashRecords,
    dependency_status::DependencyStatus,
    follow_loop::follow_leader,
    instance_loop::follow_instances,
    layout_loop::reconcile_layout,
    layout_reconciler::{FirstStageLoad, LayoutReconciler, Order},
    leadership::{LeaderRow, Leadership, LeadershipSettings, LeaseStep},
    leadership_loop::run_leadership,
    membership::{InstanceRow, MemberReport, Membership, ReceivedInstances},
    observation_clock::ObservationClock,
    relay_handler::RelayHandler,
    relay_message::{Answer, InstanceDeparture, InstanceSigns, Query, Relay, RelayReply},
    relay_tree::{RelayTree, TreeRole, TreeVersion},
    relayed_targets::RelayedTargets,
    shared_settings::SharedSettings,
    shared_state::SharedState,
    sign_age::SignAge,
    silence_loop::ask_silent_instances,
    sources::{
        CatalogRead, CatalogSource, CrashTable, LeaderTable, LeaderView, StoredCrashes,
        TargetChange, TargetSource,
    },
    store_trust::StoreTrust,
    supervisor::supervise,
    target_history::TargetHistory,
    target_loop::{follow_targets, observe_time},
    victim_loop::{
        PhasedVictimAnswer, PhasedVictimQuery, VictimAnswer, VictimQuery, share_crash_victims,
    },
};

use {
    leadership::lock, relay_message::digest, reported_loads::ReportedLoads,
    shared_state::RELAYED_POLL_INTERVAL, target_loop::MAX_LOGGED_COUNT,
};
