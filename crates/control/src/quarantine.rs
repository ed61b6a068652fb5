use super::*;

/// Requests, by content, that were running on targets when these crashed.
#[derive(Clone, Debug)]
pub struct Quarantine {
    /// Crashes that this instance saw, and entries of peers that reached the limit.
    own: BTreeMap<Fingerprint, Entry>,
    /// Entries of each peer's last heartbeat.
    peers: BTreeMap<InstanceId, BTreeMap<Fingerprint, Entry>>,
    settings: QuarantineSettings,
}

#[derive(Clone, Debug)]
struct Entry {
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
            settings,
        }
    }

    /// Time until requests with this fingerprint may come back, if they are refused now.
    #[must_use]
    pub fn blocked_for(&self, now: Duration, fingerprint: Fingerprint) -> Option<Duration> {
        let (crashes, expires_at) = self.seen(now, fingerprint);
        (crashes.len() >= self.settings.crash_count as usize)
            .then(|| expires_at.saturating_sub(now))
    }

    /// Clears a suspect that ran alone without a crash. An entry that reached the limit stays.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        let limit = self.settings.crash_count as usize;
        self.own
            .retain(|key, entry| *key != fingerprint || entry.crashes.len() >= limit);
    }

    /// Notes that a process of `target` crashed while it ran a request. Two crashes of one target
    /// count as two if its process was restarted in between.
    pub fn crashed(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        target: &TargetId,
        incarnation: Incarnation,
    ) {
        let process = format!("{target}#{incarnation}").into();
        let expires_at = now + Duration::from_millis(self.settings.expiry_ms);
        let entry = self.own.entry(fingerprint).or_insert(Entry {
            crashes: BTreeSet::new(),
            expires_at,
        });
        entry.crashes.insert(process);
        entry.expires_at = expires_at;
    }

    /// Takes in the entries of a peer's heartbeat, which replace those of its last one. Entries at
    /// the limit are kept even if the peer is lost.
    pub fn heartbeat_received(
        &mut self,
        now: Duration,
        peer: &InstanceId,
        reports: &[CrashReport],
    ) {
        let mut entries = BTreeMap::new();
        for report in reports {
            let remaining_ms = report.remaining_ms.min(self.settings.expiry_ms);
            let entry = Entry {
                crashes: report.crashes.clone(),
                expires_at: now + Duration::from_millis(remaining_ms),
            };
            if entry.crashes.len() >= self.settings.crash_count as usize {
                self.adopt(report.fingerprint, &entry);
            }
            entries.insert(report.fingerprint, entry);
        }
        if entries.is_empty() {
            self.peers.remove(peer);
        } else {
            self.peers.insert(peer.clone(), entries);
        }
    }

    /// Whether a request with this fingerprint must run apart from other suspects.
    #[must_use]
    pub fn is_suspect(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        !self.seen(now, fingerprint).0.is_empty()
    }

    /// Entries for heartbeats.
    #[must_use]
    pub fn reports(&self, now: Duration) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        for (fingerprint, entry) in &self.own {
            if entry.expires_at <= now {
                continue;
            }
            reports.push(CrashReport {
                crashes: entry.crashes.clone(),
                fingerprint: *fingerprint,
                remaining_ms: (entry.expires_at - now).as_millis() as u64,
            });
        }
        reports
    }

    /// Forgets expired entries.
    pub fn tick(&mut self, now: Duration) {
        self.own.retain(|_, entry| entry.expires_at > now);
        for entries in self.peers.values_mut() {
            entries.retain(|_, entry| entry.expires_at > now);
        }
        self.peers.retain(|_, entries| !entries.is_empty());
    }

    /// Takes over an entry of a peer. Its end moves only with a new crash: with each repetition it
    /// would move by the delay of the heartbeat, back and forth between instances.
    fn adopt(&mut self, fingerprint: Fingerprint, entry: &Entry) {
        let own = self.own.entry(fingerprint).or_insert(Entry {
            crashes: BTreeSet::new(),
            expires_at: Duration::ZERO,
        });
        if entry.crashes.is_subset(&own.crashes) {
            return;
        }
        own.crashes.extend(entry.crashes.iter().cloned());
        own.expires_at = own.expires_at.max(entry.expires_at);
    }

    fn seen(&self, now: Duration, fingerprint: Fingerprint) -> (BTreeSet<&TargetId>, Duration) {
        let mut crashes = BTreeSet::new();
        let mut expires_at = now;
        let own = self.own.get(&fingerprint);
        let of_peers = self
            .peers
            .values()
            .filter_map(|entries| entries.get(&fingerprint));
        for entry in own.into_iter().chain(of_peers) {
            if entry.expires_at > now {
                crashes.extend(&entry.crashes);
                expires_at = expires_at.max(entry.expires_at);
            }
        }
        (crashes, expires_at)
    }
}
