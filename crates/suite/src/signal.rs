use super::*;

/// Signal that a test sends to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// SIGCONT: run again after `Freeze`.
    Continue,
    /// SIGSTOP: suspend all threads until `Continue`, as on a paused machine.
    Freeze,
    /// SIGKILL: end at once.
    Kill,
    /// SIGTERM: shut down gracefully.
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

/// Sends a signal to a child process. The caller must not have waited for the child yet, because
/// the system may reuse the id of a child that was waited for.
///
/// # Errors
///
/// Returns an error when the system call fails, and for an id below 2, which would address a process
/// group or the init process.
#[allow(unsafe_code)]
pub(crate) fn send(process: u32, signal: Signal) -> Result<()> {
    let id = libc::pid_t::try_from(process).context("the process id is too large")?;
    if id < 2 {
        bail!("process id {id} is not that of a child process");
    }
    // SAFETY: `kill` takes two integers and touches no memory of this process.
    let result = unsafe { libc::kill(id, signal.number()) };
    if result == 0 {
        return Ok(());
    }
    Err(std::io::Error::last_os_error()).context(format!("cannot send {signal:?} to process {id}"))
}
