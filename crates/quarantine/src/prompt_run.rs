use super::*;

/// Maximum number of shared parts of a prompt that are examined. Further parts are ignored.
const MAX_PARTS: usize = 64;

/// What the quarantine of prompt parts knows of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptRun {
    /// Fingerprint of the client account; the same for all requests without an account.
    pub account: Fingerprint,
    /// Fingerprints of the shared parts of the prompt. Invariant: at most `MAX_PARTS`.
    pub parts: BTreeSet<Fingerprint>,
    /// Fingerprint of the whole request.
    pub request: Fingerprint,
}

impl PromptRun {
    /// Creates a run of a request whose prompt consists of `parts` and a part of its own.
    #[must_use]
    pub fn new(
        account: Fingerprint,
        request: Fingerprint,
        parts: impl IntoIterator<Item = Fingerprint>,
    ) -> Self {
        Self {
            account,
            parts: parts.into_iter().take(MAX_PARTS).collect(),
            request,
        }
    }
}
