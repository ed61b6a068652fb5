use {
    super::*,
    record::{CallRecord, Records},
};

/// Records what callers, operators and back ends observed of the router, and checks the invariants
/// of the design page against it. Clones share the same records.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    records: Arc<Mutex<Records>>,
}

impl Recorder {
    /// Records that an edit was accepted as `version`.
    pub fn record_edit(&self, operation: &str, version: ConfigVersion) {
        self.lock().accepted.push((operation.into(), version));
    }

    /// Records that a call is about to be sent, and returns its number for `record_outcome`.
    #[must_use]
    pub fn record_call(&self, key: &str) -> usize {
        let mut records = self.lock();
        records.entry_count += 1;
        let started_at = records.entry_count;
        records.calls.push(CallRecord {
            started_at,
            key: key.into(),
            outcome: None,
        });
        records.calls.len() - 1
    }

    /// Records one run of a non-repeatable operation, as a service logged it.
    pub fn record_execution(&self, key: &str) {
        *self.lock().executed.entry(key.into()).or_default() += 1;
    }

    /// Records that the caller stopped reading an answer on purpose.
    pub fn record_abandoned(&self, request: &str) {
        let mut records = self.lock();
        let received = records.received.entry(request.into()).or_default();
        received.is_abandoned = true;
    }

    /// Records that the log of a service is lost. Runs may be missing from then on, but operations
    /// that ran twice are still detected.
    pub fn record_execution_log_lost(&self) {
        self.lock().is_execution_log_lost = true;
    }

    /// Records that a caller received the end of an answer.
    pub fn record_completion(&self, request: &str) {
        let mut records = self.lock();
        let received = records.received.entry(request.into()).or_default();
        received.is_complete = true;
    }

    /// Records the layers that an engine ran, as it logged them.
    pub fn record_layers(&self, runs: &[LayerRun]) {
        self.lock().layers.extend_from_slice(runs);
    }

    /// Records that the log of an engine is lost. Runs may be missing from then on, but layers that
    /// ran twice are still detected.
    pub fn record_engine_log_lost(&self) {
        self.lock().is_engine_log_lost = true;
    }

    /// Number of tokens that callers have received so far.
    #[must_use]
    pub fn token_count(&self) -> usize {
        let records = self.lock();
        records
            .received
            .values()
            .map(|received| received.tokens.len())
            .sum()
    }

    /// Records an error that a caller encountered.
    pub fn record_error(&self, text: String) {
        self.lock().errors.push(text);
    }

    /// Errors that callers encountered, except refusals that name other addresses. Failures may
    /// cause them; planned changes, such as a graceful shutdown, must not.
    #[must_use]
    pub fn errors(&self) -> Vec<String> {
        self.lock().errors.clone()
    }

    /// Newest version of an accepted edit; none if no edit was accepted.
    #[must_use]
    pub fn newest_version(&self) -> Option<ConfigVersion> {
        let records = self.lock();
        records.accepted.iter().map(|(_, version)| *version).max()
    }

    /// Records the configuration version that an instance reported.
    pub fn record_version(&self, instance: &str, version: ConfigVersion) {
        let mut records = self.lock();
        let versions = records.observed.entry(instance.into()).or_default();
        versions.push(version);
    }

    /// Records a token that the caller of `request` received. `event_request` is the request in the
    /// id of its event.
    pub fn record_token(&self, request: &str, event_request: &str, index: TokenIndex, text: &str) {
        let mut records = self.lock();
        let received = records.received.entry(request.into()).or_default();
        received
            .tokens
            .push((event_request.into(), index, text.into()));
    }

    /// Records the outcome that the caller of call number `call_number` received.
    pub fn record_outcome(&self, call_number: usize, outcome: CallOutcome) {
        let mut records = self.lock();
        records.entry_count += 1;
        let completed_at = records.entry_count;
        if let Some(call) = records.calls.get_mut(call_number) {
            call.outcome = Some((completed_at, outcome));
        }
    }

    /// Checks the invariants and returns a description of each violation.
    #[must_use]
    pub fn check(&self) -> Vec<String> {
        let records = self.lock().clone();
        let mut faults = Vec::new();
        check_layers(&records, &mut faults);
        check_answers(&records, &mut faults);
        check_calls(&records, &mut faults);
        check_versions(&records, &mut faults);
        faults
    }

    fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Checks that every layer of the model ran exactly once for each token. A later attempt generates
/// a token again that an earlier one did not finish. Therefore no attempt may run a layer of a
/// token twice, and one attempt must have run all layers of each token received.
fn check_layers(records: &Records, faults: &mut Vec<String>) {
    type Ranges = Vec<LayerRange>;
    let mut runs: BTreeMap<(&str, TokenIndex), BTreeMap<u32, Ranges>> = BTreeMap::new();
    let mut layer_count = 0;
    for run in &records.layers {
        let attempts = runs.entry((&run.request, run.index)).or_default();
        attempts.entry(run.attempt).or_default().push(run.layers);
        layer_count = layer_count.max(run.layers.end);
    }
    for ((request, index), attempts) in &mut runs {
        for (attempt, ranges) in attempts {
            // The logs of the engines were merged in arbitrary order.
            ranges.sort();
            let overlaps = |pair: &[LayerRange]| pair[1].start < pair[0].end;
            if ranges.windows(2).any(overlaps) {
                let subject = format!("{request} token {index} attempt {attempt}");
                faults.push(format!("{subject}: layers ran more than once: {ranges:?}"));
            }
        }
    }
    if layer_count == 0 || records.is_engine_log_lost {
        return;
    }
    for (request, received) in &records.received {
        for (_, index, _) in &received.tokens {
            let attempts = runs.get(&(&**request, *index));
            let covers = |ranges: &Ranges| LayerRange::covers(ranges, layer_count);
            if !attempts.is_some_and(|attempts| attempts.values().any(covers)) {
                faults.push(format!("{request} token {index}: not all layers ran"));
            }
        }
    }
}

/// Checks that each caller received the complete response to its own request.
fn check_answers(records: &Records, faults: &mut Vec<String>) {
    for (request, received) in &records.received {
        for (position, (event_request, index, _)) in received.tokens.iter().enumerate() {
            if event_request != request {
                faults.push(format!("{request}: received a token of {event_request}"));
            }
            if usize::try_from(*index) != Ok(position) {
                faults.push(format!(
                    "{request}: token {index} received at position {position}"
                ));
            }
        }
        if !received.is_complete && !received.is_abandoned {
            faults.push(format!("{request}: the answer was cut off"));
        }
    }
}

/// Checks that each non-repeatable operation ran at most once, and that the outcomes that callers
/// received are true.
fn check_calls(records: &Records, faults: &mut Vec<String>) {
    for (key, count) in &records.executed {
        if *count > 1 {
            faults.push(format!("key {key}: ran {count} times"));
        }
    }
    let mut by_key: BTreeMap<&str, Vec<&CallRecord>> = BTreeMap::new();
    for call in &records.calls {
        by_key.entry(&call.key).or_default().push(call);
    }
    for (key, calls) in by_key {
        let count = records.executed.get(key).copied().unwrap_or_default();
        let results: BTreeSet<&str> = calls.iter().filter_map(|call| call.result()).collect();
        if results.len() > 1 {
            faults.push(format!("key {key}: callers received different results"));
        }
        if count == 0 && !results.is_empty() && !records.is_execution_log_lost {
            faults.push(format!("key {key}: reported as run, but it did not run"));
        }
        if count > 0 && calls.iter().all(|call| call.not_run()) {
            faults.push(format!("key {key}: reported as not run, but it ran"));
        }
        if contradicts_final_outcome(&calls) {
            faults.push(format!(
                "key {key}: reported as not run after a final outcome"
            ));
        }
    }
}

/// Whether a call that was sent after a caller had received `ran` or `unknown` was reported as not
/// run. The reverse is allowed: a call reported as not run may be sent again and then run, even
/// before the first reply has arrived.
fn contradicts_final_outcome(calls: &[&CallRecord]) -> bool {
    let mut final_outcome_at = u64::MAX;
    for call in calls {
        if let Some((completed_at, CallOutcome::Ran(_) | CallOutcome::Unknown)) = &call.outcome {
            final_outcome_at = final_outcome_at.min(*completed_at);
        }
    }
    calls
        .iter()
        .any(|call| call.not_run() && call.started_at > final_outcome_at)
}

impl CallRecord {
    fn not_run(&self) -> bool {
        matches!(self.outcome, Some((_, CallOutcome::NotRun)))
    }

    fn result(&self) -> Option<&str> {
        match &self.outcome {
            Some((_, CallOutcome::Ran(body))) => Some(body),
            _ => None,
        }
    }
}

/// Checks that accepted edits are never reverted: no two edits have the same version, and the
/// version that an instance reports never decreases.
fn check_versions(records: &Records, faults: &mut Vec<String>) {
    let mut operations: BTreeMap<ConfigVersion, &OperationId> = BTreeMap::new();
    for (operation, version) in &records.accepted {
        if let Some(other) = operations.insert(*version, operation)
            && other != operation
        {
            faults.push(format!(
                "version {version}: assigned to both {operation} and {other}"
            ));
        }
    }
    for (instance, versions) in &records.observed {
        for pair in versions.windows(2) {
            if pair[1] < pair[0] {
                let (before, after) = (pair[0], pair[1]);
                faults.push(format!("{instance}: version {before} reverted to {after}"));
            }
        }
    }
}
