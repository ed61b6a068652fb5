use super::*;

/// Contiguous range of model layers.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct LayerRange {
    /// First layer.
    pub start: u32,
    /// Exclusive end. Invariant: greater than `start`.
    pub end: u32,
}

impl LayerRange {
    /// Returns whether `ranges` cover layers 0 to `layer_count` exactly once and in order.
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

/// A target in a route and the layers that it runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stage {
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Layers that the stage runs.
    pub layers: LayerRange,
    /// Id of the target.
    pub target: TargetId,
}

/// Pipeline of stages for one attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Number of layers in the model.
    pub layer_count: u32,
    /// Stages in the order in which they process a token. Invariant: their layers cover the model
    /// exactly once.
    pub stages: Vec<Stage>,
}

impl Route {
    /// Returns whether the stages cover the model exactly once and in order.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let ranges: Vec<LayerRange> = self.stages.iter().map(|stage| stage.layers).collect();
        LayerRange::covers(&ranges, self.layer_count)
    }
}
