use super::*;

/// Weight of one observation in a moving mean.
const EWMA_WEIGHT: f64 = 0.2;

/// Most kinds of work remembered; the least recently seen half is forgotten beyond it.
const MAX_KINDS: usize = 8_192;

/// Observed size of earlier work, per account and kind of work. The size is in tokens for
/// generation and in milliseconds for calls.
#[derive(Clone, Debug, Default)]
pub struct SizeHistory {
    kinds: BTreeMap<(AccountId, Arc<str>), Observed>,
    mean: Option<f64>,
    sequence: u64,
}

#[derive(Clone, Debug)]
struct Observed {
    /// Mean of logarithms: one answer that is 100 times longer than usual must not make its whole
    /// kind count as long.
    log_mean: f64,
    sequence: u64,
}

impl SizeHistory {
    /// Expected size of work of one kind, if any was observed.
    #[must_use]
    pub fn expected(&self, account: &AccountId, kind: &Arc<str>) -> Option<f64> {
        let observed = self.kinds.get(&(account.clone(), kind.clone()))?;
        Some(observed.log_mean.exp())
    }

    /// Mean size over all work, if any was observed.
    #[must_use]
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }

    /// Takes in the size of completed work.
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
