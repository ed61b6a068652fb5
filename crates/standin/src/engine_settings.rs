use super::*;

/// Settings of the fake engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Kind of accelerator that the engine reports to the platform.
    pub accelerator: AcceleratorKind,
    /// Number of prefix blocks that the cache holds.
    pub cache_block_count: usize,
    /// Share of cache events that are never published, 0 to 1.
    pub cache_event_gap_fraction: f64,
    /// Delay after which a cache event becomes visible, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Whether orders with a fence older than the newest accepted one are refused.
    pub checks_fence: bool,
    /// A prompt that contains this text crashes the engine; empty disables it.
    pub crash_marker: String,
    /// Faults that are injected from the start.
    pub faults: EngineFaults,
    /// Timeout for the reply of the next stage to one step, in milliseconds.
    pub forward_limit_ms: u64,
    /// Limits of the HTTP server.
    pub limits: Limits,
    /// Simulated network delay of each step sent to the next stage, in microseconds.
    pub link_delay_us: u64,
    /// Maximum entries of each list of the engine log; older ones are dropped.
    pub log_entry_count: usize,
    /// Log level and format of the binary.
    pub log: LogSettings,
    /// Models, with their layer ranges, that are loaded at the start.
    pub models: Vec<LoadedModel>,
    /// Listen address and registration in the platform's process list.
    pub place: RegistrationSettings,
    /// Simulated time to process one token of a prompt, in microseconds.
    pub prefill_us: u64,
    /// Maximum requests that wait for a slot; more are refused with status 429.
    pub queue_count: u32,
    /// Age of the state that a load report shows, in milliseconds.
    pub report_lag_ms: u64,
    /// Seed of the random generator that selects lost cache events.
    pub seed: u64,
    /// Maximum requests that run at the same time.
    pub slot_count: u32,
    /// Simulated time of one step, in microseconds. Each request in a slot gains one token a step.
    pub step_us: u64,
    /// Simulated time to load one model from the weight store, in milliseconds.
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
                // All processes of a test or demo connect from the same loopback address.
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

/// Faults injected into an engine. `PUT /faults` replaces all of them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Number of tokens after which each stream's connection is dropped; none disables it.
    pub drop_after_tokens: Option<u32>,
    /// Sends every n-th token record twice; 0 disables it.
    pub duplicate_every: u32,
    /// Whether processing pauses until this is false again. `/faults` and `/log` still answer.
    pub frozen: bool,
    /// Additional network delay of each step sent to the next stage, in microseconds.
    pub link_delay_us: u64,
    /// Whether new requests are refused with status 503.
    pub refuse: bool,
    /// Sends every n-th token record after its successor; 0 disables it.
    pub reorder_every: u32,
    /// Factor by which prompt processing and steps are slowed down; 1 for normal speed.
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
