use super::*;

/// Limit that a measured value has to keep.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Limit {
    AtLeast(f64),
    AtMost(f64),
    /// The value is only shown and never fails the run.
    None,
}

/// A measured value, printed as one line of the result.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Measure {
    /// Best value that any policy could reach; none if it is not known.
    pub(crate) bound: Option<f64>,
    pub(crate) limit: Limit,
    /// Name of the scenario and of what was measured, with a dot between them.
    pub(crate) name: String,
    /// Value of the naive router on the same arrivals; none if it was not measured.
    pub(crate) naive: Option<f64>,
    pub(crate) unit: &'static str,
    /// Value of the router's decision code.
    pub(crate) value: f64,
}

impl Measure {
    /// Whether the value keeps its limit.
    pub(crate) fn holds(&self) -> bool {
        match self.limit {
            Limit::AtLeast(limit) => self.value >= limit,
            Limit::AtMost(limit) => self.value <= limit,
            Limit::None => true,
        }
    }

    /// Ratio of the value to the bound.
    pub(crate) fn ratio(&self) -> Option<f64> {
        self.bound.map(|bound| self.value / bound)
    }

    /// Heading of the table, with the column widths of `format_line`.
    pub(crate) fn format_heading() -> String {
        format!(
            "{:<42} {:>10} {:>11} {:>11} {:>11} {:>7} {:>13} {}",
            "measure", "unit", "naive", "value", "bound", "ratio", "limit", "holds"
        )
    }

    pub(crate) fn format_line(&self) -> String {
        let number = |value: Option<f64>| value.map_or("-".into(), |value| format!("{value:.3}"));
        let limit = match self.limit {
            Limit::AtLeast(limit) => format!(">= {limit:.3}"),
            Limit::AtMost(limit) => format!("<= {limit:.3}"),
            Limit::None => "-".into(),
        };
        format!(
            "{:<42} {:>10} {:>11} {:>11.3} {:>11} {:>7} {:>13} {}",
            self.name,
            self.unit,
            number(self.naive),
            self.value,
            number(self.bound),
            number(self.ratio()),
            limit,
            if self.holds() { "yes" } else { "NO" }
        )
    }
}
