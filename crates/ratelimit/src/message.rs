use super::*;

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Permit {
    /// No permit is available in time. The next one would be available after this wait.
    Denied(Duration),
    /// One request may be sent after this wait.
    Granted(Duration),
}

/// Asks the owner of a target's limit for a permit, or only reports the limit. Messages between instances are
/// encoded by position, so the order of the fields is fixed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitQuery {
    /// Time since the target announced `rate_per_s` to the requester.
    pub announcement_age: Duration,
    /// Incarnation of the target that announced it.
    pub incarnation: Incarnation,
    /// Longest wait for which a permit is of use.
    pub max_wait: Duration,
    /// Limit that the requester knows; none if the target has ended it.
    pub rate_per_s: Option<f64>,
    /// Target that the request is for.
    pub target: TargetId,
    /// Whether a permit is wanted. False if the query only reports the limit.
    pub wants_permit: bool,
}

/// Reply of the owner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitReply {
    /// Time since the target announced `rate_per_s`, as far as the owner knows.
    pub announcement_age: Duration,
    /// Permit; none if none was wanted or the responder is not the owner, or not yet.
    pub permit: Option<Permit>,
    /// Limit that the owner knows; none if the target sets none.
    pub rate_per_s: Option<f64>,
}
