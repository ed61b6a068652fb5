use super::*;

/// Settings of all decisions of a node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeSettings {
    /// Queues, shares and limits.
    pub admission: AdmissionSettings,
    /// Configuration.
    pub config: ConfigSettings,
    /// Streams on engines that are leaving.
    pub departure: DepartureSettings,
    /// Graceful shutdown.
    pub drain: DrainSettings,
    /// Membership.
    pub member: MemberSettings,
    /// Orders to engines.
    pub order: OrderSettings,
    /// Requests that crash targets.
    pub quarantine: QuarantineSettings,
    /// Record of non-repeatable calls.
    pub record: RecordSettings,
    /// Retries.
    pub retry: RetrySettings,
    /// Choice of targets.
    pub route: RouteSettings,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Queues, shares and limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// Priority of new work.
    pub first_priority: Priority,
    /// Lowest priority after demotion by delivered tokens.
    pub floor_priority: Priority,
    /// Wait after which long work is served before younger work of its account, and stalled
    /// generations get their first priority back, in milliseconds.
    pub max_wait_ms: u64,
    /// Expected time up to which a call counts as short, in milliseconds.
    pub short_call_ms: u64,
    /// Part of each target's slots that only short work may use, from 0 to 1.
    pub short_slot_fraction: f64,
    /// Expected answer length up to which work counts as short, in tokens.
    pub short_tokens: u32,
    /// Requests that may wait at a target beyond its slots, once no target has a free one. They
    /// fill slots that end unseen between two reports, and let the engine prefer them to work that
    /// was demoted.
    pub target_queue_count: u32,
    /// Answer length assumed before any was observed, in tokens.
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

/// Graceful shutdown.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainSettings {
    /// Longest time to live of address answers, in milliseconds.
    pub address_ttl_ms: u64,
    /// Time for the notice of leaving to reach the peers, in milliseconds.
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

/// Retries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Backoff before the first retry, in milliseconds; doubles with each further one.
    pub backoff_ms: u64,
    /// Retries per request of the window, from 0 to 1.
    pub budget_fraction: f64,
    /// Retries that the budget allows in a window without requests.
    pub budget_min_count: u32,
    /// Longest backoff, in milliseconds.
    pub max_backoff_ms: u64,
    /// Failures of one request without progress after which it is refused.
    pub max_failure_count: u32,
    /// Length of the window over which requests count, in milliseconds.
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

/// Choice of targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteSettings {
    /// Time after which knowledge of a cached prefix counts half, in milliseconds.
    pub cache_half_life_ms: u64,
    /// Prefixes remembered per target.
    pub cache_prefix_count: u32,
    /// Token rate assumed for an accelerator kind before any was observed, per second.
    pub default_rate_per_s: f64,
    /// Link cost between failure domains of a region, in microseconds.
    pub domain_link_us: u64,
    /// Prompt tokens that fill the cache in the time of one generated token.
    pub prefill_speedup: f64,
    /// Link cost between regions, in microseconds.
    pub region_link_us: u64,
    /// Link cost inside a failure domain, in microseconds.
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
