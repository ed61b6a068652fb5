use super::*;

/// Keeps a stream's journal here and its copy at the backup peer.
pub(crate) struct JournalWriter {
    app: Arc<App>,
    backup: Option<(InstanceId, SocketAddr)>,
    epoch: u32,
    /// Instances that did not take a copy of this stream.
    failed_backups: HashSet<InstanceId>,
    holder: Holder,
    /// Tokens in the journal.
    token_count: TokenIndex,
    request: RequestId,
}

impl JournalWriter {
    /// Puts the journal of a new or resumed stream into the store of this instance.
    pub(crate) fn open(
        app: Arc<App>,
        journal: Journal,
        epoch: u32,
        holder: Holder,
    ) -> Result<Self, Fault> {
        let request = journal.request.clone();
        let answer = lock(&app.journals).open(app.now(), journal, epoch, holder.clone());
        match answer {
            AppendAnswer::Appended { next } => Ok(Self {
                app,
                backup: None,
                epoch,
                failed_backups: HashSet::new(),
                holder,
                token_count: next,
                request,
            }),
            AppendAnswer::Full | AppendAnswer::Incomplete { .. } => Err(journal_memory_fault()),
            AppendAnswer::Taken { .. } => Err(taken_over_fault()),
        }
    }

    /// Keeps tokens here and at the backup. Only after this may they be delivered.
    pub(crate) async fn append(
        &mut self,
        attempt: Attempt,
        finish: Option<FinishReason>,
        tokens: Vec<Arc<str>>,
    ) -> Result<(), StreamEnd> {
        let append = JournalAppend::Tokens {
            attempt,
            finish,
            from: self.token_count,
            owner: self.holder.clone(),
            request: self.request.clone(),
            tokens,
        };
        match self.append_local(append.clone()) {
            AppendAnswer::Appended { next } => self.token_count = next,
            AppendAnswer::Full | AppendAnswer::Incomplete { .. } => {
                return Err(StreamEnd::Failed(journal_memory_fault()));
            }
            AppendAnswer::Taken { .. } => return Err(StreamEnd::TakenOver),
        }
        let Some((_, address)) = self.backup.clone() else {
            return Ok(());
        };
        let answer = self
            .app
            .dependencies
            .peers
            .append_journal(address, append)
            .await;
        match answer {
            Ok(AppendAnswer::Appended { .. }) => Ok(()),
            Ok(AppendAnswer::Taken { .. }) => Err(StreamEnd::TakenOver),
            Ok(AppendAnswer::Incomplete { .. }) => self.copy_journal().await,
            Ok(AppendAnswer::Full) | Err(_) => {
                self.replace_backup();
                self.copy_journal().await
            }
        }
    }

    /// Keeps the number of an attempt before any engine learns of it, here and at the backup that
    /// the node chose. Without this, whoever takes the stream over could use the number again: its
    /// tokens would be confused with those of the earlier run, and late cancels of that run would
    /// stop its own. An instance that lost the stream while it was paused learns it here.
    pub(crate) async fn record_attempt(
        &mut self,
        attempt: Attempt,
        backup: Option<(InstanceId, SocketAddr)>,
    ) -> Result<(), StreamEnd> {
        // The earlier backup is told also when it is replaced, as it knows of a hand-over.
        self.append(attempt, None, Vec::new()).await?;
        let is_failed = backup
            .as_ref()
            .is_some_and(|(instance, _)| self.failed_backups.contains(instance));
        if backup == self.backup || is_failed {
            return Ok(());
        }
        self.backup = backup;
        self.copy_journal().await
    }

    /// Starts the retention of the journal here, unless another holder has it.
    pub(crate) fn end_local(&self) -> JournalAppend {
        let append = JournalAppend::End {
            owner: self.holder.clone(),
            request: self.request.clone(),
        };
        self.append_local(append.clone());
        append
    }

    /// Starts the retention of the journal and its copy.
    pub(crate) async fn end(&mut self) {
        let append = self.end_local();
        if let Some((_, address)) = self.backup {
            // A copy that misses this is dropped after `journal.idle_ms`.
            let _ = self
                .app
                .dependencies
                .peers
                .append_journal(address, append)
                .await;
        }
    }

    /// Resume point after `index` tokens.
    pub(crate) fn resume_point(&self, index: TokenIndex) -> ResumePoint {
        ResumePoint {
            backup: self.backup.as_ref().map(|(instance, _)| instance.clone()),
            index,
            owner: self.holder.instance.clone(),
            request: self.request.clone(),
        }
    }

    /// Tokens in the journal.
    pub(crate) fn tokens(&self) -> Vec<Arc<str>> {
        let journals = lock(&self.app.journals);
        journals
            .get(&self.request)
            .map(|journal| journal.tokens.clone())
            .unwrap_or_default()
    }

    /// Gives the backup the whole journal; tries others when it does not take it. Without any, the
    /// stream goes on and its resume points name no backup.
    async fn copy_journal(&mut self) -> Result<(), StreamEnd> {
        while let Some((instance, address)) = self.backup.clone() {
            let journal = lock(&self.app.journals).get(&self.request).cloned();
            let Some(journal) = journal else {
                return Ok(());
            };
            let append = JournalAppend::Whole {
                epoch: self.epoch,
                journal,
                owner: self.holder.clone(),
            };
            match self
                .app
                .dependencies
                .peers
                .append_journal(address, append)
                .await
            {
                Ok(AppendAnswer::Appended { .. }) => {
                    lock(&self.app.backups).insert(self.request.clone(), address);
                    return Ok(());
                }
                Ok(AppendAnswer::Taken { .. }) => return Err(StreamEnd::TakenOver),
                answer => {
                    tracing::warn!(request = &*self.request, %instance, ?answer, "no copy kept");
                    self.replace_backup();
                }
            }
        }
        Ok(())
    }

    /// Replaces a backup that keeps no copy.
    fn replace_backup(&mut self) {
        if let Some((instance, _)) = self.backup.take() {
            self.failed_backups.insert(instance);
        }
        lock(&self.app.backups).remove(&self.request);
        let identity = &self.app.identity;
        self.backup = self.app.listing_cache.choose_backup(
            &identity.instance,
            &identity.failure_domain,
            &self.failed_backups,
        );
    }

    fn append_local(&self, append: JournalAppend) -> AppendAnswer {
        lock(&self.app.journals).append(self.app.now(), append)
    }
}

/// Fault of a stream that the memory for journals has no place for.
pub(crate) fn journal_memory_fault() -> Fault {
    let message = "the memory for streams of this instance is used up; use another address";
    Fault::new(StatusCode::SERVICE_UNAVAILABLE, "journal_memory", message)
        .retry_after(Duration::from_secs(1))
}
