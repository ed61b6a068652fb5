/// Settings of the planner.
#[derive(Clone, Debug, PartialEq)]
pub struct LayoutSettings {
    /// Tokens a second that a chain passes on: what it keeps in memory, in the seconds that an answer takes.
    pub chain_tokens_per_s: f64,
    /// Tokens of requests for which a stage keeps memory, where there is enough. Covers about 100
    /// requests of 1,000 tokens in each group.
    pub kept_tokens: f64,
    /// Tokens of requests for which a stage keeps memory at least: about 20 requests.
    pub least_kept_tokens: f64,
}

impl Default for LayoutSettings {
    fn default() -> Self {
        Self {
            chain_tokens_per_s: 40_000.0,
            kept_tokens: 100_000.0,
            least_kept_tokens: 20_000.0,
        }
    }
}
