use super::*;

/// Chart of the life of a request. A wrong chart is a defect of the build, which every test meets.
static CHART: LazyLock<Chart<RequestState, RequestEvent, RequestAction>> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../../charts/request.json"))
        .expect("charts/request.json names only known states, events and actions")
});

/// States of `charts/request.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// Waits before the next attempt.
    BackingOff,
    /// Waits for the record of a non-repeatable call.
    Claiming,
    /// Has its final answer, or no caller.
    Ended,
    /// Arrived.
    New,
    /// Waits for a place.
    Queued,
    /// An attempt is at targets.
    Running,
}

/// Events of `charts/request.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum RequestEvent {
    /// May wait in the queue of its account.
    Admitted,
    /// Its record gave the final answer.
    Answered,
    /// Its backoff is over.
    BackoffEnded,
    /// Its caller disconnected.
    CallerGone,
    /// Must be recorded before dispatch.
    ClaimNeeded,
    /// Its claim is durable.
    Cleared,
    /// A target completed it.
    Completed,
    /// A place was found.
    Dispatched,
    /// Tokens were delivered.
    Progressed,
    /// Refused.
    Refused,
    /// Its attempt at an engine that is leaving gives way to another.
    Replaced,
    /// Was accepted by another instance, or goes on after a failure there.
    Resumed,
    /// Its attempt failed and the next may start now.
    RetriedAtOnce,
    /// Its attempt failed and the next must wait.
    RetriedLater,
}

/// Actions of `charts/request.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum RequestAction {
    /// Gives the reply to the caller.
    Answer,
    /// Stops the attempt at its targets.
    Cancel,
    /// Leaves the queue.
    Dequeue,
    /// Sends the attempt.
    Dispatch,
    /// Joins the queue of its account.
    Enqueue,
    /// Joins the queue of work that was accepted earlier, which goes first.
    EnqueueFirst,
    /// Gives the places of the attempt back.
    Free,
    /// Learns the size of completed work.
    Learn,
    /// Takes in delivered tokens.
    NoteProgress,
    /// Gives the refusal to the caller.
    Refuse,
}

/// What a caller asked for.
#[derive(Clone, Debug)]
pub(crate) enum Submission {
    Call(CallSubmission),
    Generate(GenerateSubmission),
}

/// One request of a caller at this instance.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) account: AccountId,
    pub(crate) arrived_at: Duration,
    /// Number of the newest attempt; 0 before the first.
    pub(crate) attempt: Attempt,
    pub(crate) avoid_domain: Option<FailureDomain>,
    pub(crate) avoid_targets: BTreeSet<TargetId>,
    pub(crate) deadline: Duration,
    /// Delivered tokens at the last failure.
    pub(crate) delivered_at_failure: u32,
    pub(crate) delivered_tokens: u32,
    /// Answer length expected on arrival, in tokens.
    pub(crate) expected_tokens: f64,
    /// Failures since the last progress.
    pub(crate) failure_count: u32,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) is_caller_gone: bool,
    pub(crate) is_short: bool,
    pub(crate) submission: Submission,
    /// Kind of work for the history.
    pub(crate) kind: Arc<str>,
    /// Longest wait from arrival until the first attempt starts.
    pub(crate) max_wait: Duration,
    /// Time from which the attempt may be replaced, while an engine of it is leaving.
    pub(crate) replace_at: Option<Duration>,
    pub(crate) may_have_run: bool,
    /// Attempt that is to replace the current one.
    pub(crate) replacement: Option<PendingReplacement>,
    pub(crate) priority: Priority,
    /// When tokens were last delivered, or the attempt started.
    pub(crate) progressed_at: Duration,
    pub(crate) request: RequestId,
    pub(crate) resource: Resource,
    pub(crate) retry_at: Duration,
    pub(crate) route: Option<Route>,
    /// Expected size, in tokens or milliseconds.
    pub(crate) size: f64,
    pub(crate) started_at: Duration,
    pub(crate) state: RequestState,
    /// Expected time of one token over the route, in milliseconds.
    pub(crate) token_ms: f64,
    /// Whether the newest attempt runs apart from other suspects.
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

    /// Whether the caller already has a part of the answer, so that it must not be refused while
    /// a route exists.
    pub(crate) fn is_accepted_stream(&self) -> bool {
        self.delivered_tokens > 0
    }

    pub(crate) fn is_non_repeatable(&self) -> bool {
        matches!(&self.submission, Submission::Call(call) if call.kind == OperationKind::NonRepeatable)
    }

    /// Takes a step of the chart and returns its actions.
    pub(crate) fn step(&mut self, event: RequestEvent) -> Result<Vec<RequestAction>, chart::Error> {
        let step = CHART.step(self.state, event)?;
        self.state = step.state;
        Ok(step.actions.clone())
    }

    /// Targets of the attempt.
    pub(crate) fn targets(&self) -> Vec<TargetId> {
        let stages = self.route.iter().flat_map(|route| &route.stages);
        stages.map(|stage| stage.target.clone()).collect()
    }

    /// What the request asks of a route.
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
    /// Tokens that the caller had when the request arrived.
    fn delivered_tokens(&self) -> u32 {
        match self {
            Self::Call(_) => 0,
            Self::Generate(generate) => generate.delivered_tokens,
        }
    }

    /// Model with the magnitude of the prompt, or operation.
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
