use super::*;

/// Signal to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Go on after `Freeze`.
    Continue,
    /// Stop running until `Continue`, as a paused machine would.
    Freeze,
    /// End at once.
    Kill,
    /// Shut down gracefully.
    Terminate,
}

impl Signal {
    fn number(self) -> libc::c_int {
        match self {
            Self::Continue => libc::SIGCONT,
            Self::Freeze => libc::SIGSTOP,
            Self::Kill => libc::SIGKILL,
            Self::Terminate => libc::SIGTERM,
        }
    }
}

/// Sends a signal to a process that was not waited for yet, so that its id is not reused.
///
/// # Errors
///
/// Returns an error for an id below 2, which would mean a group of processes or the first process
/// of the machine, and when the system refuses.
#[allow(unsafe_code)]
pub(crate) fn send(process: u32, signal: Signal) -> Result<()> {
    let id = libc::pid_t::try_from(process).context("the process id is too large")?;
    if id < 2 {
        bail!("{id} is not the id of a process that was started here");
    }
    // SAFETY: `kill` takes two integers and touches no memory of this process.
    let result = unsafe { libc::kill(id, signal.number()) };
    if result == 0 {
        return Ok(());
    }
    Err(std::io::Error::last_os_error()).context(format!("{signal:?} to process {id}"))
}
