//! Serves requests of callers by forwarding them to targets.
//!
//! The wire names of ids, deadlines and paths are not known here: a `Dialect` reads and writes
//! them. Path, query and body of a request, and status, headers and body of an answer, pass
//! unchanged.

use {
    admission::{AdmissionSettings, Queue, QueueDecision, QueuedRequest, QueuedRequestKey},
    bytes::{Bytes, BytesMut},
    catalog::{Account, EngineProfile, LatestCatalog, RepeatPolicy, Route, ServiceName},
    fleet::{
        Demand, Departure, Fleet, FleetSettings, Load, NoPath, Outcome, Path, RetryBudget,
        SharedLoad, Stage, Target, TargetId, TargetKey,
    },
    futures::{FutureExt, future::BoxFuture},
    http_body_util::Full,
    hyper::{
        HeaderMap, StatusCode,
        header::{
            self, CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, RETRY_AFTER,
            TRANSFER_ENCODING,
        },
    },
    layout::LayerRange,
    quarantine::{CrashDetector, InterruptedRun, Quarantine, QuarantineSettings, fingerprint},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    thiserror::Error,
    tokio::{sync::Notify, time::timeout},
    types::{CrashReport, Fingerprint},
    wire::{BodySender, Connection, ReplyStream, Request, Response},
};

mod answer_buffers;
mod attempt;
mod deliver;
mod dialect;
mod directory;
mod engines;
mod error;
mod events;
mod exchange;
mod gate;
mod headers;
mod in_flight;
mod instance;
mod intake;
mod message;
mod pool;
mod probes;
mod refusal;
mod room;
mod router;
mod settings;
mod stream;
mod stream_pace;
mod suspects;
mod watchdog;

pub use {
    dialect::{Dialect, Dispatch, ReplyFacts, RequestFacts},
    directory::{Directory, Readiness},
    engines::{EngineState, Engines, OrderReply},
    error::Error,
    events::EventSplitter,
    instance::Instance,
    pool::Pool,
    probes::watch_engines,
    refusal::Refusal,
    router::Router,
    settings::ForwardSettings,
    suspects::Suspects,
};

use {
    answer_buffers::AnswerBuffers,
    attempt::{Attempt, AttemptFailure},
    exchange::Exchange,
    gate::Admitted,
    in_flight::InFlight,
    probes::Probes,
    room::Room,
    stream_pace::StreamPace,
    watchdog::{Verdict, Watchdog},
};
