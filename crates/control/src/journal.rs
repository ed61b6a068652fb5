use super::*;

/// Bytes counted for a journal besides its texts.
const FIXED_BYTES: usize = 512;

/// Bytes counted for a token besides its text.
const TOKEN_BYTES: usize = 32;

/// Limits on the journals of one instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct JournalSettings {
    /// Time after which a journal without new tokens is dropped, in milliseconds. At least the
    /// longest stream; it ends copies whose owner lives on and whose last message was lost.
    pub idle_ms: u64,
    /// Most memory for journals and copies together, in bytes. Past it, ended journals are dropped,
    /// oldest end first; if that is not enough, new ones are refused.
    pub max_bytes: usize,
    /// Time that a journal is kept after its stream ended or its owner was lost, in milliseconds.
    pub retention_ms: u64,
}

impl Default for JournalSettings {
    fn default() -> Self {
        Self {
            idle_ms: 30 * 60 * 1_000,
            max_bytes: 8 * 1024 * 1024,
            retention_ms: 60_000,
        }
    }
}

/// A journal with what decides how long it is kept and who may have it.
#[derive(Clone, Debug)]
struct Entry {
    bytes: usize,
    /// Hand-overs of the stream before `owner`.
    epoch: u32,
    /// When retention ends; none while the stream runs and its owner is heard from.
    expires: Option<Duration>,
    journal: Journal,
    /// Who serves the stream.
    owner: Holder,
    /// Who took the stream over. Invariant: once set, only this holder, or one of a later epoch,
    /// replaces the entry.
    taker: Option<Holder>,
    /// When the newest tokens came.
    touched: Duration,
}

impl Entry {
    /// Who holds the stream, if it is not `holder`.
    fn other_holder(&self, holder: &Holder) -> Option<InstanceId> {
        let current = self.taker.as_ref().unwrap_or(&self.owner);
        (current != holder).then(|| current.instance.clone())
    }

    /// Who holds the stream, if `holder` of `epoch` may not replace it. A holder that took the
    /// stream elsewhere later than the one known here has a higher epoch.
    fn successor(&self, holder: &Holder, epoch: u32) -> Option<InstanceId> {
        let known = self.epoch + u32::from(self.taker.is_some());
        if epoch > known {
            return None;
        }
        self.other_holder(holder)
    }
}

/// Journals of the streams that this instance serves, and copies that it keeps for peers.
#[derive(Clone, Debug)]
pub struct Journals {
    bytes: usize,
    /// Invariant: `bytes` is the sum of the entries' bytes.
    entries: BTreeMap<RequestId, Entry>,
    settings: JournalSettings,
}

impl Journals {
    /// Creates an empty store.
    #[must_use]
    pub fn new(settings: JournalSettings) -> Self {
        Self {
            bytes: 0,
            entries: BTreeMap::new(),
            settings,
        }
    }

    /// Applies an append. Tokens that are already kept are skipped, so an append may be repeated.
    pub fn append(&mut self, now: Duration, append: JournalAppend) -> AppendAnswer {
        self.expire(now);
        match append {
            JournalAppend::End { owner, request } => self.close(now, &request, &owner),
            JournalAppend::Tokens {
                attempt,
                finish,
                from,
                owner,
                request,
                tokens,
            } => {
                let Some(entry) = self.entries.get(&request) else {
                    return AppendAnswer::Incomplete { next: 0 };
                };
                if let Some(by) = entry.other_holder(&owner) {
                    return AppendAnswer::Taken { by };
                }
                let next = token_count(&entry.journal);
                if from > next {
                    return AppendAnswer::Incomplete { next };
                }
                let skipped = usize::try_from(next - from).unwrap_or(usize::MAX);
                let fresh: Vec<Arc<str>> = tokens.into_iter().skip(skipped).collect();
                let added = fresh.iter().map(token_bytes).sum();
                if !self.make_room(added, &request) {
                    return AppendAnswer::Full;
                }
                self.extend(now, &request, fresh, attempt, finish)
            }
            JournalAppend::Whole {
                epoch,
                journal,
                owner,
            } => self.insert(now, journal, epoch, owner),
        }
    }

    /// Bytes counted for all journals.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Journals held, of both kinds.
    #[must_use]
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Drops journals whose retention is over.
    pub fn expire(&mut self, now: Duration) {
        let idle = Duration::from_millis(self.settings.idle_ms);
        let mut freed = 0;
        self.entries.retain(|_, entry| {
            let is_idle = now.saturating_sub(entry.touched) >= idle;
            let kept = !is_idle && entry.expires.is_none_or(|expires| expires > now);
            if !kept {
                freed += entry.bytes;
            }
            kept
        });
        self.bytes -= freed;
    }

    /// The journal of a request as far as it is held here.
    #[must_use]
    pub fn get(&self, request: &RequestId) -> Option<&Journal> {
        self.entries.get(request).map(|entry| &entry.journal)
    }

