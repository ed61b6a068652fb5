//! What happened in a schedule, and the invariants of section 1 of the design page over it.

use super::*;

/// Store requests that an instance may send in any second: reads on their period, and a few for
/// each call, edit and order.
const STORE_MAX_COUNT: usize = 60;

#[derive(Debug, Default)]
pub struct Asked {
    answers: Vec<(Duration, String)>,
    at: Duration,
    /// Whether its instance was lost, so that no answer can reach its caller.
    is_lost: bool,
    key: Option<String>,
    node: usize,
    runs: Vec<u64>,
    tokens: Vec<String>,
}

#[derive(Debug, Default)]
pub struct Facts {
    accepted: BTreeMap<u64, (String, Duration)>,
    asked: BTreeMap<RequestId, Asked>,
    /// First breach of each invariant, by its name.
    pub broken: BTreeMap<&'static str, String>,
    crashes: Vec<(usize, Duration)>,
    incarnations: BTreeMap<TargetId, u64>,
    learned: BTreeMap<TargetId, Duration>,
    /// Order of runs and answers.
    step: u64,
    stored: BTreeMap<usize, Vec<Duration>>,
    versions: BTreeMap<(usize, u64), u64>,
}

impl Facts {
    fn breach(&mut self, name: &'static str, detail: String) {
        self.broken.entry(name).or_insert(detail);
    }

    pub fn submitted(&mut self, at: Duration, node: usize, request: &str, key: Option<&str>) {
        let asked = self.asked.entry(request.into()).or_default();
        (asked.at, asked.node, asked.is_lost) = (at, node, false);
        asked.key = key.map(Into::into);
    }

    pub fn key_of(&self, request: &RequestId) -> Option<String> {
        self.asked.get(request).and_then(|asked| asked.key.clone())
    }

    pub fn tokens(&self, request: &RequestId) -> u32 {
        self.asked
            .get(request)
            .map_or(0, |asked| asked.tokens.len() as u32)
    }

    /// Requests whose callers lost their instance and have no answer.
    pub fn orphans(&self, node: usize) -> Vec<RequestId> {
        let open = self
            .asked
            .iter()
            .filter(|(_, one)| one.node == node && one.is_lost && one.answers.is_empty());
        open.map(|(request, _)| request.clone()).collect()
    }

    pub fn instance_lost(&mut self, node: usize) {
        for asked in self.asked.values_mut() {
            asked.is_lost |= asked.node == node && asked.answers.is_empty();
        }
    }

    pub fn ran(&mut self, request: &RequestId, key: Option<String>) {
        self.step += 1;
        let step = self.step;
        if let Some(asked) = self.asked.get_mut(request) {
            asked.runs.push(step);
        }
        let Some(key) = key else { return };
        let count: usize = self.of_key(&key).map(|one| one.runs.len()).sum();
        if count > 1 {
            self.breach(
                "at most one run",
                format!("key {key} ran {count} times, last for {request}"),
            );
        }
        let told = self
            .asked
            .get(request)
            .and_then(|one| one.answers.first().cloned());
        if let Some((_, answer)) = told.filter(|(_, answer)| answer.starts_with("not run")) {
            self.breach(
                "true `not run`",
                format!("{request} ran after the answer {answer}"),
            );
        }
    }

    fn of_key<'a>(&'a self, key: &'a str) -> impl Iterator<Item = &'a Asked> {
        self.asked
            .values()
            .filter(move |one| one.key.as_deref() == Some(key))
    }

    pub fn call_answered(&mut self, now: Duration, request: &RequestId, outcome: &CallOutcome) {
        match outcome {
            CallOutcome::KeyMismatch => self.final_answer(now, request, "mismatch", None),
            CallOutcome::NotRun(refusal) => {
                let has_run = self
                    .asked
                    .get(request)
                    .is_some_and(|one| !one.runs.is_empty());
                // A refusal because of the store speaks only of this submission of the key.
                let is_of_key = refusal.kind != types::RefusalKind::StoreUnavailable;
                let key = self.key_of(request).filter(|_| is_of_key);
                let key_ran =
                    key.is_some_and(|key| self.of_key(&key).any(|one| !one.runs.is_empty()));
                if has_run || key_ran {
                    self.breach(
                        "true `not run`",
                        format!("{request} was told {refusal:?} and had run"),
                    );
                }
                self.final_answer(now, request, "not run", Some(refusal));
            }
            CallOutcome::Ran(_) => self.final_answer(now, request, "ran", None),
            CallOutcome::Unknown => self.final_answer(now, request, "unknown", None),
        }
    }

    pub fn final_answer(
        &mut self,
        now: Duration,
        request: &RequestId,
        kind: &str,
        refusal: Option<&Refusal>,
    ) {
        let text = format!("{kind} {refusal:?}");
        if refusal.is_some_and(|refusal| refusal.retry_after.is_zero()) {
            self.breach("time to come back", format!("{request} was told {text}"));
        }
        let Some(asked) = self.asked.get_mut(request) else {
            return self.breach("one final answer", format!("{request} was never submitted"));
        };
        if asked.is_lost {
            return;
        }
        asked.answers.push((now, text));
        if asked.answers.len() > 1 {
            let detail = format!("{request} got {:?}", asked.answers);
            self.breach("one final answer", detail);
        }
    }

