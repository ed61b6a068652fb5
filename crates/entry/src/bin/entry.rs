//! Entry instance of the sycamoregauge router.

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
        // The error messages say what to do, so no backtrace is printed.
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
        .context("cannot start the traffic threads; check the resource limits of the process")?;
    runtime.block_on(run(settings))?;
    // Tasks that still wait for other processes are abandoned, because nothing uses their results.
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

/// Requests a graceful shutdown on the first signal and an immediate one on the second.
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

/// Prints the addresses as a line of JSON, for the process that started this one.
fn print_addresses(address: SocketAddr, peer_address: SocketAddr) {
    let mut output = std::io::stdout().lock();
    // Errors are ignored: the instance works without a reader of this line.
    let _ = writeln!(
        output,
        "{{\"address\":\"{address}\",\"peer_address\":\"{peer_address}\"}}"
    );
    let _ = output.flush();
}
