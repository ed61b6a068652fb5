//! Decisions of an instance as a deterministic state machine: events and the time go in, commands
//! come out. The crate has no sockets, no clock and no `async`, so that tests, benchmarks and model
//! checkers run exactly the code that is deployed.

use {
    chart::Chart,
    quarantine::{Quarantine, QuarantineSettings},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    slotmap::{SlotMap, new_key_type},
    std::{
        cmp::{Ordering, Reverse},
        collections::{BTreeMap, BTreeSet, VecDeque},
        hash::{DefaultHasher, Hash, Hasher},
        net::SocketAddr,
        sync::{Arc, LazyLock},
        time::{Duration, SystemTime},
    },
    types::{
        AccountId, Attempt, AttemptFailure, CacheEvent, CallOutcome, CallReply, CallSubmission,
        Change, ChangeRecord, Condition, ConfigVersion, CrashReport, Demand, Departure, EditAnswer,
        FailureDomain, FailureKind, Fingerprint, FinishReason, GenerateSubmission, Heartbeat,
        Incarnation, InstanceId, Journal, LayerRange, Listing, ListingRole, LoadReport,
        LoadedModel, ModelId, Nonce, OperationId, OperationKind, OperatorLists, Order, Plan,
        Priority, Refusal, RefusalKind, RegionId, RequestId, Route, Row, RowVersion, ServiceId,
        Stage, StoreFailure, StoreReply, StoreRequest, StoreTicket, StreamRecord, TargetDigest,
        TargetHealth, TargetId, TokenIndex, TokenRecord, WantedState, Write,
    },
    window::{BUCKET_COUNT, RetryWindow},
};

mod command;
mod configs;
mod context;
mod decision;
mod event;
mod identity;
mod limits;
mod members;
mod node;
mod orders;
mod records;
mod rendezvous;
mod requests;
mod routes;
mod settings;
mod status;
mod store_breaker;
mod streams;

use {
    configs::{
        config_reader::Reader,
        config_replica::{
            CHANGE_PREFIX, ConfigStoreCall, HEAD_KEY, SNAPSHOT_KEY, change_key, to_json,
        },
        edit::{Edit, EditEvent, EditState},
        snapshot::{SnapshotStep, Snapshots},
    },
    members::{
        failure_detector::{FailureDetector, Silence},
        health_tracker::{HealthEvent, HealthState, HealthTracker},
        heartbeat::SentDigest,
        load_report::sanitize_report,
        member::TargetEntry,
    },
    orders::{
        order::OrderStoreCall,
        order_rows::{order_key, same_models},
        owned_engine::{ORDER_CHART, OrderAction, OrderEvent, OrderState, OwnedEngine},
        placement::{Placement, Placements, Shard},
        token_row::{Move, TOKEN_ROW_KEY, TokenRow},
        usage_summary::{PlacementInput, UsageSummary, shard_of},
    },
    records::{
        call_entry::{CALL_CHART, CallAction, CallEntry, CallEvent, CallState},
        call_row::{
            CallRow, CallRowState, EXPIRY_PREFIX, HOUR_MS, call_key, expiry_key, indexed_call,
            wall_ms,
        },
        outbox::Outbox,
        record::StoreCall,
        sweep::Sweep,
    },
    requests::{
        departure::PendingReplacement,
        lifecycle::{Payload, account_plan},
        request::{ActiveRequest, Submission},
        request_table::{RequestKey, RequestTable},
        submit::refusal,
    },
    routes::router::StageCandidate,
    store_breaker::StoreBreaker,
    streams::journal_entry::{
        Eviction, FIXED_BYTES, JournalEntry, journal_bytes, reserved_bytes, token_bytes,
        token_count,
    },
};

pub use {
    command::Command,
    configs::{config_replica::ConfigReplica, config_settings::ConfigSettings},
    context::Context,
    decision::{Candidate, Decision},
    event::{CallQuery, Event, OwnerStatus},
    identity::Identity,
    limits::{
        admission::{Admission, QueuedRequest},
        concurrency_limits::ConcurrencyLimits,
        retry_budget::RetryBudget,
    },
    members::{
        entry_addresses::{AddressAnswer, EntryAddress, MAX_TIME_TO_LIVE, entry_addresses},
        member::{Members, OwnState},
        member_settings::MemberSettings,
        peer::Peer,
        target::Target,
    },
    node::Node,
    orders::{
        order::Orders,
        order_settings::{ModelShape, OrderSettings},
    },
    records::{
        claims::Claims,
        record::{RecordEffect, Records},
        record_settings::RecordSettings,
    },
    requests::{
        departure_settings::DepartureSettings,
        drain::Drain,
        lifecycle::{RequestEnv, Requests},
        priority::generation_priority,
        request::{RequestAction, RequestEvent, RequestState},
        resource::Resource,
    },
    routes::{
        layer_rates::LayerRates,
        link_costs::{LinkCosts, default_link_ms},
        load_estimator::LoadEstimator,
        prefix_caches::PrefixCaches,
        router::{RouteChoice, Router},
        score::{NoRoute, RouteQuery, RoutingView, Score},
        size_history::SizeHistory,
    },
    settings::{AdmissionSettings, DrainSettings, NodeSettings, RetrySettings, RouteSettings},
    status::{InstanceStatus, Status, TargetStatus},
    streams::{
        assembly::{Assembly, AssemblyStep, Violation},
        journal::Journals,
        journal_entry::JournalSettings,
        journal_message::{AppendAnswer, Holder, JournalAppend, TakeAnswer, TakeRequest},
    },
};
