use {
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// Adjacent layers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LayerRange {
    /// First layer after the range. Invariant: at least `start`.
    pub end: u32,
    /// First layer.
    pub start: u32,
}

impl LayerRange {
    /// Range from `start` to before `end`; none if it is empty.
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

    /// Number of layers.
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
