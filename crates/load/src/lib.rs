//! Load program: sends prompts and calls to running instances at seeded times and reports waits
//! from HDR histograms.
//!
//! Two phases run under the same demand. In the first, callers use one fixed address, as a naive
//! client would; in the second they ask for addresses and keep each answer for its time to live.
//! The report gives the ratio of both, so that a noisy machine disturbs both sides alike.

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

/// Runs both phases and reports.
///
/// # Errors
///
/// Returns an error when the key cannot be read or no instance answers.
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
