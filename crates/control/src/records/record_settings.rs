use super::*;

/// Settings of the record of non-repeatable calls.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RecordSettings {
    /// Longest wait for peers that are asked for a key, in milliseconds.
    pub ask_max_ms: u64,
    /// Interval of asking the owner of a call, in milliseconds.
    pub ask_ms: u64,
    /// Longest wait of an outcome for others to share its transaction, in milliseconds.
    pub batch_ms: u64,
    /// Most outcomes in one transaction.
    pub batch_max_count: usize,
    /// Time for which an ended call is answered from memory, in milliseconds.
    pub ended_memory_ms: u64,
    /// Most bytes of results kept in memory of calls whose row is up to date.
    pub ended_max_bytes: usize,
    /// Most calls in memory. A further call is refused when none can be forgotten.
    pub max_count: usize,
    /// Most callers that wait for one call.
    pub max_waiting_count: usize,
    /// Silence after which an owner is gone even if it is leaving or unknown, in milliseconds.
    pub owner_silence_ms: u64,
    /// Longest wait between two requests to a store that refuses them, in milliseconds.
    pub probe_ms: u64,
    /// Time for which a row is kept, in milliseconds. Later the key counts as new.
    pub retention_ms: u64,
    /// Time after which a refused caller may come back, in milliseconds.
    pub retry_after_ms: u64,
    /// Longest wait between two tries of a background write, in milliseconds.
    pub retry_max_ms: u64,
    /// Shortest wait between two tries of a request to the store, in milliseconds.
    pub retry_min_ms: u64,
    /// Interval of sweeping expired rows, in milliseconds.
    pub sweep_ms: u64,
    /// Most rows that one sweep step reads.
    pub sweep_max_count: u32,
    /// Time since the claim was first sent after which nothing is dispatched, in milliseconds.
    pub window_ms: u64,
}

impl Default for RecordSettings {
    fn default() -> Self {
        Self {
            ask_max_ms: 200,
            ask_ms: 500,
            batch_ms: 10,
            batch_max_count: 64,
            ended_memory_ms: 60_000,
            ended_max_bytes: 4 << 20,
            max_count: 4_096,
            max_waiting_count: 16,
            owner_silence_ms: 10_000,
            probe_ms: 250,
            retention_ms: 7 * 24 * 3_600_000,
            retry_after_ms: 1_000,
            retry_max_ms: 2_000,
            retry_min_ms: 50,
            sweep_ms: 60_000,
            sweep_max_count: 64,
            window_ms: 2_000,
        }
    }
}
