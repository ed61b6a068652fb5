//! Load generator: sends prompts to running instances at arrival times drawn from a seed, and
//! reports latency quantiles from HDR histograms.
//!
//! Two phases run with the same arrivals. In the first, requests use the fixed addresses of the
//! settings, as a simple client would; in the second, they use the addresses that an instance
//! answers to an address query, cached for their time to live. The report shows the ratio of the
//! two phases, because noise of the machine affects both alike.

use {
    anyhow::{Context, Result, bail},
    hdrhistogram::Histogram,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    settings::{Check, Faults},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Mutex, Semaphore},
        task::JoinSet,
        time::{Instant, sleep, sleep_until},
    },
    types::ResumePoint,
    wire::{Call, Connection, ServerEventReader},
};

mod addresses;
mod arrival;
mod load_settings;
mod phase;
mod report;
mod streamed_request;

use {
    addresses::AddressSource,
    arrival::{Arrival, RequestKind, generate_arrivals},
    phase::Phase,
    report::PhaseReport,
    streamed_request::{RequestOutcome, StreamedRequest},
};

pub use {load_settings::LoadSettings, report::Report};

/// Runs both phases one after the other and returns their results.
///
/// # Errors
///
/// Returns an error if the key cannot be read, a histogram cannot be created or the task of a
/// request panics. Requests that fail are counted in the report.
pub async fn run(settings: &LoadSettings) -> Result<Report> {
    let key = settings.key()?;
    let mut reports = Vec::new();
    for uses_discovery in [false, true] {
        let phase = Phase::new(settings, &key, uses_discovery);
        reports.push(phase.run().await?);
    }
    let [fixed, asked] = <[PhaseReport; 2]>::try_from(reports)
        .map_err(|_| anyhow::anyhow!("both phases must report"))?;
    Ok(Report { asked, fixed })
}
