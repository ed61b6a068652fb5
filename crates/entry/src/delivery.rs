use super::*;

/// Tokens from one report of progress to the next.
const PROGRESS_TOKENS: TokenIndex = 16;

impl Stream {
    /// Copies the pending tokens and then delivers them.
    pub(crate) async fn flush(
        &mut self,
        journal: &Journal,
        attempt: Attempt,
        finish: Option<FinishReason>,
    ) -> Result<(), End> {
        let tokens = std::mem::take(&mut self.pending);
        if tokens.is_empty() && finish.is_none() {
            return Ok(());
        }
        self.copier.append(attempt, finish, tokens.clone()).await?;
        let before = self.delivered;
        self.deliver(journal, &tokens).await?;
        let is_first = before == 0 && self.delivered > 0;
        if is_first || before / PROGRESS_TOKENS != self.delivered / PROGRESS_TOKENS {
            self.app.report(Event::Progressed {
                delivered_tokens: self.delivered,
                request: journal.request.clone(),
            });
        }
        Ok(())
    }

    async fn deliver(&mut self, journal: &Journal, tokens: &[Arc<str>]) -> Result<(), End> {
        for token in tokens {
            self.delivered += 1;
            let point = self.copier.point(self.delivered);
            if !self.output.token(journal, &point, token).await {
                return Err(End::Gone);
            }
        }
        metrics::counter!("entry_tokens_total").increment(tokens.len() as u64);
        Ok(())
    }

    pub(crate) async fn finish(&mut self, journal: &Journal, reason: FinishReason) {
        let point = self.copier.point(self.delivered);
        self.output.finish(journal, &point, reason).await;
    }

    /// Delivers the tokens of the journal that the caller does not have.
    pub(crate) async fn replay(&mut self, journal: &Journal) -> Result<(), End> {
        if !self.output.begin(&self.copier.point(self.delivered)).await {
            return Err(End::Gone);
        }
        let skipped = usize::try_from(self.delivered).unwrap_or(usize::MAX);
        let missing = journal.tokens.get(skipped..).unwrap_or_default().to_vec();
        self.deliver(journal, &missing).await
    }
}
