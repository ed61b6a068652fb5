use super::*;

/// Settings of all parts of a node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeSettings {
    /// Queues, and slots that are reserved for short work.
    pub admission: AdmissionSettings,
    /// Replication of the operator lists.
    pub config: ConfigSettings,
    /// Streams on leaving engines.
    pub departure: DepartureSettings,
    /// Times of the graceful shutdown.
    pub drain: DrainSettings,
    /// Heartbeats, polls and failure detection.
    pub member: MemberSettings,
    /// Orders to engines and placement of models.
    pub order: OrderSettings,
    /// Isolation of requests that crash targets.
    pub quarantine: QuarantineSettings,
    /// Record of non-repeatable calls.
    pub record: RecordSettings,
    /// Backoff and budget of retries.
    pub retry: RetrySettings,
    /// Cost model of the choice of targets.
    pub route: RouteSettings,
    /// Seed of the random numbers of all decisions.
    pub seed: u64,
}

/// Settings of admission: priorities, queues, and slots that are reserved for short work.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// Priority of new work.
    pub first_priority: Priority,
    /// Lowest priority after demotion by delivered tokens.
    pub floor_priority: Priority,
    /// Time in milliseconds after which long work that waits is served before younger work of its
    /// account, and stalled generations get their first priority back.
    pub max_wait_ms: u64,
    /// Expected time up to which a call counts as short, in milliseconds.
    pub short_call_ms: u64,
    /// Fraction of each target's slots that only short work may use, from 0 to 1.
    pub short_slot_fraction: f64,
    /// Expected answer length up to which work counts as short, in tokens.
    pub short_tokens: u32,
    /// Number of requests that may be sent to a target beyond its slots when no target has a free
    /// slot. They fill slots that become free between two reports, and the engine can prefer them
    /// to work that was demoted.
    pub target_queue_count: u32,
    /// Answer length that is assumed before any was observed, in tokens.
    pub unknown_tokens: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            first_priority: 9,
            floor_priority: 3,
            max_wait_ms: 5_000,
            short_call_ms: 200,
            short_slot_fraction: 0.15,
            short_tokens: 128,
            target_queue_count: 4,
            unknown_tokens: 128,
        }
    }
}

/// Settings of the graceful shutdown.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainSettings {
    /// Longest time for which callers cache answers with entry addresses, in milliseconds.
    pub address_ttl_ms: u64,
    /// Time in milliseconds in which all peers learn that this instance is leaving.
    pub notice_ms: u64,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            address_ttl_ms: 6_000,
            notice_ms: 1_000,
        }
    }
}

/// Settings of retries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Backoff before the first retry, in milliseconds; it doubles with each further retry.
    pub backoff_ms: u64,
    /// Retries that the budget allows per request of the window, from 0 to 1.
    pub budget_fraction: f64,
    /// Retries that the budget allows in a window without requests.
    pub budget_min_count: u32,
    /// Longest backoff, in milliseconds.
    pub max_backoff_ms: u64,
    /// Number of failures without progress after which a request is refused.
    pub max_failure_count: u32,
    /// Length of the window over which requests are counted for the budget, in milliseconds.
    pub window_ms: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            backoff_ms: 20,
            budget_fraction: 0.2,
            budget_min_count: 3,
            max_backoff_ms: 1_000,
            max_failure_count: 6,
            window_ms: 10_000,
        }
    }
}

/// Settings of the choice of targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteSettings {
    /// Half-life of the assumption that an engine still has a prefix in its cache, in milliseconds.
    pub cache_half_life_ms: u64,
    /// Maximum number of cached prefixes that are remembered per target.
    pub cache_prefix_count: u32,
    /// Tokens per second that are assumed for an accelerator kind before any rate was observed.
    pub default_rate_per_s: f64,
    /// Cost of a message between two failure domains of a region, in microseconds.
    pub domain_link_us: u64,
    /// Number of prompt tokens that an engine processes in the time of one generated token.
    pub prefill_speedup: f64,
    /// Cost of a message between two regions, in microseconds.
    pub region_link_us: u64,
    /// Cost of a message inside a failure domain, in microseconds.
    pub same_link_us: u64,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            cache_half_life_ms: 10_000,
            cache_prefix_count: 4_096,
            default_rate_per_s: 50.0,
            domain_link_us: 500,
            prefill_speedup: 20.0,
            region_link_us: 20_000,
            same_link_us: 100,
        }
    }
}
