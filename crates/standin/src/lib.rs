//! Fake platform, engines and services for tests and the demo. Each runs as a binary of its own or
//! inside another process. `PUT /faults` injects faults into a running one.

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
        sync::{Arc, PoisonError},
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
    tracing_mutex::stdsync::{Mutex, MutexGuard},
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
    answer::token_text,
    engine::EngineState,
    fake_server::ServerParts,
    generation::{AttemptControl, Generation},
    lifecycle::Lifecycle,
    load_history::{LoadHistory, LoadLevel},
    prefix_cache::PrefixCache,
    process_list::ProcessList,
    rate_counter::RateCounter,
    registration::Registration,
    reply::{bad_request, lock, not_found, service_unavailable, sleep_unless_zero},
    rows::Rows,
    slots::{Slot, Slots},
    stage_connections::{ForwardReply, ForwardRequest, Prefill, StageConnections, StepReply},
};

pub use {
    answer::{answer_length, answer_text, answer_token},
    engine::Engine,
    engine_log::{EngineLog, RunEntry, StartEntry},
    engine_settings::{EngineFaults, EngineSettings},
    error::Error,
    fake_server::FakeServer,
    lifecycle::ExitKind,
    platform::Platform,
    platform_settings::{Outage, PlatformFaults, PlatformSettings},
    program::{BinarySettings, Listening, run_binary},
    registration::RegistrationSettings,
    service::{Execution, Service},
    service_settings::{OperationSettings, ServiceFaults, ServiceSettings},
};

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
