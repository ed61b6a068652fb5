use super::*;

/// Exit status after a crash that a fault caused; that of a process ended by SIGABRT in a shell.
const CRASH_STATUS: u8 = 134;

/// Threads of one stand-in; many run on one machine.
const WORKER_THREAD_COUNT: usize = 2;

/// Line on standard output when a binary listens.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listening {
    /// Address on which it listens.
    pub address: SocketAddr,
}

/// Settings of a binary.
pub trait BinarySettings: Check + Default + DeserializeOwned + Serialize {
    /// What is logged.
    fn log(&self) -> &LogSettings;
}

/// Runs a stand-in as a process: reads its settings, prints its address, leaves on SIGTERM or
/// SIGINT.
///
/// # Errors
///
/// Returns `Error::Settings` for settings and arguments that cannot be used, `Error::Listen` when
/// the address is taken, and `Error::Process` when the system refuses threads or signals.
pub fn run_binary<T, F>(program: &Program, start: impl FnOnce(T) -> F) -> Result<ExitCode, Error>
where
    F: Future<Output = Result<FakeServer, Error>>,
    T: BinarySettings,
{
    let Some(settings) = program.settings_from_process::<T>()? else {
        return Ok(ExitCode::SUCCESS);
    };
    settings::start_log(settings.log())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .worker_threads(WORKER_THREAD_COUNT)
        .build()?;
    let exit_kind = runtime.block_on(async {
        // Whoever knows of the process, by its line or by the list, may ask it to stop.
        let signals = StopSignals::install()?;
        let server = start(settings).await?;
        print_address(server.address())?;
        wait_for_exit(server, signals).await
    })?;
    runtime.shutdown_background();
    match exit_kind {
        ExitKind::Crashed => Ok(ExitCode::from(CRASH_STATUS)),
        ExitKind::Stopped => Ok(ExitCode::SUCCESS),
    }
}

fn print_address(address: SocketAddr) -> Result<(), Error> {
    let line = serde_json::to_string(&Listening { address }).map_err(std::io::Error::from)?;
    let mut output = std::io::stdout().lock();
    writeln!(output, "{line}")?;
    output.flush()?;
    Ok(())
}

/// Signals that ask a process to stop.
struct StopSignals {
    interrupt: Signal,
    terminate: Signal,
}

impl StopSignals {
    fn install() -> std::io::Result<Self> {
        Ok(Self {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }
}

async fn wait_for_exit(server: FakeServer, mut signals: StopSignals) -> Result<ExitKind, Error> {
    let lifecycle = server.lifecycle();
    let signals = async {
        tokio::select! {
            _ = signals.interrupt.recv() => {}
            _ = signals.terminate.recv() => {}
        }
        lifecycle.leave();
        std::future::pending::<()>().await;
    };
    tokio::select! {
        exit_kind = server.wait() => Ok(exit_kind),
        () = signals => Ok(ExitKind::Stopped),
    }
}
