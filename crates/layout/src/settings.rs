/// Settings of the planner.
#[derive(Clone, Debug, PartialEq)]
pub struct LayoutSettings {
    /// Tokens a second that a chain passes on: what it keeps in memory, in the seconds that an answer takes.
    pub pipeline_tokens_per_s: f64,
    /// Tokens of requests for which a stage keeps memory, where there is enough. Covers about 100
    /// requests of 1,000 tokens in each group.
    pub reserved_tokens: f64,
    /// Tokens of requests for which a stage keeps memory at least: about 20 requests.
    pub min_reserved_tokens: f64,
}

impl Default for LayoutSettings {
    fn default() -> Self {
        Self {
            pipeline_tokens_per_s: 40_000.0,
            reserved_tokens: 100_000.0,
            min_reserved_tokens: 20_000.0,
        }
    }
}
