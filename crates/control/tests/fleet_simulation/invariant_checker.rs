//! Records what happens in a schedule, and checks the invariants that the router guarantees.

use super::*;

/// Maximum number of store requests that an instance may send in any second: periodic reads, and a
/// few for each call, edit and order.
const MAX_STORE_REQUESTS_PER_S: usize = 60;

#[derive(Debug, Default)]
pub struct RequestHistory {
    answers: Vec<(Duration, String)>,
    at: Duration,
    /// Whether its instance was lost, so that its caller cannot get an answer.
    is_lost: bool,
    key: Option<String>,
    node: usize,
    runs: Vec<u64>,
    tokens: Vec<String>,
}

#[derive(Debug, Default)]
pub struct InvariantChecker {
    accepted: BTreeMap<u64, (String, Duration)>,
    histories: BTreeMap<RequestId, RequestHistory>,
    /// First violation of each invariant, by the name of the invariant.
    pub violations: BTreeMap<&'static str, String>,
    crashes: Vec<(usize, Duration)>,
    incarnations: BTreeMap<TargetId, u64>,
    leaving_since: BTreeMap<TargetId, Duration>,
    /// Sequence number of the latest run.
    sequence: u64,
    store_requests: BTreeMap<usize, Vec<Duration>>,
    versions: BTreeMap<(usize, u64), u64>,
}

impl InvariantChecker {
    fn record_violation(&mut self, name: &'static str, detail: String) {
        self.violations.entry(name).or_insert(detail);
    }

    pub fn record_submission(
        &mut self,
        at: Duration,
        node: usize,
        request: &str,
        key: Option<&str>,
    ) {
        let history = self.histories.entry(request.into()).or_default();
        (history.at, history.node, history.is_lost) = (at, node, false);
        history.key = key.map(Into::into);
    }

    pub fn key_of(&self, request: &RequestId) -> Option<String> {
        self.histories
            .get(request)
            .and_then(|history| history.key.clone())
    }

    pub fn token_count(&self, request: &RequestId) -> u32 {
        self.histories
            .get(request)
            .map_or(0, |history| history.tokens.len() as u32)
    }

    /// Requests without an answer whose callers were connected to the lost instance `node`.
    pub fn orphans(&self, node: usize) -> Vec<RequestId> {
        let open = self
            .histories
            .iter()
            .filter(|(_, one)| one.node == node && one.is_lost && one.answers.is_empty());
        open.map(|(request, _)| request.clone()).collect()
    }

    pub fn record_lost_instance(&mut self, node: usize) {
        for history in self.histories.values_mut() {
            history.is_lost |= history.node == node && history.answers.is_empty();
        }
    }

    pub fn record_run(&mut self, request: &RequestId, key: Option<String>) {
        self.sequence += 1;
        let sequence = self.sequence;
        if let Some(history) = self.histories.get_mut(request) {
            history.runs.push(sequence);
        }
        let Some(key) = key else { return };
        let count: usize = self.with_key(&key).map(|one| one.runs.len()).sum();
        if count > 1 {
            self.record_violation(
                "at most one run",
                format!("key {key} ran {count} times, last for {request}"),
            );
        }
        let first_answer = self
            .histories
            .get(request)
            .and_then(|history| history.answers.first().cloned());
        if let Some((_, answer)) = first_answer.filter(|(_, answer)| answer.starts_with("not run"))
        {
            self.record_violation(
                "correct `not run` answers",
                format!("{request} ran after the answer {answer}"),
            );
        }
    }

    fn with_key<'a>(&'a self, key: &'a str) -> impl Iterator<Item = &'a RequestHistory> {
        self.histories
            .values()
            .filter(move |history| history.key.as_deref() == Some(key))
    }

