use super::*;

/// Most fingerprints remembered as harmless; the older half is forgotten beyond it.
const MAX_HARMLESS: usize = 4_096;

/// Requests, by content, that were running on targets when these crashed.
#[derive(Clone, Debug)]
pub struct Quarantine {
    /// Crashes that this instance saw, and entries of peers that reached the limit.
    own: BTreeMap<Fingerprint, CrashRecord>,
    /// Entries of each peer's last heartbeat.
    peers: BTreeMap<InstanceId, BTreeMap<Fingerprint, CrashRecord>>,
    /// Fingerprints that ran here without a crash, with the time of the last such run.
    harmless: BTreeMap<Fingerprint, Duration>,
    settings: QuarantineSettings,
    /// Requests on trial: of each fingerprint that is not known to be harmless, one runs at a time.
    trials: BTreeMap<Fingerprint, RequestId>,
}

#[derive(Clone, Debug)]
struct CrashRecord {
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
            harmless: BTreeMap::new(),
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

    /// Notes that a request was dispatched. If nothing shows that its fingerprint is harmless, it
    /// is on trial until it ends or has run for long enough.
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

    /// Notes that a request left its targets.
    pub fn end_trial(&mut self, fingerprint: Fingerprint, request: &RequestId) {
        if self.trials.get(&fingerprint) == Some(request) {
            self.trials.remove(&fingerprint);
        }
    }

    /// Notes that a request ran for long enough, or to its end, without a crash, and clears it if
    /// it was a suspect. An entry that reached the limit stays.
    pub fn record_success(&mut self, now: Duration, fingerprint: Fingerprint, request: &RequestId) {
        self.end_trial(fingerprint, request);
        self.clear(fingerprint);
        self.harmless.insert(fingerprint, now);
        if self.harmless.len() > MAX_HARMLESS {
            let mut times: Vec<Duration> = self.harmless.values().copied().collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.harmless.retain(|_, at| *at > median);
        }
    }

    fn needs_trial(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        !self.harmless.contains_key(&fingerprint) || self.is_suspect(now, fingerprint)
    }

    /// Time until requests with this fingerprint may come back, if they are refused now.
    #[must_use]
    pub fn blocked_for(&self, now: Duration, fingerprint: Fingerprint) -> Option<Duration> {
        let limit = self.settings.crash_count as usize;
        let blocking = self
            .records(now, fingerprint)
            .filter(|record| record.crashes.len() >= limit);
        let expires_at = blocking.map(|record| record.expires_at).max()?;
        Some(expires_at.saturating_sub(now))
    }

    /// Clears a suspect that ran alone without a crash. An entry that reached the limit stays.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        let limit = self.settings.crash_count as usize;
        self.own
            .retain(|key, record| *key != fingerprint || record.crashes.len() >= limit);
    }

    /// Notes that a process of `target` crashed while it ran a request.
    ///
    /// Only a crash of an attempt that ran apart, `was_suspect`, adds to an earlier one. When a
    /// failure domain is lost, copies of a frequent request run on several targets that go down
    /// together, and such a request must not be refused for it. Two crashes of one target count as
    /// two if its process was restarted in between.
    pub fn record_crash(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        target: &TargetId,
        incarnation: Incarnation,
        was_suspect: bool,
    ) {
        self.harmless.remove(&fingerprint);
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

    /// Takes in the entries of a peer's heartbeat, which replace those of its last one. Entries at
    /// the limit are kept even if the peer is lost.
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

    /// Whether a request with this fingerprint must run apart from other suspects.
    #[must_use]
    pub fn is_suspect(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        self.records(now, fingerprint).next().is_some()
    }

    /// Entries for heartbeats.
    #[must_use]
    pub fn reports(&self, now: Duration) -> Vec<CrashReport> {
        reports(now, &self.own)
    }

    /// Entries for a peer that hears of the others only from this instance: those of this instance
    /// and of all peers but that one.
    #[must_use]
    pub fn reports_for(&self, now: Duration, peer: &InstanceId) -> Vec<CrashReport> {
        let mut all = self.own.clone();
        for (other, records) in &self.peers {
            if other == peer {
                continue;
            }
            for (fingerprint, record) in records {
                let known = all.entry(*fingerprint).or_insert_with(|| record.clone());
                known.crashes.extend(record.crashes.iter().cloned());
                known.expires_at = known.expires_at.max(record.expires_at);
            }
        }
        reports(now, &all)
    }

    /// Forgets expired entries.
    pub fn tick(&mut self, now: Duration) {
        let oldest = now.saturating_sub(Duration::from_millis(self.settings.expiry_ms));
        self.harmless.retain(|_, at| *at >= oldest);
        self.own.retain(|_, record| record.expires_at > now);
        for records in self.peers.values_mut() {
            records.retain(|_, record| record.expires_at > now);
        }
        self.peers.retain(|_, records| !records.is_empty());
    }

    /// Takes over an entry of a peer. Its end moves only with a new crash: with each repetition it
    /// would move by the delay of the heartbeat, back and forth between instances.
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

    /// Entries of this instance and of each peer that have not expired.
    fn records(
        &self,
        now: Duration,
        fingerprint: Fingerprint,
    ) -> impl Iterator<Item = &CrashRecord> {
        let of_peers = self.peers.values();
        let own = std::iter::once(&self.own);
        let found = own
            .chain(of_peers)
            .filter_map(move |all| all.get(&fingerprint));
        found.filter(move |record| record.expires_at > now)
    }
}

/// Entries that have not expired, in the form that peers take.
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
