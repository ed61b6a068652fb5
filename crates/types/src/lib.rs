//! Types shared by every crate of the router: ids, the two operator lists, submissions, routes,
//! load reports, store requests and the messages between instances.
//!
//! Everything here is plain data; the decisions are made in the `control` crate.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        str::FromStr,
        sync::Arc,
        time::Duration,
    },
    thiserror::Error,
};

mod change;
mod engine;
mod error;
mod generate;
mod heartbeat;
mod id;
mod journal;
mod key;
mod listing;
mod load;
mod operator_lists;
mod order;
mod outcome;
mod prefix;
mod route;
mod store;
mod submission;
mod token;

pub use {
    change::{Change, ChangeRecord, EditAnswer},
    engine::{CancelRequest, KvCache, KvRequest, PriorityRequest},
    error::Error,
    generate::GenerateRequest,
    heartbeat::{CrashReport, Demand, Departure, Heartbeat, TargetDigest, TargetHealth},
    id::{
        AcceleratorKind, AccountId, Attempt, ConfigVersion, FailureDomain, Fence, Fingerprint,
        Incarnation, InstanceId, ModelId, Nonce, OperationId, PlanId, RegionId, RequestId,
        RowVersion, ServiceId, StoreTicket, TargetId, TokenIndex,
    },
    journal::{Journal, ResumePoint},
    key::{KeyHash, hash_key},
    listing::{Listing, ListingRole, ServiceOperation},
    load::{CacheEvent, LoadReport, LoadedModel},
    operator_lists::{Account, OperatorLists, Plan},
    order::{EngineRole, Order, WantedState},
    outcome::{CallOutcome, CallReply, Refusal, RefusalKind},
    prefix::{PREFIX_BLOCK_TOKENS, estimate_tokens, prefix_hashes},
    route::{LayerRange, Route, Stage},
    store::{Condition, Row, StoreFailure, StoreReply, StoreRequest, Write},
    submission::{CallSubmission, GenerateSubmission, OperationKind, Priority},
    token::{AttemptFailure, FailureKind, FinishReason, StreamRecord, TokenRecord},
};
