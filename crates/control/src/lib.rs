//! Every decision of the router as deterministic code: events and the time go in, commands come
//! out. There are no sockets, no clock and no `async` here, so that tests, measurements and model
//! checkers drive exactly the code that ships.

use {
    chart::Chart,
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
        Change, ChangeRecord, ConfigVersion, CrashReport, Demand, Departure, EditAnswer,
        FailureDomain, FailureKind, GenerateSubmission, Heartbeat, Incarnation, InstanceId,
        Listing, ListingRole, Lists, LoadReport, LoadedModel, Nonce, OperationId, Order, Priority,
        Refusal, RegionId, RequestId, Route, StoreFailure, StoreReply, StoreRequest, StoreTicket,
        TargetDigest, TargetHealth, TargetId,
    },
};

mod belief;
mod command;
mod context;
mod decision;
mod detector;
mod event;
mod heartbeat;
mod identity;
mod member;
mod member_settings;
mod observation;
mod peer;
mod rendezvous;
mod target;

use {
    belief::{Belief, BeliefEvent, BeliefState},
    detector::{Detector, Silence},
    member::TargetEntry,
};

pub use {
    command::Command,
    context::Context,
    decision::{Candidate, Decision},
    event::{Event, OwnerStatus},
    identity::Identity,
    member::{Members, OwnState},
    member_settings::MemberSettings,
    peer::Peer,
    target::Target,
};