    pub fn route(&mut self, request: &RequestId, is_complete: bool) {
        if !is_complete {
            self.breach(
                "complete routes",
                format!("{request} was sent over a route with missing layers"),
            );
        }
    }

    pub fn token(&mut self, request: &RequestId, current: u32, text: &str) {
        let Some(asked) = self.asked.get_mut(request) else {
            return;
        };
        let expected = format!("{current}:{}", asked.tokens.len());
        asked.tokens.push(text.into());
        if expected != text {
            self.breach(
                "output of the current attempt",
                format!("{request} got {text} instead of {expected}"),
            );
        }
    }

    pub fn listing_read(&mut self, now: Duration, listings: &[Listing]) {
        for listing in listings.iter().filter(|listing| listing.leaving) {
            let current = self.incarnations.get(&listing.id).copied().unwrap_or(1);
            if listing.incarnation >= current {
                self.learned.entry(listing.id.clone()).or_insert(now);
            }
        }
    }

    pub fn target_started(&mut self, target: &TargetId, incarnation: u64) {
        self.learned.remove(target);
        self.incarnations.insert(target.clone(), incarnation);
    }

    pub fn dispatched(&mut self, now: Duration, request: &RequestId, targets: &[TargetId]) {
        for target in targets {
            let Some(at) = self.learned.get(target).copied() else {
                continue;
            };
            if now > at + Duration::from_secs(3) {
                self.breach(
                    "no work for leaving targets",
                    format!("{request} went to {target} at {now:?}, leaving since {at:?}"),
                );
            }
        }
    }

    pub fn crashed(&mut self, now: Duration, node: usize) {
        self.crashes.push((node, now));
    }

    pub fn stored(&mut self, now: Duration, node: usize) {
        self.stored.entry(node).or_default().push(now);
    }

    pub fn accepted(&mut self, now: Duration, operation: &str, version: u64) {
        let (first, _) = self
            .accepted
            .entry(version)
            .or_insert((operation.into(), now));
        if first != operation {
            let detail = format!("{first} and {operation} both became version {version}");
            self.breach("edits stay", detail);
        }
    }

    /// Checks the lists of an instance after an event.
    pub fn configuration(&mut self, now: Duration, index: usize, local: Duration, entry: &Entry) {
        let Some(decide) = &entry.decide else { return };
        let version = decide.lists().version;
        let last = self.versions.insert((index, entry.incarnation), version);
        if last.is_some_and(|last| last > version) {
            self.breach(
                "edits stay",
                format!("n{index} went back to version {version} at {now:?}"),
            );
        }
        let old = self
            .accepted
            .values()
            .filter(|(_, at)| now > *at + Duration::from_secs(4));
        let missing = old
            .map(|(operation, _)| operation.clone())
            .find(|operation| !has(decide.lists(), operation));
        if let Some(operation) =
            missing.filter(|_| decide.node().is_none_or(|node| node.status(local).ready))
        {
            let detail = format!(
                "n{index}, up since {:?}, admits work at {now:?} without {operation}",
                entry.since
            );
            self.breach("edits in force", detail);
        }
    }

    /// Checks at the end of a schedule, when all faults are over.
    pub fn finish(&mut self, entries: &[Entry], is_connected: bool) {
        let asked: Vec<(RequestId, usize, bool)> = self
            .asked
            .iter()
            .map(|(id, one)| (id.clone(), one.answers.len(), one.is_lost))
            .collect();
        for (request, count, is_lost) in asked {
            if count == 0 && !is_lost {
                self.breach("one final answer", format!("{request} got none"));
            }
        }
        for (index, entry) in entries.iter().enumerate() {
            let Some(decide) = &entry.decide else {
                continue;
            };
            if decide
                .node()
                .is_some_and(|node| node.unexpected_count() > 0)
            {
                self.breach(
                    "charts list all events",
                    format!("n{index} met an unlisted event"),
                );
            }
            let operations: Vec<String> = self.accepted.values().map(|one| one.0.clone()).collect();
            for operation in operations
                .iter()
                .filter(|operation| !has(decide.lists(), operation))
            {
                self.breach(
                    "edits stay",
                    format!("n{index} lacks {operation} at the end"),
                );
            }
        }
        for (index, times) in self.stored.clone() {
            let most = times.iter().enumerate().map(|(first, at)| {
                times[first..].partition_point(|time| *time < *at + Duration::from_secs(1))
            });
            let most = most.max().unwrap_or_default();
            if most > STORE_MAX_COUNT {
                self.breach(
                    "bounded store requests",
                    format!("n{index} sent {most} in a second"),
                );
            }
        }
        self.check_crashes(is_connected);
    }

    /// Section 12: two targets per instance, and none once the second loss was in heartbeats.
    fn check_crashes(&mut self, is_connected: bool) {
        for node in 0..ENTRY_COUNT {
            let count = self.crashes.iter().filter(|(by, _)| *by == node).count();
            if count > 2 {
                self.breach(
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
            self.breach(
                "bounded loss of targets",
                format!("{late:?} came after the second loss at {second:?}"),
            );
        }
    }
}

fn has(lists: &OperatorLists, operation: &str) -> bool {
    lists.accounts.contains_key(operation) || lists.plans.contains_key(operation)
}
