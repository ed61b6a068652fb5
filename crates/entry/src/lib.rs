//! The entry instance: the HTTP interface for callers and operators, the control thread and the
//! traffic threads.
//!
//! `control::Node` makes all decisions, on the control thread. The code on the traffic threads
//! performs I/O, executes the commands of the node and reports events to it.

use {
    blake3::Hash,
    bytes::Bytes,
    control::{
        AddressAnswer, AppendAnswer, Assembly, AssemblyStep, CallQuery, Candidate, Command,
        Decision, Event, Holder, Identity, JournalAppend, JournalSettings, Journals, Node,
        NodeSettings, OwnerStatus, Status, TakeAnswer, TakeRequest,
    },
    futures::{FutureExt, StreamExt, future::BoxFuture},
    hyper::{
        Method, StatusCode,
        header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    peer::{Changes, PeerHandler, PeerSettings, Peers, Pool},
    quarantine::fingerprint,
    rand::seq::IndexedRandom,
    serde::{Deserialize, Serialize},
    settings::{Check, Faults, LogSettings},
    std::{
        collections::{BTreeSet, HashMap, HashSet},
        fmt::{self, Debug, Formatter},
        net::SocketAddr,
        sync::{
            Arc, OnceLock, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant, SystemTime},
    },
    storage::{Listings, PlatformClient, PlatformSettings, Table},
    target::{EngineClient, Engines, RecordStream, ServiceClient, Services, TargetSettings},
    thiserror::Error,
    tokio::{
        net::TcpListener,
        sync::{mpsc, oneshot, watch},
        task::{JoinHandle, JoinSet},
        time::{MissedTickBehavior, timeout},
    },
    tracing_mutex::stdsync::{Mutex, MutexGuard},
    types::{
        Account, AccountId, Attempt, AttemptFailure, CallOutcome, CallReply, CallSubmission,
        CancelRequest, Change, ChangeRecord, ConfigVersion, EditAnswer, FailureDomain, FailureKind,
        FinishReason, GenerateRequest, GenerateSubmission, Heartbeat, Incarnation, InstanceId,
        Journal, KeyHash, KvRequest, Listing, ListingRole, LoadReport, ModelId, Nonce, OperationId,
        OperationKind, OperatorLists, Plan, Priority, PriorityRequest, Refusal, RefusalKind,
        RegionId, RequestId, ResumePoint, Route, ServiceId, StreamRecord, TargetHealth, TargetId,
        TokenIndex, estimate_tokens, prefix_hashes,
    },
    wire::{BodySender, Fault, Limits, Request, Response, ServerEvent},
    xtra::{Address, Handler, Mailbox},
};

mod addresses;
mod admin;
mod app;
mod attempt;
mod cache_move;
mod calls;
mod completions;
mod control_thread;
mod delivery;
mod directory;
mod drain;
mod error;
mod executor;
mod handler;
mod instance;
mod journal_writer;
mod listing_cache;
mod output;
mod peer_service;
mod probes;
mod refusal;
mod registry;
mod resume;
mod settings_file;
mod stream;
mod stream_end;

pub use {
    app::{App, Dependencies},
    control_thread::{AddressQuery, Control},
    error::Error,
    handler::handler,
    instance::{RunningInstance, Shutdown, run, start},
    peer_service::peer_handler,
    settings_file::{Settings, StreamSettings},
};

use {
    addresses::{draining_fault, to_millis},
    app::{SWEEP_INTERVAL, random_id},
    attempt::RunningAttempt,
    cache_move::CacheMove,
    control_thread::ControlAddress,
    directory::{Directory, authenticate_operator},
    drain::{drain, keep_registered},
    handler::{unknown_path, wrong_method},
    journal_writer::{JournalWriter, journal_memory_fault},
    listing_cache::ListingCache,
    output::{Output, StreamFailure},
    refusal::{refusal_fault, refusal_response},
    registry::{CallCommand, Registry, StreamCommand, StreamInbox, lock},
    resume::taken_over_fault,
    settings_file::{is_key_hash, is_name},
    stream::{Stream, StreamStart},
    stream_end::StreamEnd,
};