    pub fn record_call_answer(
        &mut self,
        now: Duration,
        request: &RequestId,
        outcome: &CallOutcome,
    ) {
        match outcome {
            CallOutcome::KeyMismatch => self.record_final_answer(now, request, "mismatch", None),
            CallOutcome::NotRun(refusal) => {
                let has_run = self
                    .histories
                    .get(request)
                    .is_some_and(|history| !history.runs.is_empty());
                // A refusal because of the store applies only to this submission of the key.
                let is_of_key = refusal.kind != types::RefusalKind::StoreUnavailable;
                let key = self.key_of(request).filter(|_| is_of_key);
                let key_ran =
                    key.is_some_and(|key| self.with_key(&key).any(|one| !one.runs.is_empty()));
                if has_run || key_ran {
                    self.record_violation(
                        "correct `not run` answers",
                        format!("{request} got the answer {refusal:?} although it had run"),
                    );
                }
                self.record_final_answer(now, request, "not run", Some(refusal));
            }
            CallOutcome::Ran(_) => self.record_final_answer(now, request, "ran", None),
            CallOutcome::Unknown => self.record_final_answer(now, request, "unknown", None),
        }
    }

    pub fn record_final_answer(
        &mut self,
        now: Duration,
        request: &RequestId,
        kind: &str,
        refusal: Option<&Refusal>,
    ) {
        let text = format!("{kind} {refusal:?}");
        if refusal.is_some_and(|refusal| refusal.retry_after.is_zero()) {
            self.record_violation(
                "retry time in refusals",
                format!("{request} got the answer {text}"),
            );
        }
        let Some(history) = self.histories.get_mut(request) else {
            return self
                .record_violation("one final answer", format!("{request} was never submitted"));
        };
        if history.is_lost {
            return;
        }
        history.answers.push((now, text));
        if history.answers.len() > 1 {
            let detail = format!("{request} got {:?}", history.answers);
            self.record_violation("one final answer", detail);
        }
    }

    pub fn check_route(&mut self, request: &RequestId, is_complete: bool) {
        if !is_complete {
            self.record_violation(
                "complete routes",
                format!("{request} was sent over a route with missing layers"),
            );
        }
    }

    pub fn record_token(&mut self, request: &RequestId, current: u32, text: &str) {
        let Some(history) = self.histories.get_mut(request) else {
            return;
        };
        let expected = format!("{current}:{}", history.tokens.len());
        history.tokens.push(text.into());
        if expected != text {
            self.record_violation(
                "output of the current attempt",
                format!("{request} got {text} instead of {expected}"),
            );
        }
    }

    pub fn record_listing(&mut self, now: Duration, listings: &[Listing]) {
        for listing in listings.iter().filter(|listing| listing.leaving) {
            let current = self.incarnations.get(&listing.id).copied().unwrap_or(1);
            if listing.incarnation >= current {
                self.leaving_since.entry(listing.id.clone()).or_insert(now);
            }
        }
    }

    pub fn record_target_start(&mut self, target: &TargetId, incarnation: u64) {
        self.leaving_since.remove(target);
        self.incarnations.insert(target.clone(), incarnation);
    }

    pub fn check_dispatch(&mut self, now: Duration, request: &RequestId, targets: &[TargetId]) {
        for target in targets {
            let Some(at) = self.leaving_since.get(target).copied() else {
                continue;
            };
            if now > at + Duration::from_secs(3) {
                self.record_violation(
                    "no work for leaving targets",
                    format!("{request} went to {target} at {now:?}, leaving since {at:?}"),
                );
            }
        }
    }

    pub fn record_crash(&mut self, now: Duration, node: usize) {
        self.crashes.push((node, now));
    }

    pub fn record_store_request(&mut self, now: Duration, node: usize) {
        self.store_requests.entry(node).or_default().push(now);
    }

    pub fn record_accepted_edit(&mut self, now: Duration, operation: &str, version: u64) {
        let (first, _) = self
            .accepted
            .entry(version)
            .or_insert((operation.into(), now));
        if first != operation {
            let detail = format!("{first} and {operation} both became version {version}");
            self.record_violation("accepted edits are kept", detail);
        }
    }

