use super::*;

/// Settings of orders to engines and of placement.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrderSettings {
    /// Delay before a failed step is retried, in milliseconds.
    pub back_off_ms: u64,
    /// Requests per slot up to which a model may give up an engine, computed for its remaining
    /// engines.
    pub donor_max_use: f64,
    /// Requests per slot from which a model needs more engines.
    pub high_use: f64,
    /// Time for which a need must last before an engine is ordered to load the model, in
    /// milliseconds.
    pub lasting_ms: u64,
    /// Model loads per minute that the weight store permits, over all instances.
    pub loads_per_minute: f64,
    /// Requests per slot below which a need ends. The gap to `high_use` is a hysteresis that keeps
    /// engines from being moved back and forth.
    pub low_use: f64,
    /// Number of failure domains in which each range of layers is to be held, if engines are listed
    /// in that many.
    pub min_domain_count: usize,
    /// Interval of placement decisions, in milliseconds.
    pub place_ms: u64,
    /// Shapes of the models that may be loaded although no engine holds them, with their adapters.
    pub models: BTreeMap<ModelId, ModelShape>,
    /// Age of a load report above which the engine's order is not repeated, in milliseconds.
    pub report_max_ms: u64,
    /// Interval at which the rows of owned engines are read again, in milliseconds.
    pub reread_ms: u64,
    /// Capacity of the token bucket: loads that may be ordered at once.
    pub token_max_count: f64,
    /// Longest time for which an order is outstanding that no report shows, in milliseconds.
    pub wait_ms: u64,
    /// Longest time between a write and its confirmation after which its order is still sent, in
    /// milliseconds. A paused owner must not send an order that a later owner has replaced.
    pub write_max_ms: u64,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            back_off_ms: 1_000,
            donor_max_use: 0.6,
            high_use: 0.9,
            lasting_ms: 10_000,
            loads_per_minute: 30.0,
            low_use: 0.7,
            min_domain_count: 2,
            models: BTreeMap::new(),
            place_ms: 1_000,
            report_max_ms: 5_000,
            reread_ms: 30_000,
            token_max_count: 4.0,
            wait_ms: 30_000,
            write_max_ms: 2_000,
        }
    }
}

/// How a model is split over engines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelShape {
    /// Adapters and versions to load.
    #[serde(default)]
    pub adapters: Vec<Arc<str>>,
    /// Layers of the whole model.
    pub layer_count: u32,
    /// Number of stages, each on an engine of its own, if no engine holds the model yet.
    pub stage_count: u32,
}

impl ModelShape {
    /// The stages of the model, with layer counts as equal as possible.
    pub(crate) fn stages(&self, model: &ModelId) -> Vec<LoadedModel> {
        let stage_count = self.stage_count.clamp(1, self.layer_count.max(1));
        let bound = |stage: u32| {
            let layers = u64::from(self.layer_count) * u64::from(stage) / u64::from(stage_count);
            u32::try_from(layers).unwrap_or(self.layer_count)
        };
        let stage = |index: u32| LoadedModel {
            adapters: self.adapters.clone(),
            layer_count: self.layer_count,
            layers: LayerRange {
                start: bound(index),
                end: bound(index + 1),
            },
            model: model.clone(),
        };
        (0..stage_count).map(stage).collect()
    }
}
