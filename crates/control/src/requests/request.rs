use super::*;

/// State chart of a request. An invalid chart panics on first use, and so fails every test that
/// submits a request.
static CHART: LazyLock<Chart<RequestState, RequestEvent, RequestAction>> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../../charts/request.json"))
        .expect("charts/request.json names only known states, events and actions")
});

/// States of `charts/request.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// An attempt failed; waits for the backoff before the next one.
    BackingOff,
    /// A non-repeatable call that waits for its claim to be recorded.
    Claiming,
    /// Has its final answer, or its caller disconnected.
    Ended,
    /// Submitted, and not yet admitted or refused.
    New,
    /// Waits for a route with free capacity.
    Queued,
    /// An attempt was dispatched to the targets of a route.
    Running,
}

/// Events of `charts/request.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum RequestEvent {
    /// It passed admission and may wait in the queue of its account.
    Admitted,
    /// The record of the call gave the final answer.
    Answered,
    /// Its backoff is over.
    BackoffEnded,
    /// Its caller disconnected.
    CallerGone,
    /// It is a non-repeatable call, whose claim must be recorded before it is dispatched.
    ClaimNeeded,
    /// Its claim is durable, so that it may be dispatched.
    Cleared,
    /// A target completed it.
    Completed,
    /// A route with free capacity was found.
    Dispatched,
    /// Tokens were delivered to the caller.
    Progressed,
    /// It was refused, on admission or later.
    Refused,
    /// Its attempt at an engine that is leaving is replaced by a new one.
    Replaced,
    /// It resumes a stream that another instance accepted.
    Resumed,
    /// Its attempt failed, and the next may start without a backoff.
    RetriedAtOnce,
    /// Its attempt failed, and the next must wait for the backoff.
    RetriedLater,
}

/// Actions of `charts/request.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum RequestAction {
    /// Sends the reply to the caller, or to the record of a non-repeatable call.
    Answer,
    /// Cancels the attempt at its targets.
    Cancel,
    /// Removes the request from its queue.
    Dequeue,
    /// Sends the next attempt to the targets of the chosen route.
    Dispatch,
    /// Adds the request to the queue of its account.
    Enqueue,
    /// Adds the request to the front queue, which is served before the accounts' queues.
    EnqueueFirst,
    /// Releases the slots that the attempt took at its targets.
    Free,
    /// Records the size of the completed request.
    Learn,
    /// Records delivered tokens.
    NoteProgress,
    /// Sends the refusal to the caller, or to the record of a non-repeatable call.
    Refuse,
}

/// What a caller submitted.
#[derive(Clone, Debug)]
pub(crate) enum Submission {
    Call(CallSubmission),
    Generate(GenerateSubmission),
}

/// A request at this instance that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) account: AccountId,
    pub(crate) arrived_at: Duration,
    /// Number of the newest attempt; 0 before the first.
    pub(crate) attempt: Attempt,
    pub(crate) avoid_domain: Option<FailureDomain>,
    pub(crate) avoid_targets: BTreeSet<TargetId>,
    pub(crate) deadline: Duration,
    /// Number of delivered tokens at the last failure or replacement of an attempt; at first, the
    /// number that the request arrived with.
    pub(crate) delivered_at_failure: u32,
    pub(crate) delivered_tokens: u32,
    /// Answer length that was expected on arrival, in tokens; infinite for a call.
    pub(crate) expected_tokens: f64,
    /// Number of failed attempts since tokens were last delivered.
    pub(crate) failure_count: u32,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) is_caller_gone: bool,
    pub(crate) is_short: bool,
    pub(crate) submission: Submission,
    /// Kind of work, under which the size history records the size.
    pub(crate) kind: Arc<str>,
    /// Maximum time from arrival until the first attempt starts.
    pub(crate) max_wait: Duration,
    /// Time from which the attempt may be replaced; none while no engine of it is leaving.
    pub(crate) replace_at: Option<Duration>,
    pub(crate) may_have_run: bool,
    /// Attempt that is being prepared to replace the current one.
    pub(crate) replacement: Option<PendingReplacement>,
    pub(crate) priority: Priority,
    /// Time at which tokens were last delivered or, if later, the attempt started.
    pub(crate) progressed_at: Duration,
    pub(crate) request: RequestId,
    pub(crate) resource: Resource,
    pub(crate) retry_at: Duration,
    pub(crate) route: Option<Route>,
    /// Expected size: answer tokens of a generation, milliseconds of a call.
    pub(crate) size: f64,
    pub(crate) started_at: Duration,
    pub(crate) state: RequestState,
    /// Expected time of one token over the whole route, in milliseconds.
    pub(crate) token_ms: f64,
    /// Whether the request was suspect when its newest attempt started, so that the attempt shares
    /// no target with other suspect requests.
    pub(crate) was_suspect: bool,
}

