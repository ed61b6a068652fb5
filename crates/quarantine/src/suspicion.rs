use super::*;

/// The case against one part or request: all crashes that it may have caused.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// Accounts that are refused; empty if all are. After one crash, those of its victims; after several,
    /// those with a victim in each, because what such an account sends may be the cause.
    pub(crate) accounts: BTreeSet<Fingerprint>,
    /// Parts that all victims have. Only requests with all of them are refused, because each of them may
    /// be the cause.
    pub(crate) common_parts: BTreeSet<Fingerprint>,
    /// Number of crashes, with those that came close together counted as one.
    pub(crate) crash_count: u32,
    /// Whether one request was a victim of every crash, so that its other content may be the cause.
    pub(crate) is_single_request: bool,
    pub(crate) last_crash: CrashId,
    pub(crate) last_crash_at: Duration,
    /// Latest point of an answer at which a target crashed.
    pub(crate) latest_phase: CrashPhase,
    /// Number of different requests that were interrupted.
    pub(crate) request_count: usize,
}

/// Victims of one crash.
struct Crash<'a> {
    accounts: BTreeSet<Fingerprint>,
    at: Duration,
    id: &'a CrashId,
    requests: BTreeSet<Fingerprint>,
}

impl Suspicion {
    /// Examines victims; none if there are none. Crashes within `crash_gap` count as one.
    pub(crate) fn new<'a>(
        victims: impl Iterator<Item = (&'a (CrashId, Fingerprint), &'a CrashVictim)>,
        crash_gap: Duration,
    ) -> Option<Self> {
        let mut crashes: BTreeMap<&CrashId, Crash> = BTreeMap::new();
        let mut common_parts: Option<BTreeSet<Fingerprint>> = None;
        let mut latest_phase = CrashPhase::BeforeHead;
        let mut requests = BTreeSet::new();
        for ((id, request), victim) in victims {
            latest_phase = latest_phase.max(victim.phase);
            requests.insert(*request);
            let suspects = victim.suspects();
            common_parts = Some(match common_parts {
                None => suspects,
                Some(common) => &common & &suspects,
            });
            let crash = crashes.entry(id).or_insert_with(|| Crash {
                accounts: BTreeSet::new(),
                at: victim.at,
                id,
                requests: BTreeSet::new(),
            });
            crash.at = crash.at.min(victim.at);
            crash.accounts.insert(victim.account);
            crash.requests.insert(*request);
        }
        let mut crashes: Vec<Crash> = crashes.into_values().collect();
        crashes.sort_by_key(|crash| crash.at);
        let last = crashes.last()?;
        let crash_count = count_separate(&crashes, crash_gap);
        let accounts = crashes.iter().map(|crash| &crash.accounts);
        Some(Self {
            accounts: match crash_count {
                1 => accounts.flatten().copied().collect(),
                _ => common(accounts),
            },
            common_parts: common_parts.unwrap_or_default(),
            crash_count,
            is_single_request: !common(crashes.iter().map(|crash| &crash.requests)).is_empty(),
            last_crash: last.id.clone(),
            last_crash_at: last.at,
            latest_phase,
            request_count: requests.len(),
        })
    }

    /// Whether the suspicion concerns a request: it has all common parts, and its account is not exempt.
    pub(crate) fn concerns(&self, run: &PromptRun) -> bool {
        let is_refused_account = self.accounts.is_empty() || self.accounts.contains(&run.account);
        is_refused_account && self.common_parts.is_subset(&run.parts)
    }
}

/// Values that all sets have in common.
fn common<'a>(
    mut values: impl Iterator<Item = &'a BTreeSet<Fingerprint>>,
) -> BTreeSet<Fingerprint> {
    let first = values.next().cloned().unwrap_or_default();
    values.fold(first, |common, values| &common & values)
}

/// Counts crashes, which are sorted by time, without those that follow a counted one within `gap`.
fn count_separate(crashes: &[Crash], gap: Duration) -> u32 {
    let mut count = 0;
    let mut counted_at: Option<Duration> = None;
    for crash in crashes {
        if counted_at.is_some_and(|at| crash.at < at + gap) {
            continue;
        }
        counted_at = Some(crash.at);
        count += 1;
    }
    count
}
