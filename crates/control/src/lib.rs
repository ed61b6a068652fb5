//! Every decision of the router as deterministic code: events and the time go in, commands come
//! out. There are no sockets, no clock and no `async` here, so that tests, measurements and model
//! checkers drive exactly the code that ships.

use {
    chart::Chart,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
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
        Incarnation, InstanceId, Journal, LayerRange, Listing, ListingRole, Lists, LoadReport,
        LoadedModel, ModelId, Nonce, OperationId, OperationKind, Order, Plan, Priority, Refusal,
        RefusalKind, RegionId, RequestId, Route, Row, RowVersion, ServiceId, Stage, StoreFailure,
        StoreReply, StoreRequest, StoreTicket, StreamRecord, TargetDigest, TargetHealth, TargetId,
        TokenIndex, TokenRecord, WantedState, Write,
    },
};

mod address;
mod admission;
mod ask;
mod assembly;
mod belief;
mod cache;
mod call_entry;
mod call_reply;
mod call_row;
mod claim;
mod claims;
mod command;
mod config;
mod config_read;
mod config_settings;
mod context;
mod decision;
mod departure;
mod departure_settings;
mod detector;
mod dispatch;
mod drain;
mod edit;
mod event;
mod failure;
mod heartbeat;
mod history;
mod identity;
mod journal;
mod journal_entry;
mod journal_message;
mod life;
mod limit;
mod link;
mod member;
mod member_settings;
mod node;
mod observation;
mod order;
mod order_rows;
mod order_settings;
mod outcome;
mod owned_engine;
mod peer;
mod placement;
mod priority;
mod progress;
mod quarantine;
mod rate;
mod record;
mod record_settings;
mod rendezvous;
mod report;
mod request;
mod resource;
mod retry;
mod route;
mod score;
mod settings;
mod slots;
mod snapshot;
mod status;
mod store_gate;
mod submit;
mod survey;
mod sweep;
mod target;
mod token_row;

use {
    belief::{Belief, BeliefEvent, BeliefState},
    call_entry::{CALL_CHART, CallAction, CallEntry, CallEvent, CallState},
    call_row::{
        CallRow, CallRowState, EXPIRY_PREFIX, HOUR_MS, call_key, expiry_key, indexed_call, wall_ms,
    },
    config::{CHANGE_PREFIX, ConfigFlight, HEAD, SNAPSHOT, change_key, to_value},
    config_read::Reader,
    departure::Moving,
    detector::{Detector, Silence},
    edit::{Edit, EditEvent, EditState},
    heartbeat::SentDigest,
    journal_entry::{
        Eviction, FIXED_BYTES, JournalEntry, journal_bytes, reserved_bytes, token_bytes,
        token_count,
    },
    life::{Payload, plan},
    member::TargetEntry,
    order::OrderFlight,
    order_rows::{order_key, same_models},
    outcome::Outbox,
    owned_engine::{ORDER_CHART, OrderAction, OrderEvent, OrderState, OwnedEngine},
    placement::{Placement, Placements, Shard},
    record::Flight,
    report::plausible,
    request::{Entry, Job},
    snapshot::{SnapshotStep, Snapshots},
    store_gate::StoreGate,
    submit::refusal,
    survey::{Scene, Survey, shard_of},
    sweep::Sweep,
    token_row::{Move, TOKENS, TokenRow},
};

pub use {
    address::{AddressAnswer, EntryAddress, MAX_TIME_TO_LIVE, addresses},
    admission::{Admission, Waiting},
    assembly::{Assembly, AssemblyStep, Violation},
    cache::PrefixCaches,
    claims::Claims,
    command::Command,
    config::Configs,
    config_settings::ConfigSettings,
    context::Context,
    decision::{Candidate, Decision},
    departure_settings::DepartureSettings,
    drain::Drain,
    event::{CallQuery, Event, OwnerStatus},
    history::History,
    identity::Identity,
    journal::Journals,
    journal_entry::JournalSettings,
    journal_message::{AppendAnswer, Holder, JournalAppend, TakeAnswer, TakeRequest},
    life::{Requests, Scope},
    limit::Limits,
    link::{Links, default_ms},
    member::{Members, OwnState},
    member_settings::MemberSettings,
    node::Node,
    order::Orders,
    order_settings::{ModelShape, OrderSettings},
    peer::Peer,
    priority::generation_priority,
    quarantine::Quarantine,
    rate::Rates,
    record::{RecordEffect, Records},
    record_settings::RecordSettings,
    request::{RequestAction, RequestEvent, RequestState},
    resource::Resource,
    retry::RetryBudget,
    route::{Choice, Router},
    score::{Blocked, Score, View, Wish},
    settings::{
        AdmissionSettings, DrainSettings, NodeSettings, QuarantineSettings, RetrySettings,
        RouteSettings,
    },
    slots::Slots,
    status::{InstanceStatus, Status, TargetStatus},
    target::Target,
};
