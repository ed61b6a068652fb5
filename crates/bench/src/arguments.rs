use super::*;

const HELP: &str = "\
Measures the decision code in virtual time.

Usage: bench [NAME|all] [--scenario island|region|scaled|all] [--seed N] [--json]

NAME is control_cost, overload, recovery, short_work or swing. The exit status is 1 when a measure
does not keep its limit. `bench capacity` prints the slopes of docs/CAPACITY.md.";

/// The parsed command line.
#[derive(Debug)]
pub(crate) struct Arguments {
    /// Whether results are printed as one JSON object a line instead of a table.
    pub(crate) is_json: bool,
    /// Name of a measurement, `all` or `capacity`.
    pub(crate) measurement: String,
    /// Name of a scenario or `all`.
    pub(crate) scenario: String,
    pub(crate) seed: u64,
}

impl Arguments {
    /// Parses the command line; returns none if it only asked for the help text or the version.
    pub(crate) fn parse() -> Result<Option<Self>> {
        let mut arguments = pico_args::Arguments::from_env();
        if arguments.contains("--help") {
            println!("{HELP}");
            return Ok(None);
        }
        if arguments.contains("--version") {
            println!("bench {}", env!("CARGO_PKG_VERSION"));
            return Ok(None);
        }
        let parsed = Self {
            is_json: arguments.contains("--json"),
            scenario: arguments
                .opt_value_from_str("--scenario")?
                .unwrap_or_else(|| "all".into()),
            seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
            measurement: arguments
                .opt_free_from_str()?
                .unwrap_or_else(|| "all".into()),
        };
        let rest = arguments.finish();
        if !rest.is_empty() {
            bail!("unknown arguments {rest:?}; see --help");
        }
        let known = MEASUREMENTS
            .iter()
            .any(|(name, _)| *name == parsed.measurement);
        if !known && parsed.measurement != "all" && parsed.measurement != "capacity" {
            bail!("unknown measurement `{}`; see --help", parsed.measurement);
        }
        if parsed.scenarios().is_empty() {
            bail!("unknown scenario `{}`; see --help", parsed.scenario);
        }
        Ok(Some(parsed))
    }

    /// Scenarios that the command line selects.
    pub(crate) fn scenarios(&self) -> Vec<Scenario> {
        let scenarios = [Scenario::island(), Scenario::region(), Scenario::scaled(10)];
        scenarios
            .into_iter()
            .filter(|scenario| self.scenario == "all" || self.scenario == scenario.name)
            .collect()
    }
}
