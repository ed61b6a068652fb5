use super::*;

/// Identifies a crash: the target and its incarnation, as `target#incarnation`.
pub type CrashId = Arc<str>;

/// A request whose target crashed while it ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct CrashVictim {
    pub(crate) account: Fingerprint,
    /// Time of the crash. Invariant: never increases, so that reports between instances cannot extend it.
    pub(crate) at: Duration,
    /// Whether a later answer has shown that the request as a whole does not crash targets. Invariant: stays
    /// set.
    pub(crate) is_request_cleared: bool,
    /// Shared parts of its prompt, and whether a later answer has shown that they do not crash targets.
    /// Invariant: a part that was cleared stays cleared.
    pub(crate) parts: BTreeMap<Fingerprint, bool>,
    /// Point of the answer at which the target crashed.
    pub(crate) phase: CrashPhase,
    /// Time from which other instances are told. Local to this instance.
    pub(crate) reported_from: Duration,
}

impl CrashVictim {
    /// Whether `part` may have caused the crash.
    pub(crate) fn is_suspect(&self, part: Fingerprint) -> bool {
        self.parts.get(&part) == Some(&false)
    }

    /// Parts that may have caused the crash.
    pub(crate) fn suspects(&self) -> BTreeSet<Fingerprint> {
        let suspects = self.parts.iter().filter(|(_, is_cleared)| !**is_cleared);
        suspects.map(|(part, _)| *part).collect()
    }

    /// Whether other instances may know of it, at `now`.
    pub(crate) fn is_reported(&self, now: Duration) -> bool {
        self.reported_from <= now
    }

    /// Whether no shared part can have caused the crash.
    pub(crate) fn is_cleared(&self) -> bool {
        self.parts.values().all(|is_cleared| *is_cleared)
    }
}

/// Report to another instance of a request whose target crashed between the head of the answer and the first event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VictimReport {
    /// Fingerprint of the client account.
    pub account: Fingerprint,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Crash that interrupted the request.
    pub crash: CrashId,
    /// Whether the request as a whole was cleared.
    pub is_request_cleared: bool,
    /// Shared parts of the prompt, and whether each was cleared.
    pub parts: Vec<(Fingerprint, bool)>,
    /// Fingerprint of the whole request.
    pub request: Fingerprint,
}

/// Report of a crash victim to another instance, whatever its phase.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PhasedVictimReport {
    /// Point of the answer at which the target crashed.
    pub phase: CrashPhase,
    /// The victim.
    pub victim: VictimReport,
}
