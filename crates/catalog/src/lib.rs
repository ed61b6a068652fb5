//! Whole configurations in versions: routes, services and accounts, looked up by request.
//!
//! A catalog is immutable. An operator replaces it as a whole; `Holder` keeps the newest one and
//! says how long ago it was known to be the newest.

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

/// Name of a client account.
pub type AccountName = Arc<str>;
/// Failure domain.
pub type DomainName = Arc<str>;
/// Name of a route.
pub type RouteName = Arc<str>;
/// Name of a service.
pub type ServiceName = Arc<str>;
