use {
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// A range of consecutive layers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LayerRange {
    /// End of the range, exclusive. Invariant: at least `start`.
    pub end: u32,
    /// First layer of the range.
    pub start: u32,
}

impl LayerRange {
    /// Creates the range from `start` to `end`, exclusive; none if it is empty.
    #[must_use]
    pub fn new(start: u32, end: u32) -> Option<Self> {
        (start < end).then_some(Self { end, start })
    }

    /// Whether a layer is in the range.
    #[must_use]
    pub fn contains(self, layer: u32) -> bool {
        (self.start..self.end).contains(&layer)
    }

    /// Whether all layers of another range are in this one.
    #[must_use]
    pub fn covers(self, other: Self) -> bool {
        self.start <= other.start && other.end <= self.end
    }

    /// Number of layers in the range.
    #[must_use]
    pub fn count(self) -> u32 {
        self.end - self.start
    }
}

impl Display for LayerRange {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        write!(formatter, "{}-{}", self.start, self.end)
    }
}
