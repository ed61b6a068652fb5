//! The router and fake back ends in one process on loopback.

use {
    anyhow::{Context, Result, bail},
    ctl::{Client, Edit, new_operation_id},
    entry::{RunningInstance, Shutdown},
    serde::{Deserialize, Serialize},
    serde_json::json,
    settings::{Check, Faults, LogSettings, Program},
    standin::{
        Engine, EngineSettings, FakeServer, OperationSettings, Platform, RegistrationSettings,
        Service, ServiceSettings,
    },
    std::{net::SocketAddr, process::ExitCode, time::Duration},
    tokio::{
        signal::unix::{Signal, SignalKind, signal},
        sync::watch,
        time::{Instant, sleep},
    },
    types::{LayerRange, LoadedModel, OperationKind, hash_key},
    wire::Call,
};

mod account;
mod backends;
mod demo_settings;
mod entries;
mod guide;

use {
    account::{CALLER_KEY, OPERATOR_KEY, create_account},
    backends::Backends,
    demo_settings::DemoSettings,
    entries::start_entries,
    guide::guide,
};

/// Name of the model that the engines hold.
const MODEL: &str = "assistant";

/// Name of the service that the fake services offer.
const SERVICE: &str = "booking";

/// Failure domains. Each has engines that together hold the whole model, a service and an entry
/// instance.
const DOMAINS: [&str; 2] = ["zone-a", "zone-b"];

const PROGRAM: Program = Program {
    description: "Two entry instances and fake back ends in one process on loopback.",
    name: "demo",
    version: env!("CARGO_PKG_VERSION"),
};

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Err(error) => {
            eprintln!("demo: {error:#}");
            ExitCode::FAILURE
        }
        Ok(()) => ExitCode::SUCCESS,
    }
}

async fn run() -> Result<()> {
    let Some(settings) = PROGRAM.settings_from_process::<DemoSettings>()? else {
        return Ok(());
    };
    settings::start_log(&settings.log)?;
    // Signals are handled from here on, so that one during the start also stops everything in
    // order instead of killing the process.
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let backends = Backends::start(&settings).await?;
    let (shutdown, receiver) = watch::channel(Shutdown::None);
    let entries = start_entries(&settings, backends.platform(), receiver).await?;
    let addresses: Vec<SocketAddr> = entries.iter().map(|entry| entry.address).collect();
    tokio::select! {
        result = create_account(&addresses) => result?,
        () = wait_for_stop_signal(&mut interrupt, &mut terminate) => bail!("stopped during the start"),
    }
    println!(
        "{}",
        json!({"entry-1": addresses[0], "entry-2": addresses[1]})
    );
    println!("{}", guide(&addresses));
    wait_for_stop_signal(&mut interrupt, &mut terminate).await;
    eprintln!(
        "Shutting down: waiting for streams and until the addresses that callers hold expire. \
         Press Ctrl-C again to stop at once."
    );
    shutdown.send_replace(Shutdown::Graceful);
    let ended = futures::future::join_all(entries.into_iter().map(RunningInstance::stopped));
    tokio::select! {
        _ = ended => {}
        () = wait_for_stop_signal(&mut interrupt, &mut terminate) => return Ok(()),
    }
    drop(backends);
    Ok(())
}

async fn wait_for_stop_signal(interrupt: &mut Signal, terminate: &mut Signal) {
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}
