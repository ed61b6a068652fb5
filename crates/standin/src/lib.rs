//! Stand-ins for the platform, engines and services, for tests and the demo. Each can be started
//! inside another process, and each takes faults over HTTP at `/faults`.

use {
    bytes::Bytes,
    futures::future::BoxFuture,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    settings::{Check, Faults, LogSettings, Program},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, VecDeque},
        io::Write as _,
        net::SocketAddr,
        process::ExitCode,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    thiserror::Error,
    tokio::{
        net::TcpListener,
        signal::unix::{Signal, SignalKind, signal},
        sync::{Semaphore, oneshot, watch},
        task::JoinHandle,
        time::{Instant, sleep},
    },
    types::{
        AcceleratorKind, Attempt, AttemptFailure, CacheEvent, CancelRequest, Condition,
        FailureDomain, FailureKind, Fence, FinishReason, GenerateRequest, Incarnation, KvCache,
        KvRequest, LayerRange, Listing, ListingRole, LoadReport, LoadedModel, ModelId,
        OperationKind, Order, PREFIX_BLOCK_TOKENS, Priority, PriorityRequest, RegionId, RequestId,
        Route, Row, RowVersion, ServiceId, ServiceOperation, StoreReply, StoreRequest,
        StreamRecord, TokenIndex, TokenRecord, Write,
    },
    wire::{
        BodySender, Call, Connection, Fault, Handler, Limits, Request, Response,
        hyper::{Method, StatusCode, header::HeaderValue},
    },
};

mod answer;
mod check;
mod engine;
mod engine_control;
mod engine_log;
mod engine_settings;
mod engine_state;
mod error;
mod fake_server;
mod generation;
mod lifecycle;
mod load_history;
mod platform;
mod platform_settings;
mod prefix_cache;
mod process_list;
mod program;
mod rate_counter;
mod registration;
mod reply;
mod rows;
mod service;
mod service_settings;
mod slots;
mod stage_connections;

use {
    answer::token_of_hash,
    engine::EngineState,
    fake_server::Parts,
    generation::{Control, Generation},
    lifecycle::Lifecycle,
    load_history::{Gauge, Level},
    prefix_cache::PrefixCache,
    process_list::Roster,
    rate_counter::Rate,
    registration::Registration,
    reply::{bad_request, lock, not_found, pause, refuse},
    rows::Rows,
    slots::{Slot, Slots},
    stage_connections::{ForwardReply, ForwardRequest, Links, Prefill},
};

pub use {
    answer::{answer_length, answer_text, answer_token},
    engine::Engine,
    engine_log::{EngineLog, RunEntry, StartEntry},
    engine_settings::{EngineFaults, EngineSettings},
    error::Error,
    fake_server::Standin,
    lifecycle::Ending,
    platform::Platform,
    platform_settings::{Outage, PlatformFaults, PlatformSettings},
    program::{BinarySettings, Listening, run_binary},
    registration::Place,
    service::{Execution, Service},
    service_settings::{OperationSettings, ServiceFaults, ServiceSettings},
};

/// Time between looks at a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
