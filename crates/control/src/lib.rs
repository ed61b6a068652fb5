//! Every decision of the router as deterministic code: events and the time go in, commands come
//! out. There are no sockets, no clock and no `async` here, so that tests, measurements and model
//! checkers drive exactly the code that ships.

use {
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, SystemTime},
    },
    types::{
        AccountId, Attempt, AttemptFailure, CacheEvent, CallOutcome, CallReply, CallSubmission,
        Change, ChangeRecord, ConfigVersion, EditAnswer, FailureDomain, FailureKind,
        GenerateSubmission, Heartbeat, Incarnation, InstanceId, Listing, ListingRole, Lists,
        LoadReport, ModelId, Nonce, OperationId, Order, Priority, Refusal, RegionId, RequestId,
        Route, StoreFailure, StoreReply, StoreRequest, StoreTicket, TargetHealth, TargetId,
    },
};

mod address;
mod command;
mod context;
mod decision;
mod event;
mod identity;
mod node;
mod settings;
mod status;
mod target;

pub use {
    address::AddressAnswer,
    command::Command,
    context::Context,
    decision::{Candidate, Decision},
    event::{Event, OwnerStatus},
    identity::Identity,
    node::Node,
    settings::{
        AdmissionSettings, DrainSettings, NodeSettings, QuarantineSettings, RetrySettings,
        RouteSettings,
    },
    status::{InstanceStatus, Status, TargetStatus},
    target::Target,
};