    /// Checks the lists of an instance after an event: no version goes back, and accepted edits are
    /// in force within 4 s.
    pub fn check_lists(
        &mut self,
        now: Duration,
        index: usize,
        local: Duration,
        instance: &Instance,
    ) {
        let Some(router) = &instance.router else {
            return;
        };
        let version = router.lists().version;
        let last = self.versions.insert((index, instance.incarnation), version);
        if last.is_some_and(|last| last > version) {
            self.record_violation(
                "accepted edits are kept",
                format!("n{index} went back to version {version} at {now:?}"),
            );
        }
        let old = self
            .accepted
            .values()
            .filter(|(_, at)| now > *at + Duration::from_secs(4));
        let missing = old
            .map(|(operation, _)| operation.clone())
            .find(|operation| !contains_operation(router.lists(), operation));
        if let Some(operation) =
            missing.filter(|_| router.node().is_none_or(|node| node.status(local).ready))
        {
            let detail = format!(
                "n{index}, up since {:?}, admits work at {now:?} without {operation}",
                instance.running_since
            );
            self.record_violation("accepted edits take effect", detail);
        }
    }

    /// Checks at the end of a schedule, when all faults have ended.
    pub fn check_end(&mut self, instances: &[Instance], is_connected: bool) {
        let asked: Vec<(RequestId, usize, bool)> = self
            .histories
            .iter()
            .map(|(id, history)| (id.clone(), history.answers.len(), history.is_lost))
            .collect();
        for (request, count, is_lost) in asked {
            if count == 0 && !is_lost {
                self.record_violation("one final answer", format!("{request} got none"));
            }
        }
        for (index, instance) in instances.iter().enumerate() {
            let Some(router) = &instance.router else {
                continue;
            };
            if router
                .node()
                .is_some_and(|node| node.unexpected_count() > 0)
            {
                self.record_violation(
                    "charts list all events",
                    format!("n{index} got an event that a state chart does not list"),
                );
            }
            let operations: Vec<String> = self.accepted.values().map(|one| one.0.clone()).collect();
            for operation in operations
                .iter()
                .filter(|operation| !contains_operation(router.lists(), operation))
            {
                self.record_violation(
                    "accepted edits are kept",
                    format!("n{index} lacks {operation} at the end"),
                );
            }
        }
        for (index, times) in self.store_requests.clone() {
            let highest = times.iter().enumerate().map(|(first, at)| {
                times[first..].partition_point(|time| *time < *at + Duration::from_secs(1))
            });
            let highest = highest.max().unwrap_or_default();
            if highest > MAX_STORE_REQUESTS_PER_S {
                self.record_violation(
                    "bounded store requests",
                    format!("n{index} sent {highest} in a second"),
                );
            }
        }
        self.check_crashes(is_connected);
    }

    /// Checks the loss of targets to a request that crashes them: at most two per instance, and no
    /// more at any instance once heartbeats have spread the second loss.
    fn check_crashes(&mut self, is_connected: bool) {
        for node in 0..INSTANCE_COUNT {
            let count = self.crashes.iter().filter(|(by, _)| *by == node).count();
            if count > 2 {
                self.record_violation(
                    "bounded loss of targets",
                    format!("{count} were lost to one request at n{node}"),
                );
            }
        }
        let Some((_, second)) = self.crashes.get(1).copied() else {
            return;
        };
        let late = self
            .crashes
            .iter()
            .find(|(_, at)| *at > second + Duration::from_secs(1));
        if let Some(late) = late.filter(|_| is_connected).copied() {
            self.record_violation(
                "bounded loss of targets",
                format!("{late:?} came after the second loss at {second:?}"),
            );
        }
    }
}

fn contains_operation(lists: &OperatorLists, operation: &str) -> bool {
    lists.accounts.contains_key(operation) || lists.plans.contains_key(operation)
}
