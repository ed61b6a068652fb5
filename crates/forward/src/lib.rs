//! Forwards requests of callers to targets and their answers back.
//!
//! The crate does not know the header names for ids, deadlines and paths: a `HeaderCodec` reads and
//! writes them. Path, query and body of a request, and status, end-to-end headers and body of an answer,
//! are forwarded unchanged.

use {
    admission::{AdmissionSettings, Queue, QueueDecision, QueuedRequest, QueuedRequestKey},
    bytes::{Bytes, BytesMut},
    catalog::{Account, Catalog, EngineProfile, LatestCatalog, RepeatPolicy, Route, ServiceName},
    fleet::{
        Demand, Departure, Fleet, FleetSettings, ListedEnd, Load, NoPath, Outcome, Path,
        RetryBudget, RetryShare, SharedLoad, Stage, Target, TargetId, TargetKey,
    },
    futures::{FutureExt, future::BoxFuture},
    http_body_util::Full,
    hyper::{
        HeaderMap, StatusCode,
        body::Body as _,
        header::{
            self, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderName, HeaderValue,
            RETRY_AFTER, TRANSFER_ENCODING,
        },
    },
    layout::LayerRange,
    quarantine::{
        CrashDetector, CrashId, CrashPhase, Hold, Interruption, PartQuarantine, PartSettings,
        PhasedVictimReport, PromptRun, Quarantine, QuarantineSettings, TargetRun, TargetSign,
        VictimReport, fingerprint,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    ratelimit::{Permit, PermitQuery, PermitReply, PermitTable},
    reach::{DirectReach, Helpers},
    serde::{Deserialize, Serialize},
    slotmap::SlotMap,
    std::{
        cmp::Reverse,
        collections::{BTreeSet, HashMap, HashSet},
        net::SocketAddr,
        ops::Range,
        sync::{
            Arc, OnceLock, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        sync::{Notify, watch},
        time::timeout,
    },
    tracing_mutex::stdsync::{Mutex, MutexGuard},
    types::{CrashReport, Fingerprint, Incarnation, RequestId},
    wire::{
        BodySender, BoxedStream, ClosePolicy, Connection, Connector, DiscardedReplies, ReplyStream,
        Request, Response, TcpConnector,
    },
};

mod admitted;
mod answer_buffers;
mod answer_end;
mod attempt;
mod buffered_response;
mod crash_checks;
mod directory;
mod engines;
mod error;
mod event_line;
mod events;
mod exchange;
mod header_codec;
mod headers;
mod in_flight;
mod instance;
mod links;
mod message;
mod permits;
mod pool;
mod prober;
mod prompt_parts;
mod refusal;
mod router;
mod run_timeout;
mod settings;
mod stream;
mod stream_timing;
mod suspects;
mod target_notices;
mod tunnels;
mod wait_queue;
mod watchdog;

pub use {
    directory::{Directory, Readiness},
    engines::{EngineState, Engines, OrderReply},
    error::Error,
    events::EventSplitter,
    header_codec::{Dispatch, HeaderCodec, ReplyMetadata, RequestMetadata},
    instance::Instance,
    links::check_links,
    permits::{PermitPeers, Permits},
    pool::Pool,
    prober::probe_engines,
    prompt_parts::{CrashChanges, PromptParts},
    refusal::Refusal,
    router::Router,
    settings::ForwardSettings,
    suspects::Suspects,
    tunnels::{TunnelError, TunnelQuery, Tunnels},
};

use {
    admitted::Admitted,
    answer_buffers::{AnswerBuffers, BudgetExceeded},
    attempt::{Attempt, AttemptFailure, ReadError},
    crash_checks::CrashChecks,
    event_line::{EventLine, has_status_line},
    exchange::Exchange,
    in_flight::InFlight,
    links::{Link, LinkError, Links},
    prober::Prober,
    router::lock,
    run_timeout::timeout_while_running,
    stream_timing::StreamTiming,
    wait_queue::WaitQueue,
    watchdog::{Inspection, Watchdog},
};
