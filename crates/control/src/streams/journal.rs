use super::*;

/// Journals of the streams that this instance serves, and copies of those of its peers. A journal
/// holds what another instance needs to resume the stream: the prompt and the tokens so far.
#[derive(Clone, Debug)]
pub struct Journals {
    bytes: usize,
    /// Bytes of all entries, including reservations. Invariant: the sum of the entries' charges,
    /// and at most `max_bytes`.
    charged: usize,
    /// Invariant: `bytes` is the sum of these entries' bytes.
    entries: BTreeMap<RequestId, JournalEntry>,
    settings: JournalSettings,
}

impl Journals {
    /// Creates a store without journals.
    #[must_use]
    pub fn new(settings: JournalSettings) -> Self {
        Self {
            bytes: 0,
            charged: 0,
            entries: BTreeMap::new(),
            settings,
        }
    }

    /// Applies an append. Tokens that are already stored are skipped, so an append may be repeated.
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
                let new_tokens: Vec<Arc<str>> = tokens.into_iter().skip(skipped).collect();
                let added: usize = new_tokens.iter().map(token_bytes).sum();
                let growth = (entry.bytes + added).saturating_sub(entry.charge());
                let eviction = if entry.is_own {
                    Eviction::Copies
                } else {
                    Eviction::Ended
                };
                if !self.make_room(growth, &request, eviction) {
                    return AppendAnswer::Full;
                }
                self.extend(now, &request, new_tokens, attempt, finish)
            }
            JournalAppend::Whole {
                epoch,
                journal,
                owner,
            } => self.insert(now, journal, epoch, owner, Purpose::Copy),
        }
    }

    /// Opens the journal of a stream that this instance serves. Memory for its longest answer is
    /// reserved, so that a running stream does not fail for lack of memory. A resumed stream may
    /// evict copies, because its caller was accepted before.
    pub fn open(
        &mut self,
        now: Duration,
        journal: Journal,
        epoch: u32,
        owner: Holder,
    ) -> AppendAnswer {
        self.expire(now);
        self.insert(now, journal, epoch, owner, Purpose::Serve)
    }

    /// Whether there is memory to resume a stream with an answer of up to `max_tokens`. Must be
    /// checked before a journal is taken, because a taker that cannot store it loses the stream.
    pub fn can_resume(&mut self, now: Duration, request: &RequestId, max_tokens: u32) -> bool {
        self.expire(now);
        let needed = reserved_bytes(FIXED_BYTES, max_tokens, &self.settings);
        let held = self.entries.get(request).map_or(0, JournalEntry::charge);
        self.has_room(needed.saturating_sub(held), request, Eviction::Copies)
    }

    /// Bytes of all journals and copies, without reservations.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Bytes of all journals and copies, including what is reserved for running streams.
    #[must_use]
    pub fn charged_bytes(&self) -> usize {
        self.charged
    }

    /// Number of journals and copies.
    #[must_use]
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Drops journals whose retention has ended, and those without new tokens for too long.
    pub fn expire(&mut self, now: Duration) {
        let idle = Duration::from_millis(self.settings.idle_ms);
        let (mut bytes, mut charged) = (0, 0);
        self.entries.retain(|_, entry| {
            let is_idle = now.saturating_sub(entry.updated_at) >= idle;
            let kept = !is_idle && entry.expires_at.is_none_or(|expires_at| expires_at > now);
            if !kept {
                bytes += entry.bytes;
                charged += entry.charge();
            }
            kept
        });
        self.bytes -= bytes;
        self.charged -= charged;
    }

    /// Journal or copy of a request, with the tokens that have arrived here.
    #[must_use]
    pub fn get(&self, request: &RequestId) -> Option<&Journal> {
        self.entries.get(request).map(|entry| &entry.journal)
    }

    /// Starts the retention of the journals and copies whose owner is not a live instance. A later
    /// append of tokens by the owner ends the retention again.
    pub fn mark_orphans(&mut self, now: Duration, live: &BTreeSet<InstanceId>) {
        let expires_at = now + self.retention();
        for entry in self.entries.values_mut() {
            if !live.contains(&entry.owner.instance) {
                entry.expires_at.get_or_insert(expires_at);
            }
        }
    }

    /// Hands a journal over to the first taker that requests it for its account and names its
    /// current owner. The same taker gets it again if it repeats the request, so that a lost reply
    /// does not lose the stream.
    pub fn take(&mut self, now: Duration, take: &TakeRequest) -> TakeAnswer {
        self.expire(now);
        let expires_at = now + self.retention();
        let Some(entry) = self.entries.get_mut(&take.request) else {
            return TakeAnswer::Unknown;
        };
        if entry.journal.account != take.account {
            return TakeAnswer::Unknown;
        }
        if entry.taker.is_none() && entry.owner.instance != take.owner {
            return TakeAnswer::Taken {
                by: entry.owner.instance.clone(),
            };
        }
        let holder = entry.taker.get_or_insert_with(|| take.taker.clone());
        if *holder != take.taker {
            return TakeAnswer::Taken {
                by: holder.instance.clone(),
            };
        }
        entry.expires_at = Some(expires_at);
        let given = TakeAnswer::Given {
            epoch: entry.epoch + 1,
            journal: Box::new(entry.journal.clone()),
        };
        self.release_reservation(&take.request);
        given
    }

    /// Starts the retention of a journal, unless it has started before, and ends its reservation.
    fn close(&mut self, now: Duration, request: &RequestId, owner: &Holder) -> AppendAnswer {
        let expires_at = now + self.retention();
        let Some(entry) = self.entries.get_mut(request) else {
            return AppendAnswer::Incomplete { next: 0 };
        };
        if let Some(by) = entry.other_holder(owner) {
            return AppendAnswer::Taken { by };
        }
        entry.expires_at.get_or_insert(expires_at);
        let next = token_count(&entry.journal);
        self.release_reservation(request);
        AppendAnswer::Appended { next }
    }

    fn extend(
        &mut self,
        now: Duration,
        request: &RequestId,
        tokens: Vec<Arc<str>>,
        attempt: Attempt,
        finish: Option<FinishReason>,
    ) -> AppendAnswer {
        let expires_at = now + self.retention();
        let Some(entry) = self.entries.get_mut(request) else {
            return AppendAnswer::Incomplete { next: 0 };
        };
        let added: usize = tokens.iter().map(token_bytes).sum();
        let charge = entry.charge();
        entry.bytes += added;
        self.bytes += added;
        self.charged += entry.charge() - charge;
        entry.journal.attempt = entry.journal.attempt.max(attempt);
        entry.journal.tokens.extend(tokens);
        entry.journal.finish = entry.journal.finish.or(finish);
        entry.expires_at = entry.journal.finish.map(|_| expires_at);
        entry.updated_at = now;
        let next = token_count(&entry.journal);
        if entry.journal.finish.is_some() {
            self.release_reservation(request);
        }
        AppendAnswer::Appended { next }
    }

    fn insert(
        &mut self,
        now: Duration,
        journal: Journal,
        epoch: u32,
        owner: Holder,
        purpose: Purpose,
    ) -> AppendAnswer {
        let request = journal.request.clone();
        let next = token_count(&journal);
        if let Some(entry) = self.entries.get_mut(&request) {
            if let Some(by) = entry.newer_holder(&owner, epoch) {
                return AppendAnswer::Taken { by };
            }
            let kept = token_count(&entry.journal);
            // A delayed repetition of the first message must not drop the tokens that followed it.
            if entry.owner == owner && kept >= next {
                entry.journal.attempt = entry.journal.attempt.max(journal.attempt);
                return AppendAnswer::Appended { next: kept };
            }
        }
        let entry = self.new_entry(now, journal, epoch, owner, purpose);
        let replaced = self.entries.get(&request).map_or(0, JournalEntry::charge);
        let eviction = match (purpose, epoch) {
            (Purpose::Serve, 1..) => Eviction::Copies,
            _ => Eviction::Ended,
        };
        let growth = entry.charge().saturating_sub(replaced);
        if !self.make_room(growth, &request, eviction) {
            return AppendAnswer::Full;
        }
        self.remove(&request);
        self.bytes += entry.bytes;
        self.charged += entry.charge();
        self.entries.insert(request, entry);
        AppendAnswer::Appended { next }
    }

    fn new_entry(
        &self,
        now: Duration,
        journal: Journal,
        epoch: u32,
        owner: Holder,
        purpose: Purpose,
    ) -> JournalEntry {
        let bytes = journal_bytes(&journal);
        let is_own = purpose == Purpose::Serve;
        let missing = journal.max_tokens.saturating_sub(token_count(&journal));
        let reserved = match is_own && journal.finish.is_none() {
            false => 0,
            true => reserved_bytes(bytes, missing, &self.settings),
        };
        JournalEntry {
            bytes,
            epoch,
            expires_at: journal.finish.map(|_| now + self.retention()),
            is_own,
            journal,
            owner,
            reserved,
            taker: None,
            updated_at: now,
        }
    }

    /// Drops entries that `eviction` allows until `added` bytes fit: first those in retention, in
    /// the order in which it ends, then the largest copies. Drops nothing if that is not enough.
    /// `protected` is never dropped. Returns whether the bytes fit.
    fn make_room(&mut self, added: usize, protected: &RequestId, eviction: Eviction) -> bool {
        if !self.has_room(added, protected, eviction) {
            return false;
        }
        while self.charged + added > self.settings.max_bytes {
            let evictable = self
                .entries
                .iter()
                .filter(|(request, entry)| *request != protected && entry.is_evictable(eviction));
            let next = evictable.min_by_key(|(_, entry)| {
                let is_running = entry.expires_at.is_none();
                (is_running, entry.expires_at, Reverse(entry.bytes))
            });
            let Some((request, _)) = next else {
                return false;
            };
            let request = request.clone();
            self.remove(&request);
        }
        true
    }

    fn has_room(&self, added: usize, protected: &RequestId, eviction: Eviction) -> bool {
        if self.charged.saturating_add(added) <= self.settings.max_bytes {
            return true;
        }
        let evictable = self
            .entries
            .iter()
            .filter(|(request, entry)| *request != protected && entry.is_evictable(eviction));
        let freed: usize = evictable.map(|(_, entry)| entry.charge()).sum();
        let needed = (self.charged - freed).saturating_add(added);
        needed <= self.settings.max_bytes
    }

    /// Ends the reservation for the rest of an answer.
    fn release_reservation(&mut self, request: &RequestId) {
        if let Some(entry) = self.entries.get_mut(request) {
            let charge = entry.charge();
            entry.reserved = 0;
            self.charged -= charge - entry.charge();
        }
    }

    fn remove(&mut self, request: &RequestId) {
        if let Some(entry) = self.entries.remove(request) {
            self.bytes -= entry.bytes;
            self.charged -= entry.charge();
        }
    }

    fn retention(&self) -> Duration {
        Duration::from_millis(self.settings.retention_ms)
    }
}

/// Whether an entry is a copy for a peer or the journal of a stream served here.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Purpose {
    Copy,
    Serve,
}
