use super::*;

/// Settings of the engine stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Kind of accelerator.
    pub accelerator: AcceleratorKind,
    /// Prefixes that the cache holds.
    pub cache_block_count: usize,
    /// Part of the cache events that are never published.
    pub cache_event_gap_fraction: f64,
    /// Time by which cache events are late, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Whether orders with an old fence are refused.
    pub checks_fence: bool,
    /// A prompt that contains this text makes the process crash; empty for none.
    pub crash_marker: String,
    /// Faults at the start.
    pub faults: EngineFaults,
    /// Time for the reply of the next stage to one step, in milliseconds.
    pub forward_limit_ms: u64,
    /// Limits on requests.
    pub limits: Limits,
    /// Time to send one step to the next stage, in microseconds.
    pub link_delay_us: u64,
    /// Entries of the log of runs; older ones are dropped.
    pub log_entry_count: usize,
    /// What the binary logs.
    pub log: LogSettings,
    /// Models held at the start.
    pub models: Vec<LoadedModel>,
    /// Where it runs.
    pub place: RegistrationSettings,
    /// Time to process one token of a prompt, in microseconds.
    pub prefill_us: u64,
    /// Requests that may wait for a slot; more are refused with 429.
    pub queue_count: u32,
    /// Time by which load reports are behind, in milliseconds.
    pub report_lag_ms: u64,
    /// Seed of every random choice.
    pub seed: u64,
    /// Requests that can run at once.
    pub slot_count: u32,
    /// Time of one step, which makes one token for each slot in use, in microseconds.
    pub step_us: u64,
    /// Time to load one model from the weight store, in milliseconds.
    pub weight_load_ms: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            accelerator: "h".into(),
            cache_block_count: 1_024,
            cache_event_gap_fraction: 0.0,
            cache_event_lag_ms: 200,
            checks_fence: true,
            crash_marker: String::new(),
            faults: EngineFaults::default(),
            forward_limit_ms: 5_000,
            limits: Limits {
                // All instances of a test or demo may share one address.
                client_connection_count: 4_096,
                ..Limits::default()
            },
            link_delay_us: 0,
            log: LogSettings::default(),
            log_entry_count: 1_000_000,
            models: vec![LoadedModel {
                adapters: Vec::new(),
                layer_count: 32,
                layers: LayerRange { end: 32, start: 0 },
                model: "assistant".into(),
            }],
            place: RegistrationSettings {
                id: "engine-1".into(),
                ..RegistrationSettings::default()
            },
            prefill_us: 50,
            queue_count: 1_024,
            report_lag_ms: 500,
            seed: 1,
            slot_count: 8,
            step_us: 10_000,
            weight_load_ms: 500,
        }
    }
}

/// Faults of an engine. `PUT /faults` replaces them all.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Tokens after which the connection of each stream is dropped; none for never.
    pub drop_after_tokens: Option<u32>,
    /// Every how many tokens a record is sent twice; 0 for never.
    pub duplicate_every: u32,
    /// Whether everything stands still until this is false again.
    pub frozen: bool,
    /// Time added to each message to the next stage, in microseconds.
    pub link_delay_us: u64,
    /// Whether new prompts are refused.
    pub refuse: bool,
    /// Every how many tokens a record is sent after its successor; 0 for never.
    pub reorder_every: u32,
    /// Factor on all processing times; 1 for none.
    pub slow_factor: f64,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            drop_after_tokens: None,
            duplicate_every: 0,
            frozen: false,
            link_delay_us: 0,
            refuse: false,
            reorder_every: 0,
            slow_factor: 1.0,
        }
    }
}
