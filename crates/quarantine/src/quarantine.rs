use super::*;

/// Maximum number of fingerprints kept as harmless. Beyond it, the older half is removed.
const MAX_HARMLESS: usize = 4_096;

/// Fingerprints of requests that were running on targets when these crashed.
#[derive(Clone, Debug)]
pub struct Quarantine {
    /// Crashes that this instance saw, and records of peers that reached the limit.
    own: BTreeMap<Fingerprint, CrashRecord>,
    /// Records in each peer's last heartbeat.
    peers: BTreeMap<InstanceId, BTreeMap<Fingerprint, CrashRecord>>,
    /// Fingerprints that ran here without a crash.
    harmless: RecentSet,
    settings: QuarantineSettings,
    /// Requests on trial. Of each fingerprint that is not known to be harmless, only one request runs at a
    /// time.
    trials: BTreeMap<Fingerprint, RequestId>,
}

/// Crashes of requests with one fingerprint.
#[derive(Clone, Debug)]
struct CrashRecord {
    /// Distinct crashes, each as `target#incarnation`.
    crashes: BTreeSet<TargetId>,
    expires_at: Duration,
}

impl Quarantine {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            own: BTreeMap::new(),
            peers: BTreeMap::new(),
            harmless: RecentSet::new(MAX_HARMLESS),
            settings,
            trials: BTreeMap::new(),
        }
    }

    /// Whether a request must wait because another one with its fingerprint is on trial.
    #[must_use]
    pub fn must_wait(&self, now: Duration, fingerprint: Fingerprint, request: &RequestId) -> bool {
        let trial = self.trials.get(&fingerprint);
        trial.is_some_and(|on_trial| on_trial != request) && self.needs_trial(now, fingerprint)
    }

    /// Records that a request was dispatched. Unless its fingerprint is known to be harmless, it is on
    /// trial until it ends or has run for long enough.
    pub fn record_dispatch(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        request: &RequestId,
    ) {
        if self.needs_trial(now, fingerprint) {
            self.trials.insert(fingerprint, request.clone());
        }
    }

    /// Records that a request no longer runs on its targets, which ends its trial.
    pub fn end_trial(&mut self, fingerprint: Fingerprint, request: &RequestId) {
        if self.trials.get(&fingerprint) == Some(request) {
            self.trials.remove(&fingerprint);
        }
    }

    /// Records that a request completed, or ran for long enough, without a crash, and clears it if it was a
    /// suspect. A record that reached the limit stays.
    pub fn record_success(&mut self, now: Duration, fingerprint: Fingerprint, request: &RequestId) {
        self.end_trial(fingerprint, request);
        self.clear(fingerprint);
        self.harmless.insert(now, fingerprint, ());
    }

    /// Whether only one request with this fingerprint may run at a time: it is a suspect or not yet known
    /// to be harmless.
    fn needs_trial(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        !self.harmless.contains(fingerprint) || self.is_suspect(now, fingerprint)
    }

    /// Time for which requests with this fingerprint are still refused; none if they are not.
    #[must_use]
    pub fn blocked_for(&self, now: Duration, fingerprint: Fingerprint) -> Option<Duration> {
        let limit = self.settings.crash_count as usize;
        let blocking = self
            .records(now, fingerprint)
            .filter(|record| record.crashes.len() >= limit);
        let expires_at = blocking.map(|record| record.expires_at).max()?;
        Some(expires_at.saturating_sub(now))
    }

    /// Clears a suspect that ran in isolation without a crash. A record that reached the limit stays.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        let limit = self.settings.crash_count as usize;
        self.own
            .retain(|key, record| *key != fingerprint || record.crashes.len() >= limit);
    }

    /// Records that `target` crashed in this `incarnation` while it ran a request.
    ///
    /// A crash adds to earlier ones only if the attempt ran in isolation (`was_suspect`). When a failure
    /// domain is lost, several targets that run copies of a frequent request go down together, and that
    /// request must not be refused for it. Two crashes of one target count as two if it was restarted in
    /// between.
    pub fn record_crash(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        target: &TargetId,
        incarnation: Incarnation,
        was_suspect: bool,
    ) {
        self.harmless.remove(fingerprint);
        let mut crashes = BTreeSet::new();
        if was_suspect {
            for record in self.records(now, fingerprint) {
                crashes.extend(record.crashes.iter().cloned());
            }
        } else if self.own.contains_key(&fingerprint) {
            return;
        }
        crashes.insert(format!("{target}#{incarnation}").into());
        let record = CrashRecord {
            crashes,
            expires_at: now + Duration::from_millis(self.settings.expiry_ms),
        };
        self.own.insert(fingerprint, record);
    }

    /// Applies the reports in a peer's heartbeat, which replace those of its previous one. Records that
    /// reached the limit are kept even if the peer is lost.
    pub fn record_heartbeat(&mut self, now: Duration, peer: &InstanceId, reports: &[CrashReport]) {
        let mut records = BTreeMap::new();
        for report in reports {
            let remaining_ms = report.remaining_ms.min(self.settings.expiry_ms);
            let record = CrashRecord {
                crashes: report.crashes.clone(),
                expires_at: now + Duration::from_millis(remaining_ms),
            };
            if record.crashes.len() >= self.settings.crash_count as usize {
                self.merge_report(report.fingerprint, &record);
            }
            records.insert(report.fingerprint, record);
        }
        if records.is_empty() {
            self.peers.remove(peer);
        } else {
            self.peers.insert(peer.clone(), records);
        }
    }

    /// Whether a request with this fingerprint is a suspect, which must not run together with other
    /// suspects.
    #[must_use]
    pub fn is_suspect(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        self.records(now, fingerprint).next().is_some()
    }

    /// Returns the reports to send in heartbeats.
    #[must_use]
    pub fn reports(&self, now: Duration) -> Vec<CrashReport> {
        reports(now, &self.own)
    }

    /// Returns the reports for a peer that receives those of all others only through this instance: those
    /// of this instance and of all peers except that one.
    #[must_use]
    pub fn reports_for(&self, now: Duration, peer: &InstanceId) -> Vec<CrashReport> {
        let mut all = self.own.clone();
        for (other, records) in &self.peers {
            if other == peer {
                continue;
            }
            for (fingerprint, record) in records {
                let merged = all.entry(*fingerprint).or_insert_with(|| record.clone());
                merged.crashes.extend(record.crashes.iter().cloned());
                merged.expires_at = merged.expires_at.max(record.expires_at);
            }
        }
        reports(now, &all)
    }

    /// Removes expired records.
    pub fn tick(&mut self, now: Duration) {
        let oldest = now.saturating_sub(Duration::from_millis(self.settings.expiry_ms));
        self.harmless.expire(oldest);
        self.own.retain(|_, record| record.expires_at > now);
        for records in self.peers.values_mut() {
            records.retain(|_, record| record.expires_at > now);
        }
        self.peers.retain(|_, records| !records.is_empty());
    }

    /// Merges a record of a peer. Its expiry is extended only with a new crash: otherwise each heartbeat
    /// would extend it by the delay of the message, back and forth between instances.
    fn merge_report(&mut self, fingerprint: Fingerprint, record: &CrashRecord) {
        let own = self.own.entry(fingerprint).or_insert(CrashRecord {
            crashes: BTreeSet::new(),
            expires_at: Duration::ZERO,
        });
        if record.crashes.is_subset(&own.crashes) {
            return;
        }
        own.crashes.extend(record.crashes.iter().cloned());
        own.expires_at = own.expires_at.max(record.expires_at);
    }

    /// Returns the unexpired records for a fingerprint, of this instance and of each peer.
    fn records(
        &self,
        now: Duration,
        fingerprint: Fingerprint,
    ) -> impl Iterator<Item = &CrashRecord> {
        let peers = self.peers.values();
        let own = std::iter::once(&self.own);
        let found = own
            .chain(peers)
            .filter_map(move |all| all.get(&fingerprint));
        found.filter(move |record| record.expires_at > now)
    }
}

/// Converts the unexpired records to reports for peers.
fn reports(now: Duration, records: &BTreeMap<Fingerprint, CrashRecord>) -> Vec<CrashReport> {
    let mut reports = Vec::new();
    for (fingerprint, record) in records {
        if record.expires_at <= now {
            continue;
        }
        reports.push(CrashReport {
            crashes: record.crashes.clone(),
            fingerprint: *fingerprint,
            remaining_ms: (record.expires_at - now).as_millis() as u64,
        });
    }
    reports
}