impl ActiveRequest {
    pub(crate) fn new(now: Duration, submission: Submission) -> Self {
        let (account, deadline, fingerprint, request) = match &submission {
            Submission::Call(call) => (
                &call.account,
                call.deadline,
                call.fingerprint,
                &call.request,
            ),
            Submission::Generate(generate) => (
                &generate.account,
                generate.deadline,
                generate.fingerprint,
                &generate.request,
            ),
        };
        let delivered_tokens = submission.delivered_tokens();
        Self {
            account: account.clone(),
            arrived_at: now,
            attempt: 0,
            avoid_domain: None,
            avoid_targets: BTreeSet::new(),
            deadline,
            delivered_at_failure: delivered_tokens,
            delivered_tokens,
            expected_tokens: f64::INFINITY,
            failure_count: 0,
            fingerprint,
            is_caller_gone: false,
            is_short: true,
            kind: submission.kind(),
            max_wait: deadline,
            replace_at: None,
            may_have_run: false,
            replacement: None,
            priority: 0,
            progressed_at: now,
            request: request.clone(),
            resource: submission.resource(),
            retry_at: now,
            route: None,
            size: 1.0,
            started_at: now,
            state: CHART.initial(),
            token_ms: 0.0,
            was_suspect: false,
            submission,
        }
    }

    /// Whether the caller already has a part of the answer, so that the request must not be refused
    /// while a route exists.
    pub(crate) fn is_accepted_stream(&self) -> bool {
        self.delivered_tokens > 0
    }

    pub(crate) fn is_non_repeatable(&self) -> bool {
        matches!(&self.submission, Submission::Call(call) if call.kind == OperationKind::NonRepeatable)
    }

    /// Moves to the next state of the chart and returns the actions of that step.
    pub(crate) fn step(&mut self, event: RequestEvent) -> Result<Vec<RequestAction>, chart::Error> {
        let step = CHART.step(self.state, event)?;
        self.state = step.state;
        Ok(step.actions.clone())
    }

    /// Targets of the current attempt; empty if there is none.
    pub(crate) fn targets(&self) -> Vec<TargetId> {
        let stages = self.route.iter().flat_map(|route| &route.stages);
        stages.map(|stage| stage.target.clone()).collect()
    }

    /// Properties of the request that determine its route.
    pub(crate) fn query(&self, is_suspect: bool) -> RouteQuery<'_> {
        let (answer_tokens, prefix_hashes, prompt_tokens) = match &self.submission {
            Submission::Call(_) => (1.0, &[][..], 0),
            Submission::Generate(generate) => (
                (self.size - f64::from(self.delivered_tokens)).max(1.0),
                &generate.prefix_hashes[..],
                generate.prompt_tokens + self.delivered_tokens,
            ),
        };
        RouteQuery {
            answer_tokens,
            avoid_domain: self.avoid_domain.as_ref(),
            avoid_targets: &self.avoid_targets,
            is_short: self.is_short,
            is_suspect,
            prefix_hashes,
            prompt_tokens,
            resource: &self.resource,
        }
    }
}

impl Submission {
    /// Number of tokens that the caller already had when the request arrived.
    fn delivered_tokens(&self) -> u32 {
        match self {
            Self::Call(_) => 0,
            Self::Generate(generate) => generate.delivered_tokens,
        }
    }

    /// Kind of work: the model with the bit length of the prompt's token count, or the operation.
    fn kind(&self) -> Arc<str> {
        match self {
            Self::Call(call) => format!("{}/{}", call.service, call.operation).into(),
            Self::Generate(generate) => {
                let magnitude = u32::BITS - generate.prompt_tokens.leading_zeros();
                format!("{}/{magnitude}", generate.model).into()
            }
        }
    }

    fn resource(&self) -> Resource {
        match self {
            Self::Call(call) => Resource::Operation {
                operation: call.operation.clone(),
                service: call.service.clone(),
            },
            Self::Generate(generate) => Resource::Model(generate.model.clone()),
        }
    }
}
