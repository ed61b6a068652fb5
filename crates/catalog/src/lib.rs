//! Versioned configuration of routes, services and accounts, with lookups by request.
//!
//! A catalog is immutable, and operators replace it as a whole. `LatestCatalog` keeps the newest
//! one and records when it was last confirmed to be current.

use {
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

mod account;
mod catalog;
mod engine_profile;
mod latest_catalog;
mod route;
mod service;

pub use {
    account::Account,
    catalog::{Catalog, CatalogParts, Limits},
    engine_profile::{EngineProfile, HardwareKind},
    latest_catalog::LatestCatalog,
    route::{Backend, RepeatPolicy, Route},
    service::Service,
};

/// Name of a client account, as passed on to targets.
pub type AccountName = Arc<str>;
/// Name of a failure domain, shared by instances and targets that can fail together.
pub type DomainName = Arc<str>;
/// Name that the operator gives a route.
pub type RouteName = Arc<str>;
/// Name by which the backends of a route refer to a service.
pub type ServiceName = Arc<str>;