    /// Starts the retention of the copies whose owner is not among the instances that live. A later
    /// append from the owner ends the retention again.
    pub fn keep_owners(&mut self, now: Duration, live: &BTreeSet<InstanceId>) {
        let expires = now + self.retention();
        for entry in self.entries.values_mut() {
            if !live.contains(&entry.owner.instance) {
                entry.expires.get_or_insert(expires);
            }
        }
    }

    /// Hands a journal over to the first taker that asks for it on behalf of its account. The same
    /// taker gets it again, so a lost reply loses no stream.
    pub fn take(
        &mut self,
        now: Duration,
        request: &RequestId,
        account: &AccountId,
        taker: &Holder,
    ) -> TakeAnswer {
        self.expire(now);
        let expires = now + self.retention();
        let Some(entry) = self.entries.get_mut(request) else {
            return TakeAnswer::Unknown;
        };
        if entry.journal.account != *account {
            return TakeAnswer::Unknown;
        }
        let holder = entry.taker.get_or_insert_with(|| taker.clone());
        if holder != taker {
            return TakeAnswer::Taken {
                by: holder.instance.clone(),
            };
        }
        entry.expires = Some(expires);
        TakeAnswer::Given {
            epoch: entry.epoch + 1,
            journal: Box::new(entry.journal.clone()),
        }
    }

    /// Starts the retention of a journal, unless it has started.
    fn close(&mut self, now: Duration, request: &RequestId, owner: &Holder) -> AppendAnswer {
        let expires = now + self.retention();
        let Some(entry) = self.entries.get_mut(request) else {
            return AppendAnswer::Incomplete { next: 0 };
        };
        if let Some(by) = entry.other_holder(owner) {
            return AppendAnswer::Taken { by };
        }
        entry.expires.get_or_insert(expires);
        AppendAnswer::Appended {
            next: token_count(&entry.journal),
        }
    }

    fn extend(
        &mut self,
        now: Duration,
        request: &RequestId,
        tokens: Vec<Arc<str>>,
        attempt: Attempt,
        finish: Option<FinishReason>,
    ) -> AppendAnswer {
        let expires = now + self.retention();
        let Some(entry) = self.entries.get_mut(request) else {
            return AppendAnswer::Incomplete { next: 0 };
        };
        let added: usize = tokens.iter().map(token_bytes).sum();
        entry.bytes += added;
        self.bytes += added;
        entry.journal.attempt = entry.journal.attempt.max(attempt);
        entry.journal.tokens.extend(tokens);
        entry.journal.finish = entry.journal.finish.or(finish);
        entry.expires = entry.journal.finish.map(|_| expires);
        entry.touched = now;
        AppendAnswer::Appended {
            next: token_count(&entry.journal),
        }
    }

    fn insert(
        &mut self,
        now: Duration,
        journal: Journal,
        epoch: u32,
        owner: Holder,
    ) -> AppendAnswer {
        let request = journal.request.clone();
        let next = token_count(&journal);
        let mut replaced = 0;
        if let Some(entry) = self.entries.get(&request) {
            if let Some(by) = entry.successor(&owner, epoch) {
                return AppendAnswer::Taken { by };
            }
            let kept = token_count(&entry.journal);
            // A delayed repeat of the first message must not drop tokens that came after it.
            if entry.owner == owner && kept >= next {
                return AppendAnswer::Appended { next: kept };
            }
            replaced = entry.bytes;
        }
        let bytes = journal_bytes(&journal);
        if !self.make_room(bytes.saturating_sub(replaced), &request) {
            return AppendAnswer::Full;
        }
        let entry = Entry {
            bytes,
            epoch,
            expires: journal.finish.map(|_| now + self.retention()),
            journal,
            owner,
            taker: None,
            touched: now,
        };
        self.bytes = self.bytes - replaced + bytes;
        self.entries.insert(request, entry);
        AppendAnswer::Appended { next }
    }

    /// Drops ended journals, oldest end first, until `added` bytes fit. Journals that were taken
    /// over stay, because they turn later takers away.
    fn make_room(&mut self, added: usize, kept: &RequestId) -> bool {
        while self.bytes + added > self.settings.max_bytes {
            let oldest = self
                .entries
                .iter()
                .filter(|(request, entry)| *request != kept && entry.taker.is_none())
                .filter_map(|(request, entry)| Some((entry.expires?, request.clone())))
                .min();
            let Some((_, request)) = oldest else {
                return false;
            };
            if let Some(entry) = self.entries.remove(&request) {
                self.bytes -= entry.bytes;
            }
        }
        true
    }

    fn retention(&self) -> Duration {
        Duration::from_millis(self.settings.retention_ms)
    }
}

fn journal_bytes(journal: &Journal) -> usize {
    let tokens: usize = journal.tokens.iter().map(token_bytes).sum();
    FIXED_BYTES + journal.prompt.len() + tokens
}

fn token_bytes(token: &Arc<str>) -> usize {
    TOKEN_BYTES + token.len()
}

fn token_count(journal: &Journal) -> TokenIndex {
    TokenIndex::try_from(journal.tokens.len()).unwrap_or(TokenIndex::MAX)
}
