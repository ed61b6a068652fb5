use super::*;

/// Target or instance that a decision considered.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Candidate {
    /// Expected time to complete the work there, in milliseconds; lower is better. For orders it is
    /// a cost without a unit.
    pub score_ms: f64,
    /// Id of the target or instance.
    pub target: Arc<str>,
}

/// One routing or placement decision, for the log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Decision {
    /// Candidates that were not chosen, best first.
    pub alternatives: Vec<Candidate>,
    /// Account of the request; none if the decision is not about a request.
    pub account: Option<AccountId>,
    /// Chosen targets in the order of the route; empty when nothing was chosen.
    pub chosen: Vec<Candidate>,
    /// Kind of the decision, such as `route`, `refuse` or `order`.
    pub kind: &'static str,
    /// Reason for the decision, for people who read the log.
    pub reason: Arc<str>,
    /// What the decision is about: the id of a request, target or edit, or the key of a row.
    pub subject: Arc<str>,
}
