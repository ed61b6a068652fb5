use super::*;

/// Contiguous range of model layers.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct LayerRange {
    /// First layer.
    pub start: u32,
    /// Layer after the last. Invariant: greater than `start`.
    pub end: u32,
}

impl LayerRange {
    /// Whether `ranges` cover layers 0 to `layer_count` exactly once and in order.
    #[must_use]
    pub fn covers(ranges: &[Self], layer_count: u32) -> bool {
        let mut next = 0;
        for range in ranges {
            if range.start != next || range.end <= range.start {
                return false;
            }
            next = range.end;
        }
        next == layer_count
    }
}

/// One target of a route and the layers that it runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stage {
    /// Where the stage takes requests.
    pub address: SocketAddr,
    /// Layers that the stage runs.
    pub layers: LayerRange,
    /// Target.
    pub target: TargetId,
}

/// Chain of stages for one attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Layers of the model.
    pub layer_count: u32,
    /// Stages in the order in which a token crosses them. Invariant: their layers cover the model
    /// exactly once.
    pub stages: Vec<Stage>,
}

impl Route {
    /// Whether the stages cover the model exactly once and in order.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let ranges: Vec<LayerRange> = self.stages.iter().map(|stage| stage.layers).collect();
        LayerRange::covers(&ranges, self.layer_count)
    }
}
