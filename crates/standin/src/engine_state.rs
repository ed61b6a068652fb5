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
            fence: 0,
            imported: BTreeMap::new(),
            log: EngineLog::default(),
            models: settings.models.clone(),
            newest_fence: 0,
            order_count: 0,
            rate: Rate::default(),
            streams: BTreeMap::new(),
        }
    }

    /// Drops streams whose last step is older than `idle`.
    pub(crate) fn forget_streams(&mut self, idle: Duration) {
        self.streams
            .retain(|_, (last_step, _)| last_step.elapsed() <= idle);
    }

    /// Whether this engine holds the layers that a route gives to one of its stages.
    pub(crate) fn holds(&self, model: &str, route: &Route, position: usize) -> bool {
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

    /// Notes one run of the own layers.
    pub(crate) fn record(&mut self, step: &ForwardRequest, layers: LayerRange, entry_count: usize) {
        let now = Instant::now();
        self.rate.count(now);
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
        while self.log.runs.len() > entry_count {
            self.log.runs.pop_front();
        }
        while self.log.starts.len() > entry_count {
            self.log.starts.pop_front();
        }
        if self.streams.len() > STREAM_COUNT {
            self.forget_streams(STREAM_KEEP);
        }
    }

    /// Streams with a step within `idle`.
    pub(crate) fn stream_count(&self, idle: Duration) -> u32 {
        let streams = self.streams.values();
        let count = streams
            .filter(|(last_step, _)| last_step.elapsed() <= idle)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

/// Streams above which idle ones are forgotten.
const STREAM_COUNT: usize = 1_024;

/// Time after its last step for which the KV cache of a stream can be exported.
const STREAM_KEEP: Duration = Duration::from_secs(60);
