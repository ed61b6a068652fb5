use super::*;

/// Number of tokens between two progress reports to the node.
const PROGRESS_INTERVAL_TOKENS: TokenIndex = 16;

impl Stream {
    /// Appends the pending tokens to the journal and then delivers them. Reports progress at the
    /// first token and then every `PROGRESS_INTERVAL_TOKENS`.
    pub(crate) async fn flush(
        &mut self,
        journal: &Journal,
        attempt: Attempt,
        finish: Option<FinishReason>,
    ) -> Result<(), StreamEnd> {
        let tokens = std::mem::take(&mut self.pending_tokens);
        if tokens.is_empty() && finish.is_none() {
            return Ok(());
        }
        self.journal_writer
            .append(attempt, finish, tokens.clone())
            .await?;
        let before = self.delivered;
        self.deliver(journal, &tokens).await?;
        let is_first = before == 0 && self.delivered > 0;
        if is_first
            || before / PROGRESS_INTERVAL_TOKENS != self.delivered / PROGRESS_INTERVAL_TOKENS
        {
            self.app.report(Event::Progressed {
                delivered_tokens: self.delivered,
                request: journal.request.clone(),
            });
        }
        Ok(())
    }

    /// Writes tokens to the caller, each with its resume point.
    async fn deliver(&mut self, journal: &Journal, tokens: &[Arc<str>]) -> Result<(), StreamEnd> {
        for token in tokens {
            self.delivered += 1;
            let point = self.journal_writer.resume_point(self.delivered);
            if !self.output.token(journal, &point, token).await {
                return Err(StreamEnd::CallerGone);
            }
        }
        metrics::counter!("entry_tokens_total").increment(tokens.len() as u64);
        Ok(())
    }

    /// Writes the end of the answer to the caller.
    pub(crate) async fn finish(&mut self, journal: &Journal, reason: FinishReason) {
        let point = self.journal_writer.resume_point(self.delivered);
        self.output.finish(journal, &point, reason).await;
    }

    /// Delivers the tokens of the journal that the caller has not received.
    pub(crate) async fn replay(&mut self, journal: &Journal) -> Result<(), StreamEnd> {
        if !self
            .output
            .start(&self.journal_writer.resume_point(self.delivered))
            .await
        {
            return Err(StreamEnd::CallerGone);
        }
        let received = usize::try_from(self.delivered).unwrap_or(usize::MAX);
        let missing = journal.tokens.get(received..).unwrap_or_default().to_vec();
        self.deliver(journal, &missing).await
    }
}
