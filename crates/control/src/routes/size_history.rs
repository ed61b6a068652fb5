use super::*;

/// Weight of a new observation in the exponential moving averages.
const EWMA_WEIGHT: f64 = 0.2;

/// Maximum number of tracked kinds of work. Beyond it, the least recently observed half is dropped.
const MAX_KINDS: usize = 8_192;

/// Average size of completed requests, per account and kind of work: answer tokens for generations,
/// milliseconds for calls. The kind is a model with the magnitude of the prompt, or an operation.
#[derive(Clone, Debug, Default)]
pub struct SizeHistory {
    kinds: BTreeMap<(AccountId, Arc<str>), Observed>,
    mean: Option<f64>,
    sequence: u64,
}

#[derive(Clone, Debug)]
struct Observed {
    /// Moving average of the logarithm of the size, so that one answer that is 100 times longer
    /// than usual does not make the whole kind count as long.
    log_mean: f64,
    sequence: u64,
}

impl SizeHistory {
    /// Expected size of a request of this kind; none if no such request has completed.
    #[must_use]
    pub fn expected(&self, account: &AccountId, kind: &Arc<str>) -> Option<f64> {
        let observed = self.kinds.get(&(account.clone(), kind.clone()))?;
        Some(observed.log_mean.exp())
    }

    /// Moving average over all completed requests; none if there were none.
    #[must_use]
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }

    /// Records the size of a completed request.
    pub fn observe(&mut self, account: &AccountId, kind: &Arc<str>, size: f64) {
        let size = size.max(1.0);
        self.sequence += 1;
        let mean = self.mean.get_or_insert(size);
        *mean += EWMA_WEIGHT * (size - *mean);
        let observed = self
            .kinds
            .entry((account.clone(), kind.clone()))
            .or_insert(Observed {
                log_mean: size.ln(),
                sequence: 0,
            });
        observed.log_mean += EWMA_WEIGHT * (size.ln() - observed.log_mean);
        observed.sequence = self.sequence;
        if self.kinds.len() > MAX_KINDS {
            let oldest = self.sequence - (MAX_KINDS / 2) as u64;
            self.kinds.retain(|_, observed| observed.sequence > oldest);
        }
    }
}
