//! Keeps an instance in step with what is shared: configuration, targets, other instances, and the
//! layout of layers, which one instance at a time brings about.
//!
//! The instance that leads reads the shared stores, and the others ask it. An instance that has no
//! leader to ask reads the stores itself. Stores and other instances are reached through traits. The
//! decisions, `Leadership`, `Membership` and `LayoutKeeper`, do no I/O.

use {
    catalog::{Catalog, CatalogParts, EngineProfile},
    fleet::{Roster, SharedLoad, Target},
    forward::{Engines, Error, Instance, OrderReply, Router},
    futures::future::BoxFuture,
    layout::{Engine, LayerRange, LayoutSettings, ModelShape, Placement},
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
    types::CrashReport,
};

mod catalog_loop;
mod instance_loop;
mod layout_keeper;
mod leadership;
mod link;
mod membership;
mod order_loop;
mod relay_loop;
mod shared_state;
mod sources;
mod target_loop;

pub use {
    catalog_loop::follow_catalog,
    instance_loop::follow_instances,
    layout_keeper::{LayoutKeeper, Order},
    leadership::{LeaderRow, Leadership, LeadershipSettings, LeaseStep},
    link::Link,
    membership::{InstanceRow, Membership},
    order_loop::keep_layout,
    relay_loop::{RelayHandler, follow_leader},
    shared_state::{Answer, Query, Relay, SharedState},
    sources::{
        CatalogRead, CatalogSource, InstanceTable, InstanceView, TargetChange, TargetSource,
    },
    target_loop::follow_targets,
};

use {leadership::lock, shared_state::RELAYED_PAUSE};
