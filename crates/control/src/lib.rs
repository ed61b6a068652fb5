//! Every decision of the router as deterministic code: events and the time go in, commands come
//! out. There are no sockets, no clock and no `async` here, so that tests, measurements and model
//! checkers drive exactly the code that ships.

use {
    chart::Chart,
    rand::Rng,
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{Arc, LazyLock},
        time::{Duration, SystemTime},
    },
    types::{
        AccountId, Attempt, AttemptFailure, CacheEvent, CallOutcome, CallReply, CallSubmission,
        Change, ChangeRecord, Condition, ConfigVersion, CrashReport, Demand, Departure, EditAnswer,
        FailureDomain, FailureKind, GenerateSubmission, Heartbeat, Incarnation, InstanceId,
        LayerRange, Listing, ListingRole, Lists, LoadReport, LoadedModel, ModelId, Nonce,
        OperationId, Order, Priority, Refusal, RefusalKind, RegionId, RequestId, Route, Row,
        RowVersion, StoreFailure, StoreReply, StoreRequest, StoreTicket, TargetDigest,
        TargetHealth, TargetId, WantedState, Write,
    },
};

mod address;
mod belief;
mod call_entry;
mod call_reply;
mod call_row;
mod claim;
mod command;
mod config;
mod config_read;
mod config_settings;
mod context;
mod decision;
mod detector;
mod edit;
mod event;
mod heartbeat;
mod identity;
mod member;
mod member_settings;
mod observation;
mod order;
mod order_settings;
mod outcome;
mod owned_engine;
mod peer;
mod placement;
mod record;
mod record_settings;
mod rendezvous;
mod snapshot;
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
    detector::{Detector, Silence},
    edit::{Edit, EditEvent, EditState},
    member::TargetEntry,
    outcome::Outbox,
    owned_engine::{ORDER_CHART, OrderAction, OrderEvent, OrderState, OwnedEngine},
    placement::Placements,
    record::Flight,
    snapshot::{SnapshotStep, Snapshots},
    sweep::Sweep,
    token_row::{TOKENS, TokenRow},
};

pub use {
    address::{AddressAnswer, EntryAddress, MAX_TIME_TO_LIVE, addresses},
    command::Command,
    config::Configs,
    config_settings::ConfigSettings,
    context::Context,
    decision::{Candidate, Decision},
    event::{Event, OwnerStatus},
    identity::Identity,
    member::{Members, OwnState},
    member_settings::MemberSettings,
    order::Orders,
    order_settings::OrderSettings,
    peer::Peer,
    record::{RecordEffect, Records},
    record_settings::RecordSettings,
    target::Target,
};
