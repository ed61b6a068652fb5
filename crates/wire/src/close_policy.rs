use super::*;

/// What a server does with a running request whose caller closes its sending direction. Until bytes are written, that
/// cannot be told from a caller that has left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ClosePolicy {
    /// The request ends at once.
    EndAtOnce,
    /// The request ends after a short time, unless the caller accepts bytes until then.
    EndAfterGrace,
    /// The request runs to its end, and its answer is sent to a caller that may still read it.
    KeepRunning,
}

/// Current policy of a request, which its handler may change.
#[derive(Clone, Debug)]
pub struct CloseHandling(Arc<AtomicU8>);

impl Default for CloseHandling {
    fn default() -> Self {
        Self::new(ClosePolicy::EndAtOnce)
    }
}

impl CloseHandling {
    pub(crate) fn new(policy: ClosePolicy) -> Self {
        Self(Arc::new(AtomicU8::new(policy as u8)))
    }

    /// Changes the policy. Takes effect for a caller that has closed its sending direction already, too.
    pub fn set(&self, policy: ClosePolicy) {
        self.0.store(policy as u8, Ordering::Relaxed);
    }

    /// Current policy.
    #[must_use]
    pub fn policy(&self) -> ClosePolicy {
        match self.0.load(Ordering::Relaxed) {
            policy if policy == ClosePolicy::EndAfterGrace as u8 => ClosePolicy::EndAfterGrace,
            policy if policy == ClosePolicy::KeepRunning as u8 => ClosePolicy::KeepRunning,
            _ => ClosePolicy::EndAtOnce,
        }
    }
}
