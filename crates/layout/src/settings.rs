/// Settings of the layout planner.
#[derive(Clone, Debug, PartialEq)]
pub struct LayoutSettings {
    /// Tokens per second that a pipeline sends from stage to stage: the tokens in its memory divided by
    /// the duration of an answer. Links between failure domains must carry as many for a pipeline to span
    /// several domains.
    pub pipeline_tokens_per_s: f64,
    /// Tokens of requests for which each engine reserves memory if there is enough: about 100 requests of
    /// 1,000 tokens in each group.
    pub reserved_tokens: f64,
    /// Minimum number of tokens of requests for which each engine reserves memory: about 20 requests.
    pub min_reserved_tokens: f64,
    /// Tokens of requests for which an engine needs memory to be of any use: two requests.
    pub required_tokens: f64,
}

impl Default for LayoutSettings {
    fn default() -> Self {
        Self {
            pipeline_tokens_per_s: 40_000.0,
            reserved_tokens: 100_000.0,
            min_reserved_tokens: 20_000.0,
            required_tokens: 2_000.0,
        }
    }
}
