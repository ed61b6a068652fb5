use super::*;

/// Environment variable that holds the secret key of the client account.
const KEY_VARIABLE: &str = "SYCAMOREGAUGE_CALLER_KEY";

/// Settings of the load generator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadSettings {
    /// Most requests in progress at once. A request that arrives above this limit is not sent and
    /// counts as shed by this program.
    pub concurrent_count: u32,
    /// Addresses of entry instances, all on loopback, in the order in which they are tried.
    pub entries: Vec<SocketAddr>,
    /// Time without an event after which a stream counts as broken and the next address is tried,
    /// in milliseconds.
    pub idle_ms: u64,
    /// File with the secret key of the client account; empty reads `SYCAMOREGAUGE_CALLER_KEY`.
    pub key_file: String,
    /// Fraction of the prompts that ask for a long answer, from 0 to 1.
    pub long_fraction: f64,
    /// Length of long answers, in tokens.
    pub long_tokens: u32,
    /// Name of the model that the prompts ask for.
    pub model: String,
    /// Mean number of prompts per second.
    pub prompts_per_s: f64,
    /// Time between progress lines on standard error, in milliseconds; 0 prints none.
    pub progress_ms: u64,
    /// Seed of the arrival times and answer lengths; also sent with each request.
    pub seed: u64,
    /// Length of short answers, in tokens.
    pub short_tokens: u32,
    /// Duration of each of the two phases, in milliseconds.
    pub span_ms: u64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            concurrent_count: 256,
            entries: vec![SocketAddr::from(([127, 0, 0, 1], 7101))],
            idle_ms: 20_000,
            key_file: String::new(),
            long_fraction: 0.05,
            long_tokens: 200,
            model: "assistant".into(),
            progress_ms: 1_000,
            prompts_per_s: 10.0,
            seed: 1,
            short_tokens: 20,
            span_ms: 10_000,
        }
    }
}

impl LoadSettings {
    /// Reads the secret key of the client account from `key_file`, or from the environment variable
    /// if that is empty.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or the variable is not set.
    pub fn key(&self) -> Result<String> {
        if self.key_file.is_empty() {
            return std::env::var(KEY_VARIABLE)
                .with_context(|| format!("set {KEY_VARIABLE}, or `key_file` in the settings"));
        }
        let text = std::fs::read_to_string(&self.key_file)
            .with_context(|| format!("`{}` cannot be read; check `key_file`", self.key_file))?;
        Ok(text.trim().into())
    }

    pub(crate) fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }

    pub(crate) fn phase_duration(&self) -> Duration {
        Duration::from_millis(self.span_ms)
    }
}

impl Check for LoadSettings {
    fn check(&self, faults: &mut Faults) {
        let has_entry = !self.entries.is_empty();
        faults.require(has_entry, "entries", "[]", "is empty", "name an instance");
        for entry in &self.entries {
            let problem = "is not a loopback address";
            let remedy = "use an address of this machine; other hosts are not loaded";
            faults.require(entry.ip().is_loopback(), "entries", entry, problem, remedy);
        }
        let remedy = "choose a value within the range";
        faults.require_in_range(
            "concurrent_count",
            self.concurrent_count,
            1..=10_000,
            remedy,
        );
        faults.require_in_range("idle_ms", self.idle_ms, 100..=600_000, remedy);
        faults.require_in_range("long_fraction", self.long_fraction, 0.0..=1.0, remedy);
        faults.require_in_range("long_tokens", self.long_tokens, 1..=8_192, remedy);
        faults.require_in_range("prompts_per_s", self.prompts_per_s, 0.1..=1_000.0, remedy);
        faults.require_in_range("short_tokens", self.short_tokens, 1..=8_192, remedy);
        faults.require_in_range("span_ms", self.span_ms, 100..=600_000, remedy);
        faults.require_not_empty("model", &self.model, "name a model of the plan");
    }
}
