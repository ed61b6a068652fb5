use super::*;

/// What the callers of one run received, and the traffic between instances.
#[derive(Debug)]
pub(crate) struct Results {
    /// Times between consecutive tokens, in microseconds.
    pub(crate) gaps_us: Histogram<u64>,
    /// How each request ended, by index of its arrival.
    pub(crate) ends: BTreeMap<usize, RequestEnd>,
    /// Encoded size of the heartbeats and pushed changes that instances sent to each other.
    pub(crate) peer_bytes: u64,
    /// Number of refusals by kind, including those after which the caller submitted again.
    pub(crate) refusals: BTreeMap<RefusalKind, u64>,
    /// Number of tokens delivered in each `TOKEN_BUCKET` of the run.
    pub(crate) tokens: Vec<u64>,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestEnd {
    /// Whether the whole answer arrived before the deadline.
    pub(crate) complete: bool,
    /// Time from the arrival to the first token or to the answer of a call; none without either.
    pub(crate) first_response_after: Option<Duration>,
}

/// Duration that one element of `Results::tokens` covers.
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

    /// Counts a token delivered at `now`; `gap` is the time since the token before it, none for the
    /// first one.
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

    /// Mean number of tokens per second between two times.
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

/// Quantile `share` of `values` in milliseconds. A request without a first token counts as
/// infinite; without values the result is NaN.
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
