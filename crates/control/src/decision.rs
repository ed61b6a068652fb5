use super::*;

/// One target that a decision weighed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Candidate {
    /// Expected time to complete the work there, in milliseconds; lower is better.
    pub score_ms: f64,
    /// Target or instance.
    pub target: Arc<str>,
}

/// One routing or placement decision, for the log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Decision {
    /// Targets that were weighed and not chosen, best first.
    pub alternatives: Vec<Candidate>,
    /// Account of the request, if the decision is about one.
    pub account: Option<AccountId>,
    /// Chosen targets in the order of the route; empty when nothing was chosen.
    pub chosen: Vec<Candidate>,
    /// What was decided, for example `route`, `refuse` or `order`.
    pub kind: &'static str,
    /// Why.
    pub reason: Arc<str>,
    /// Request, or the target that an order is for.
    pub subject: Arc<str>,
}
