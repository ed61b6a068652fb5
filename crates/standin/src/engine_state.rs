use super::*;

impl EngineState {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            cache: PrefixCache::new(
                settings.cache_block_count,
                settings.cache_event_gap_fraction,
                settings.seed,
            ),
            controls: BTreeMap::new(),
            faults: settings.faults.clone(),
            applied_fence: 0,
            imported: BTreeMap::new(),
            log: EngineLog::default(),
            models: settings.models.clone(),
            accepted_fence: 0,
            order_count: 0,
            rate: RateCounter::default(),
            streams: BTreeMap::new(),
        }
    }

    /// Removes streams whose last step is older than `idle_limit`.
    pub(crate) fn remove_idle_streams(&mut self, idle_limit: Duration) {
        self.streams
            .retain(|_, (last_step, _)| last_step.elapsed() <= idle_limit);
    }

    /// Whether this engine holds the layers of the stage at `position` of a route.
    pub(crate) fn holds_layers(&self, model: &str, route: &Route, position: usize) -> bool {
        let Some(stage) = route.stages.get(position) else {
            return false;
        };
        self.models.iter().any(|held| {
            *held.model == *model
                && held.layer_count == route.layer_count
                && held.layers.start <= stage.layers.start
                && held.layers.end >= stage.layers.end
        })
    }

    /// Records that the layers of this stage were run for one token.
    pub(crate) fn record_run(
        &mut self,
        step: &ForwardRequest,
        layers: LayerRange,
        max_entry_count: usize,
    ) {
        let now = Instant::now();
        self.rate.record(now);
        let stream = (step.request.clone(), step.attempt);
        let (last_step, token_count) = self.streams.entry(stream).or_insert((now, 0));
        *last_step = now;
        *token_count += 1;
        self.log.runs.push_back(RunEntry {
            attempt: step.attempt,
            index: step.index,
            layers,
            request: step.request.clone(),
        });
        while self.log.runs.len() > max_entry_count {
            self.log.runs.pop_front();
        }
        while self.log.starts.len() > max_entry_count {
            self.log.starts.pop_front();
        }
        if self.streams.len() > MAX_STREAM_COUNT {
            self.remove_idle_streams(STREAM_RETENTION);
        }
    }

    /// Number of streams that ran a step within `idle_limit`.
    pub(crate) fn active_stream_count(&self, idle_limit: Duration) -> u32 {
        let streams = self.streams.values();
        let count = streams
            .filter(|(last_step, _)| last_step.elapsed() <= idle_limit)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

/// Number of streams above which idle ones are removed, to bound memory.
const MAX_STREAM_COUNT: usize = 1_024;

/// Time after its last step before an idle stream may be removed. Until then its KV cache can be
/// exported.
const STREAM_RETENTION: Duration = Duration::from_secs(60);
