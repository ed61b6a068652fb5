use super::*;

/// Settings of orders to engines and of placement.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrderSettings {
    /// Wait before a failed step is tried again, in milliseconds.
    pub back_off_ms: u64,
    /// Use of a donor, as a part of its places, that it must not exceed after giving up an engine.
    pub donor_max_use: f64,
    /// Use, as a part of its places, from which a model needs more engines.
    pub high_use: f64,
    /// Time for which a need must last before an engine is ordered, in milliseconds.
    pub lasting_ms: u64,
    /// Loads that the weight store takes per minute, over all instances.
    pub loads_per_minute: f64,
    /// Use below which a need is over. The gap to `high_use` keeps decisions from swinging.
    pub low_use: f64,
    /// Failure domains in which each range of layers is held, where targets allow.
    pub min_domain_count: usize,
    /// Interval of placement decisions, in milliseconds.
    pub place_ms: u64,
    /// Models that may be loaded though no engine holds them, and the adapters of each.
    pub models: BTreeMap<ModelId, ModelShape>,
    /// Age of a load report from which the engine is left alone, in milliseconds.
    pub report_max_ms: u64,
    /// Interval of reading the rows of owned engines, in milliseconds.
    pub reread_ms: u64,
    /// Loads that may be saved up.
    pub token_max_count: f64,
    /// Time after which an order that no report shows is no longer waited for, in milliseconds.
    pub wait_ms: u64,
    /// Age of a confirmed write from which its order is not sent, in milliseconds. A paused owner
    /// must not send an order that a later owner has replaced.
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

/// How a model is held.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelShape {
    /// Adapters and versions to load.
    #[serde(default)]
    pub adapters: Vec<Arc<str>>,
    /// Layers of the whole model.
    pub layer_count: u32,
    /// Stages, each at an engine of its own, when no engine holds the model yet.
    pub stage_count: u32,
}

impl ModelShape {
    /// The model in equal parts.
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
