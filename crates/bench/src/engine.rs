use super::*;

/// Number of prompt prefixes that one engine caches.
const CACHED_PREFIX_COUNT: usize = 64;

/// Relative increase of an engine's step time from an empty to a full batch.
pub(crate) const FULL_BATCH_SLOWDOWN: f64 = 0.5;

/// Fake engine with a number of slots, a time per token step and a prefix cache.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) alive: bool,
    /// Hashes of cached prefixes, the most recently used last.
    pub(crate) cached_prefixes: VecDeque<u64>,
    pub(crate) layers: LayerRange,
    pub(crate) listing: Listing,
    pub(crate) model: ModelId,
    /// Requests that hold a slot. Invariant: at most `slot_count`.
    pub(crate) running: BTreeSet<RequestId>,
    pub(crate) slot_count: u32,
    /// Duration of one step with an empty batch.
    pub(crate) step_time: Duration,
    /// Tokens generated since the last report.
    pub(crate) token_count: u64,
    /// Requests that have this engine as their first stage and wait for slots, in order of
    /// arrival.
    pub(crate) waiting: Vec<WaitingRequest>,
}

/// A request that waits for slots at its first stage.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) attempt: Attempt,
    pub(crate) priority: Priority,
    pub(crate) request: RequestId,
    pub(crate) route: Route,
}

impl Engine {
    pub(crate) fn has_slot(&self) -> bool {
        self.alive && self.running.len() < self.slot_count as usize
    }

    /// Duration of one step with the current batch.
    pub(crate) fn current_step_time(&self) -> Duration {
        let fill = self.running.len() as f64 / f64::from(self.slot_count);
        self.step_time.mul_f64(1.0 + FULL_BATCH_SLOWDOWN * fill)
    }

    /// Returns whether the longest of `prefixes` is cached, and makes it the most recently used
    /// one.
    pub(crate) fn touch_prefix(&mut self, prefixes: &[u64]) -> bool {
        let Some(prefix) = prefixes.last() else {
            return false;
        };
        let found = self
            .cached_prefixes
            .iter()
            .position(|cached| cached == prefix);
        if let Some(position) = found {
            self.cached_prefixes.remove(position);
        }
        self.cached_prefixes.push_back(*prefix);
        if self.cached_prefixes.len() > CACHED_PREFIX_COUNT {
            self.cached_prefixes.pop_front();
        }
        found.is_some()
    }

    /// Load report of age `age`, with the token rate over `span`. Starts a new count of tokens.
    pub(crate) fn report(&mut self, age: Duration, span: Duration) -> LoadReport {
        let rate_per_s = self.token_count as f64 / span.as_secs_f64();
        self.token_count = 0;
        LoadReport {
            age_ms: age.as_millis() as u64,
            incarnation: self.listing.incarnation,
            leaving: self.listing.leaving,
            models: vec![LoadedModel {
                adapters: Vec::new(),
                layer_count: LAYER_COUNT,
                layers: self.layers,
                model: self.model.clone(),
            }],
            rate_per_s,
            running_count: self.running.len() as u32,
            slot_count: self.slot_count,
            waiting_count: self.waiting.len() as u32,
            ..LoadReport::default()
        }
    }

    /// Position in `waiting` of the request with the highest priority, the oldest of equals.
    pub(crate) fn next_waiting(&self) -> Option<usize> {
        let mut best: Option<usize> = None;
        for (index, waiting) in self.waiting.iter().enumerate() {
            if best.is_none_or(|best| waiting.priority > self.waiting[best].priority) {
                best = Some(index);
            }
        }
        best
    }
}
