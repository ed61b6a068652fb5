//! Stand-ins for the platform, engines and services, for tests and the demo. Each can be started
//! inside another process, and each takes faults over HTTP at `/faults`.

use {
    bytes::Bytes,
    futures::future::BoxFuture,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    thiserror::Error,
    tokio::{
        net::TcpListener,
        sync::watch,
        task::JoinHandle,
        time::{Instant, sleep},
    },
    types::{
        Condition, FailureDomain, Incarnation, Listing, ListingRole, LoadReport, OperationKind,
        RegionId, Row, RowVersion, ServiceId, ServiceOperation, StoreReply, StoreRequest, Write,
    },
    wire::{
        Call, Fault, Handler, Limits, Request, Response,
        hyper::{Method, StatusCode, header::HeaderValue},
    },
};

mod error;
mod gauge;
mod lifecycle;
mod place;
mod platform;
mod platform_settings;
mod rate;
mod reply;
mod roster;
mod rows;
mod service;
mod service_settings;
mod standin;

use {
    gauge::Gauge,
    lifecycle::Lifecycle,
    place::Registration,
    rate::Rate,
    reply::{bad_request, lock, not_found, refuse},
    roster::Roster,
    rows::Rows,
    standin::Parts,
};

pub use {
    error::Error,
    lifecycle::Ending,
    place::Place,
    platform::Platform,
    platform_settings::{Outage, PlatformFaults, PlatformSettings},
    service::{Execution, Service},
    service_settings::{OperationSettings, ServiceFaults, ServiceSettings},
    standin::Standin,
};

/// Time between looks at a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
