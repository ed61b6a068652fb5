use super::*;

/// Bytes counted for a journal besides its texts.
pub(crate) const FIXED_BYTES: usize = 512;

/// Bytes counted for a token besides its text.
const TOKEN_BYTES: usize = 32;

/// Limits on the journals of one instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct JournalSettings {
    /// Time after which a journal without new tokens is dropped, in milliseconds. At least the
    /// longest stream; it ends copies whose owner lives on and whose last message was lost.
    pub idle_ms: u64,
    /// Most memory for journals and copies together, in bytes, with what is reserved for running
    /// streams. Past it, ended journals are dropped, oldest end first; if that is not enough, new
    /// ones are refused.
    pub max_bytes: usize,
    /// Text that is reserved for each token of the longest answer of a stream, in bytes. Longer
    /// than an average token, so that an accepted stream does not run out of memory.
    pub reserved_token_bytes: usize,
    /// Time that a journal is kept after its stream ended or its owner was lost, in milliseconds.
    pub retention_ms: u64,
}

/// What may be dropped to make room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Eviction {
    /// Ended journals, and then copies of running streams.
    Copies,
    /// Ended journals.
    Ended,
}

impl Default for JournalSettings {
    fn default() -> Self {
        Self {
            idle_ms: 30 * 60 * 1_000,
            // Reserves 160 answers of 4,096 tokens; memory is used only as their tokens come.
            max_bytes: 32 * 1024 * 1024,
            reserved_token_bytes: 16,
            retention_ms: 60_000,
        }
    }
}

/// A journal with what decides how long it is kept and who may have it.
#[derive(Clone, Debug)]
pub(crate) struct JournalEntry {
    pub(crate) bytes: usize,
    /// Hand-overs of the stream before `owner`.
    pub(crate) epoch: u32,
    /// When retention ends; none while the stream runs and its owner is heard from.
    pub(crate) expires_at: Option<Duration>,
    /// Whether this instance serves the stream, or did; other entries are copies.
    pub(crate) is_own: bool,
    pub(crate) journal: Journal,
    /// Who serves the stream.
    pub(crate) owner: Holder,
    /// Bytes set aside for the whole answer; 0 for copies and once the stream has ended.
    pub(crate) reserved: usize,
    /// Who took the stream over. Invariant: once set, only this holder, or one of a later epoch,
    /// replaces the entry.
    pub(crate) taker: Option<Holder>,
    /// When the newest tokens came.
    pub(crate) updated_at: Duration,
}

impl JournalEntry {
    /// Bytes that count against the memory for journals.
    pub(crate) fn charge(&self) -> usize {
        self.bytes.max(self.reserved)
    }

    /// Whether the entry may be dropped to make room. Journals that were taken over stay, because
    /// they turn later takers away. The owner of a dropped copy makes another one.
    pub(crate) fn is_evictable(&self, eviction: Eviction) -> bool {
        let is_copy = !self.is_own && eviction == Eviction::Copies;
        self.taker.is_none() && (self.expires_at.is_some() || is_copy)
    }

    /// Who holds the stream, if it is not `holder`.
    pub(crate) fn other_holder(&self, holder: &Holder) -> Option<InstanceId> {
        let current = self.taker.as_ref().unwrap_or(&self.owner);
        (current != holder).then(|| current.instance.clone())
    }

    /// Who holds the stream, if `holder` of `epoch` may not replace it. A holder that took the
    /// stream elsewhere later than the one known here has a higher epoch.
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

/// Bytes of a journal with `token_count` more tokens of the length that is reserved for each.
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
