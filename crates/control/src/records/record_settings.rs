use super::*;

/// Settings of the record of non-repeatable calls.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RecordSettings {
    /// Longest wait for the answers of peers that are asked about a key, in milliseconds.
    pub ask_max_ms: u64,
    /// Shortest interval between two questions about one call to its owner or to all peers, in
    /// milliseconds.
    pub ask_ms: u64,
    /// Longest time for which an outcome waits for others to share its transaction, in
    /// milliseconds.
    pub batch_ms: u64,
    /// Maximum number of outcomes in one transaction.
    pub batch_max_count: usize,
    /// Time for which an ended call stays in memory to answer repeated submissions, in
    /// milliseconds.
    pub ended_memory_ms: u64,
    /// Maximum total size of the results in memory of calls whose row is up to date, in bytes.
    pub ended_max_bytes: usize,
    /// Maximum number of calls in memory. A further call is refused when none can be evicted.
    pub max_count: usize,
    /// Maximum number of callers that wait for one call. Further ones are told that its outcome is
    /// unknown.
    pub max_waiting_count: usize,
    /// Time without a heartbeat after which an owner counts as gone even if it is leaving or not
    /// listed, in milliseconds.
    pub owner_silence_ms: u64,
    /// Longest interval between two probes of a store that refuses requests, in milliseconds.
    pub probe_ms: u64,
    /// Time for which a row is kept, in milliseconds. After it a repeated key counts as new.
    pub retention_ms: u64,
    /// Time after which a refused caller is told to retry, in milliseconds.
    pub retry_after_ms: u64,
    /// Longest backoff of a background write or read, in milliseconds.
    pub retry_max_ms: u64,
    /// Base of the exponential backoff between two tries of a request to the store, in
    /// milliseconds.
    pub retry_min_ms: u64,
    /// Interval of sweeping expired rows, in milliseconds.
    pub sweep_ms: u64,
    /// Maximum number of rows that one sweep step reads.
    pub sweep_max_count: u32,
    /// Length of the dispatch window, in milliseconds: time after the first sending of a claim in
    /// which its call may be dispatched.
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
