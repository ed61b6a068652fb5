use super::*;

/// Settings of the replica of the operator lists.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigSettings {
    /// Time limit of an edit, in milliseconds: then the operator gets an answer even if the result
    /// is not known.
    pub edit_ms: u64,
    /// Number of writes of an edit without a base version that may conflict, before it is answered
    /// with a conflict.
    pub edit_max_count: u32,
    /// Number of latest versions whose change rows are kept in the store and in memory.
    pub keep_count: u64,
    /// Maximum number of rows that a range read returns.
    pub read_max_count: u32,
    /// Minimum interval of the periodic reads of one instance, in milliseconds.
    pub read_min_ms: u64,
    /// Target rate of the periodic reads of all instances together, per second. The interval grows
    /// with the number of instances accordingly.
    pub reads_per_s: u64,
    /// Maximum backoff before a read that an edit needs is sent again, in milliseconds.
    pub retry_max_ms: u64,
    /// Minimum backoff before a read that an edit needs is sent again, in milliseconds.
    pub retry_ms: u64,
    /// Time without a reply after which a read counts as slow and changes are also fetched from a
    /// peer, in milliseconds.
    pub read_slow_ms: u64,
    /// Time after which an operator whose edit was refused may retry, in milliseconds.
    pub retry_after_ms: u64,
    /// Number of versions after which the snapshot is written again.
    pub snapshot_count: u64,
}

impl Default for ConfigSettings {
    fn default() -> Self {
        Self {
            edit_ms: 3_000,
            edit_max_count: 8,
            keep_count: 1_024,
            read_max_count: 256,
            read_min_ms: 1_000,
            read_slow_ms: 500,
            reads_per_s: 200,
            retry_max_ms: 1_000,
            retry_ms: 100,
            retry_after_ms: 1_000,
            snapshot_count: 256,
        }
    }
}
