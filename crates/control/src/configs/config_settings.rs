use super::*;

/// Settings of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigSettings {
    /// Time after which an operator gets an answer to an edit, in milliseconds.
    pub edit_ms: u64,
    /// Attempts of one edit that names no base version, before it is answered with a conflict.
    pub edit_max_count: u32,
    /// Versions for which change rows are kept.
    pub keep_count: u64,
    /// Most rows of one range read.
    pub read_max_count: u32,
    /// Shortest interval of range reads, in milliseconds.
    pub read_min_ms: u64,
    /// Range reads per second over all instances.
    pub reads_per_s: u64,
    /// Longest wait before a read that an edit needs is repeated, in milliseconds.
    pub retry_max_ms: u64,
    /// Shortest wait before a read that an edit needs is repeated, in milliseconds.
    pub retry_ms: u64,
    /// Age of an unanswered read from which changes are fetched from a peer, in milliseconds.
    pub read_slow_ms: u64,
    /// Time after which a refused operator may come back, in milliseconds.
    pub retry_after_ms: u64,
    /// Changes between two snapshots.
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
