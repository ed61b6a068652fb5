//! Entry instance of the router.

use {
    anyhow::Context,
    entry::{Settings, Shutdown},
    settings::Program,
    std::{io::Write, net::SocketAddr, process::ExitCode},
    tokio::{
        signal::unix::{Signal, SignalKind, signal},
        sync::watch,
    },
};

const PROGRAM: Program = Program {
    description: "Entry instance of the sycamoregauge router.",
    name: "entry",
    version: env!("CARGO_PKG_VERSION"),
};

fn main() -> ExitCode {
    match serve() {
        // The messages name the remedy; a backtrace would only hide them.
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
        Ok(()) => ExitCode::SUCCESS,
    }
}

fn serve() -> anyhow::Result<()> {
    let Some(settings) = PROGRAM.settings_from_process::<Settings>()? else {
        return Ok(());
    };
    settings::start_log(&settings.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .worker_threads(settings.traffic_thread_count)
        .build()
        .context("the traffic threads cannot be started; check the limits of the process")?;
    runtime.block_on(run(settings))?;
    // Tasks that still wait for the outside have nobody to report to.
    runtime.shutdown_background();
    Ok(())
}

async fn run(settings: Settings) -> anyhow::Result<()> {
    let (sender, shutdown) = watch::channel(Shutdown::None);
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(forward_signals(terminate, interrupt, sender));
    entry::run(settings, shutdown, print_addresses).await?;
    Ok(())
}

/// The first signal asks for a graceful stop, the second for an immediate one.
async fn forward_signals(
    mut terminate: Signal,
    mut interrupt: Signal,
    sender: watch::Sender<Shutdown>,
) {
    for request in [Shutdown::Graceful, Shutdown::Immediate] {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        sender.send_replace(request);
    }
    sender.closed().await;
}

fn print_addresses(address: SocketAddr, peer_address: SocketAddr) {
    let mut output = std::io::stdout().lock();
    // Without a reader of the line the instance works all the same.
    let _ = writeln!(
        output,
        "{{\"address\":\"{address}\",\"peer_address\":\"{peer_address}\"}}"
    );
    let _ = output.flush();
}
