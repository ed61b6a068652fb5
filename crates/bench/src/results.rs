use super::*;

/// What callers received in one run.
#[derive(Debug)]
pub(crate) struct Results {
    /// Gaps between tokens, in microseconds.
    pub(crate) gaps_us: Histogram<u64>,
    /// End of each request, by arrival.
    pub(crate) ends: BTreeMap<usize, RequestEnd>,
    /// Bytes of heartbeats and pushes sent.
    pub(crate) peer_bytes: u64,
    /// Refusals by kind, counting those that callers followed by another try.
    pub(crate) refusals: BTreeMap<RefusalKind, u64>,
    /// Tokens delivered in each 100 ms of the run.
    pub(crate) tokens: Vec<u64>,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestEnd {
    /// Whether the whole answer arrived before the deadline.
    pub(crate) complete: bool,
    /// Wait for the first token, or for the answer to a call.
    pub(crate) first_response_after: Option<Duration>,
}

/// Width of a bucket of `Results::tokens`.
pub(crate) const TOKEN_BUCKET: Duration = Duration::from_millis(100);

impl Results {
    pub(crate) fn new() -> Result<Self> {
        Ok(Self {
            ends: BTreeMap::new(),
            gaps_us: Histogram::new_with_bounds(1, 600_000_000, 3)?,
            peer_bytes: 0,
            refusals: BTreeMap::new(),
            tokens: Vec::new(),
        })
    }

    pub(crate) fn record_token(&mut self, now: Duration, gap: Option<Duration>) {
        let bucket = (now.as_millis() / TOKEN_BUCKET.as_millis()) as usize;
        if self.tokens.len() <= bucket {
            self.tokens.resize(bucket + 1, 0);
        }
        self.tokens[bucket] += 1;
        if let Some(gap) = gap {
            self.gaps_us.saturating_record(gap.as_micros() as u64);
        }
    }

    /// Mean tokens a second between two times.
    pub(crate) fn rate_per_s(&self, from: Duration, to: Duration) -> f64 {
        let bucket = |time: Duration| (time.as_millis() / TOKEN_BUCKET.as_millis()) as usize;
        let (from, to) = (bucket(from), bucket(to).min(self.tokens.len()));
        if from >= to {
            return 0.0;
        }
        let total: u64 = self.tokens[from..to].iter().sum();
        total as f64 / ((to - from) as f64 * TOKEN_BUCKET.as_secs_f64())
    }
}

/// Value below which `share` of `values` lie; infinite where it falls on a request that got no
/// first token.
pub(crate) fn quantile_ms(values: &[Option<Duration>], share: f64) -> f64 {
    let mut values_ms: Vec<f64> = values
        .iter()
        .map(|value| value.map_or(f64::INFINITY, |value| value.as_secs_f64() * 1_000.0))
        .collect();
    if values_ms.is_empty() {
        return f64::NAN;
    }
    values_ms.sort_by(f64::total_cmp);
    let index = ((values_ms.len() as f64 * share).ceil() as usize).clamp(1, values_ms.len());
    values_ms[index - 1]
}
