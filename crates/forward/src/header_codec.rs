use super::*;

/// Routing information from the head of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Maximum number of answer tokens; none if the caller sets no limit.
    pub answer_tokens: Option<f64>,
    /// How long the caller waits for the final answer; none if it does not say.
    pub time_limit: Option<Duration>,
    /// Number of answer tokens that the caller expects; none if it does not say.
    pub expected_tokens: Option<f64>,
    /// Id of the request, by which logs and answers refer to it.
    pub id: Arc<str>,
    /// Secret key that identifies the client account; none if the request carries no key.
    pub key: Option<Arc<str>>,
    /// Number of prompt tokens; none if the caller does not say.
    pub prompt_tokens: Option<f64>,
    /// Ids of the parts of the prompt that other requests may share, in order and without repetitions.
    pub shared_parts: Vec<Arc<str>>,
}

/// Routing information from the head of an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplyMetadata {
    /// Address of the target on the path that caused a refusal; none if it is not named.
    pub fault_at: Option<SocketAddr>,
    /// Whether the answer carries the signature of the target that produced it.
    pub has_signature: bool,
    /// Id of the request that this answers; none if the answer names none.
    pub id: Option<Arc<str>>,
    /// Whether the target announces that it is leaving.
    pub is_leaving: bool,
    /// Whether the target guarantees that it has not run the request and will not run it.
    pub is_not_run: bool,
    /// Current load of the target; none if it does not report one.
    pub load: Option<Load>,
    /// Requests per second that the target takes from all instances together; none if it sets no limit.
    pub rate_limit_per_s: Option<f64>,
    /// Time for which a target that refused this request asks for no further ones.
    pub retry_after: Option<Duration>,
}

/// Routing information that is sent to a target with a request.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch<'a> {
    /// Name of the client account; none if the request needs no key.
    pub account: Option<&'a str>,
    /// Time that remains for the answer.
    pub time_left: Duration,
    /// Id of the last event that the caller has received; none unless a stream is resumed.
    pub last_event: Option<&'a str>,
    /// Path of the request; its first stage receives the request.
    pub path: &'a Path,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u32,
}

/// Maps routing information to and from the headers of the wire protocol.
pub trait HeaderCodec: Send + Sync {
    /// Header with the id of a request, which targets repeat in its answer.
    fn id_header(&self) -> HeaderName;

    /// Reads the routing information of a request.
    fn parse_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Reads the routing information of an answer.
    fn parse_reply(&self, status: StatusCode, headers: &HeaderMap) -> ReplyMetadata;

    /// Sets the headers that a target receives from the router, and removes those meant for the router.
    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch);
}
