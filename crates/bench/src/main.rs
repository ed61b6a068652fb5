//! Simulates the router's decision code in virtual time and compares it with a naive router on the
//! same arrivals.
//!
//! Fakes replace everything around the decision code: engines with slots and step times, services,
//! the platform's table and its list of running processes. Equal seeds give equal figures, except
//! for processor time and memory.

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
mod commands;
mod control_cost;
mod engine;
mod fake_table;
mod generation;
mod measure;
mod memory;
mod naive_policy;
mod overload;
mod policy;
mod recovery;
mod results;
mod scenario;
mod service;
mod short_work;
mod simulation;
mod simulation_run;
mod swing;

use {
    active_request::{ActiveRequest, RequestPhase},
    arguments::Arguments,
    arrival::{Arrival, DemandRate, RequestKind, generate_arrivals},
    capacity::Slope,
    commands::STORE_LATENCY,
    engine::{Engine, FULL_BATCH_SLOWDOWN, WaitingRequest},
    fake_table::FakeTable,
    generation::{CACHED_PREFILL_FRACTION, PREFILL_TIME_PER_TOKEN},
    measure::{Limit, Measure},
    memory::memory_slopes,
    naive_policy::NaivePolicy,
    policy::{Policy, PolicyKind},
    results::{RequestEnd, Results, TOKEN_BUCKET, quantile_ms},
    scenario::{LAYER_COUNT, Scenario},
    service::Service,
    simulation::{
        CALLER_TIMEOUT, DEADLINE, Fault, LINK_LATENCY, REPORT_DELAY, Simulation, SimulationEvent,
    },
    simulation_run::{SimulationRun, WARM_UP, first_token_waits, served_share},
};

/// Runs a scenario with a seed and returns what was measured.
type Measurement = fn(&Scenario, u64) -> Result<Vec<Measure>>;

/// Measurements by the name that selects them on the command line.
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
    let mut all_hold = true;
    if arguments.measurement == "capacity" {
        return print_slopes(&arguments);
    }
    if !arguments.is_json {
        println!("{}", Measure::format_heading());
    }
    for scenario in arguments.scenarios() {
        for (name, measurement) in MEASUREMENTS {
            if arguments.measurement != "all" && arguments.measurement != name {
                continue;
            }
            for measure in measurement(&scenario, arguments.seed)? {
                all_hold &= measure.holds();
                match arguments.is_json {
                    false => println!("{}", measure.format_line()),
                    true => println!("{}", serde_json::to_string(&measure)?),
                }
            }
        }
    }
    Ok(if all_hold {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Prints the slopes for capacity planning; they have no limits to keep.
fn print_slopes(arguments: &Arguments) -> Result<ExitCode> {
    for slope in capacity::slopes(arguments.seed)? {
        match arguments.is_json {
            false => println!("{}", slope.format_line()),
            true => println!("{}", serde_json::to_string(&slope)?),
        }
    }
    Ok(ExitCode::SUCCESS)
}
