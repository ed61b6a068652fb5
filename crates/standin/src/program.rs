use super::*;

/// Exit status after an injected crash: the one that a shell shows for a process ended by SIGABRT.
const CRASH_STATUS: u8 = 134;

/// Runtime threads of one process; kept low because many processes run on one machine.
const WORKER_THREAD_COUNT: usize = 2;

/// JSON line that a binary prints on standard output once it listens.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listening {
    /// Address that the server listens on, with the port that was bound.
    pub address: SocketAddr,
}

/// Settings of a binary of this crate.
pub trait BinarySettings: Check + Default + DeserializeOwned + Serialize {
    /// Log level and format of the binary.
    fn log(&self) -> &LogSettings;
}

/// Runs a fake server as a process: reads its settings, prints its address, and shuts down
/// gracefully on SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns `Error::Settings` for settings and arguments that cannot be used, `Error::Listen` when
/// the address cannot be bound, and `Error::Process` when the system refuses threads, signal
/// handlers or output.
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
        // Signals are handled before the address is printed or registered, because anyone who
        // sees the process then may send it a signal.
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

/// Signals that start a graceful shutdown.
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
