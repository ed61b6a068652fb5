use super::*;

/// Bytes that a journal counts for in addition to its prompt and tokens.
pub(crate) const FIXED_BYTES: usize = 512;

/// Bytes that a token counts for in addition to its text.
const TOKEN_BYTES: usize = 32;

/// Memory and time limits of the journals of one instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct JournalSettings {
    /// Time after which a journal without new tokens is dropped, in milliseconds. It removes copies
    /// whose owner is still live but whose last message was lost, and must be at least the duration
    /// of the longest stream.
    pub idle_ms: u64,
    /// Maximum memory of journals and copies together, in bytes, including what is reserved for
    /// running streams. Beyond it, ended journals are dropped, in the order in which their
    /// retention ends; if that is not enough, new ones are refused.
    pub max_bytes: usize,
    /// Bytes of text that are reserved for each token of a stream's longest answer. More than an
    /// average token has, so that an accepted stream does not run out of memory.
    pub reserved_token_bytes: usize,
    /// Time for which a journal is kept after its stream has ended, its owner was lost or it was
    /// taken over, in milliseconds.
    pub retention_ms: u64,
}

/// Which entries may be dropped to make room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Eviction {
    /// Entries in retention, then copies of running streams.
    Copies,
    /// Entries in retention: their stream has ended or their owner was lost.
    Ended,
}

impl Default for JournalSettings {
    fn default() -> Self {
        Self {
            idle_ms: 30 * 60 * 1_000,
            // Enough for the reservations of 160 answers of 4,096 tokens. A reservation allocates
            // no memory; it is used as the tokens arrive.
            max_bytes: 32 * 1024 * 1024,
            reserved_token_bytes: 16,
            retention_ms: 60_000,
        }
    }
}

/// A journal or copy, with the state that determines how long it is kept and who may take it over.
#[derive(Clone, Debug)]
pub(crate) struct JournalEntry {
    pub(crate) bytes: usize,
    /// Number of takeovers of the stream up to `owner`; 0 for the first owner.
    pub(crate) epoch: u32,
    /// Time at which the retention ends; none while the stream runs and its owner is live.
    pub(crate) expires_at: Option<Duration>,
    /// Whether this instance serves the stream or did so; otherwise the entry is a copy.
    pub(crate) is_own: bool,
    pub(crate) journal: Journal,
    /// Holder that serves the stream, as far as this instance knows.
    pub(crate) owner: Holder,
    /// Bytes reserved for the journal with its longest answer; 0 for copies, and once the stream
    /// has ended or was taken over.
    pub(crate) reserved: usize,
    /// Holder that took the stream over. Invariant: once set, only this holder or one of a later
    /// epoch replaces the entry.
    pub(crate) taker: Option<Holder>,
    /// Time at which tokens were last added.
    pub(crate) updated_at: Duration,
}

impl JournalEntry {
    /// Bytes that count towards `max_bytes`: the reservation, or the actual size if it is larger.
    pub(crate) fn charge(&self) -> usize {
        self.bytes.max(self.reserved)
    }

    /// Whether the entry may be dropped to make room. Journals that were taken over are kept,
    /// because later takers must be rejected. The owner of a dropped copy sends the journal again.
    pub(crate) fn is_evictable(&self, eviction: Eviction) -> bool {
        let is_copy = !self.is_own && eviction == Eviction::Copies;
        self.taker.is_none() && (self.expires_at.is_some() || is_copy)
    }

    /// Instance that holds the stream, if that is not `holder`.
    pub(crate) fn other_holder(&self, holder: &Holder) -> Option<InstanceId> {
        let current = self.taker.as_ref().unwrap_or(&self.owner);
        (current != holder).then(|| current.instance.clone())
    }

    /// Instance that holds the stream, if `holder` with this `epoch` must not replace it. A holder
    /// that took the stream over from another instance, later than the one known here, has a
    /// higher epoch and may replace it.
    pub(crate) fn newer_holder(&self, holder: &Holder, epoch: u32) -> Option<InstanceId> {
        let known = self.epoch + u32::from(self.taker.is_some());
        if epoch > known {
            return None;
        }
        self.other_holder(holder)
    }
}

pub(crate) fn journal_bytes(journal: &Journal) -> usize {
    let tokens: usize = journal.tokens.iter().map(token_bytes).sum();
    FIXED_BYTES + journal.prompt.len() + tokens
}

/// Bytes to reserve for a journal of `bytes` bytes and `token_count` more tokens.
pub(crate) fn reserved_bytes(bytes: usize, token_count: u32, settings: &JournalSettings) -> usize {
    let token_bytes = TOKEN_BYTES + settings.reserved_token_bytes;
    let token_count = usize::try_from(token_count).unwrap_or(usize::MAX);
    bytes.saturating_add(token_count.saturating_mul(token_bytes))
}

pub(crate) fn token_bytes(token: &Arc<str>) -> usize {
    TOKEN_BYTES + token.len()
}

pub(crate) fn token_count(journal: &Journal) -> TokenIndex {
    TokenIndex::try_from(journal.tokens.len()).unwrap_or(TokenIndex::MAX)
}
