//! Measurements of the decision code in virtual time, against a naive version in the same run.
//!
//! Small fakes stand at the interfaces: engines with slots and step times, services, the table and
//! the instance list. The same seed gives the same figures, except for processor time.

use {
    anyhow::{Result, bail},
    control::{CallQuery, Command, Event, Identity, Node, NodeSettings, OwnerStatus},
    hdrhistogram::Histogram,
    rand::{Rng, SeedableRng, seq::IndexedRandom, seq::IteratorRandom},
    rand_chacha::ChaCha8Rng,
    serde::Serialize,
    std::{
        cmp::{Ordering, Reverse},
        collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
        net::SocketAddr,
        process::ExitCode,
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
    types::{
        Account, AccountId, Attempt, AttemptFailure, CallOutcome, CallReply, CallSubmission,
        Change, ChangeRecord, Condition, ConfigVersion, FailureDomain, FailureKind,
        GenerateSubmission, Heartbeat, InstanceId, LayerRange, Listing, ListingRole, LoadReport,
        LoadedModel, ModelId, OperationKind, OperatorLists, Plan, Priority, Refusal, RefusalKind,
        RequestId, Route, Row, RowVersion, ServiceOperation, Stage, StoreFailure, StoreReply,
        StoreRequest, StoreTicket, TargetId, Write, hash_key,
    },
};

mod active_request;
mod arguments;
mod arrival;
mod caller;
mod capacity;
mod control_cost;
mod delivery;
mod engine;
mod generation;
mod measure;
mod memory;
mod naive;
mod overload;
mod policy;
mod recovery;
mod results;
mod run;
mod scenario;
mod service;
mod short_work;
mod swing;
mod table;
mod world;

use {
    active_request::{ActiveRequest, Place},
    arguments::Arguments,
    arrival::{Arrival, Demand, Work, draw},
    capacity::Slope,
    delivery::STORE_LINK,
    engine::{Engine, FULL_BATCH_SLOWDOWN, Waiting},
    generation::{CACHED_PREFILL_FRACTION, PREFILL_PER_TOKEN},
    measure::{Limit, Measure},
    memory::memory_slopes,
    naive::Naive,
    policy::{Policy, PolicyKind},
    results::{BUCKET, End, Results, quantile_ms},
    run::{Run, WARM_UP, served_share, waits},
    scenario::{LAYER_COUNT, Scenario},
    service::Service,
    table::Table,
    world::{DEADLINE, Fault, LINK, Occurrence, PATIENCE, REPORT_LAG, World},
};

type Measurement = fn(&Scenario, u64) -> Result<Vec<Measure>>;

/// Measurements by name.
const MEASUREMENTS: [(&str, Measurement); 5] = [
    ("control_cost", control_cost::measure),
    ("overload", overload::measure),
    ("recovery", recovery::measure),
    ("short_work", short_work::measure),
    ("swing", swing::measure),
];

fn main() -> Result<ExitCode> {
    let Some(arguments) = Arguments::parse()? else {
        return Ok(ExitCode::SUCCESS);
    };
    let mut holds = true;
    if arguments.name == "capacity" {
        return print_slopes(&arguments);
    }
    if !arguments.json {
        println!("{}", Measure::heading());
    }
    for scenario in arguments.scenarios() {
        for (name, measurement) in MEASUREMENTS {
            if arguments.name != "all" && arguments.name != name {
                continue;
            }
            for measure in measurement(&scenario, arguments.seed)? {
                holds &= measure.holds();
                match arguments.json {
                    false => println!("{}", measure.line()),
                    true => println!("{}", serde_json::to_string(&measure)?),
                }
            }
        }
    }
    Ok(if holds {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn print_slopes(arguments: &Arguments) -> Result<ExitCode> {
    for slope in capacity::slopes(arguments.seed)? {
        match arguments.json {
            false => println!("{}", slope.line()),
            true => println!("{}", serde_json::to_string(&slope)?),
        }
    }
    Ok(ExitCode::SUCCESS)
}
