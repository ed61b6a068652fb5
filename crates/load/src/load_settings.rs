use super::*;

/// Environment variable with the secret key of the account.
const KEY_VARIABLE: &str = "SYCAMOREGAUGE_CALLER_KEY";

/// Settings of the load program.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadSettings {
    /// Requests in progress at most; later ones are counted as shed by this program.
    pub concurrent_count: u32,
    /// Addresses of entry instances, on loopback.
    pub entries: Vec<SocketAddr>,
    /// Longest silence on a stream before the next address is tried, in milliseconds.
    pub idle_ms: u64,
    /// File with the secret key of the account; empty reads `SYCAMOREGAUGE_CALLER_KEY`.
    pub key_file: String,
    /// Part of the prompts that are long.
    pub long_fraction: f64,
    /// Length of long answers, in tokens.
    pub long_tokens: u32,
    /// Model.
    pub model: String,
    /// Prompts per second.
    pub prompts_per_s: f64,
    /// Time between progress lines, in milliseconds; 0 for none.
    pub progress_ms: u64,
    /// Seed of arrival times and lengths.
    pub seed: u64,
    /// Length of short answers, in tokens.
    pub short_tokens: u32,
    /// Length of each of the two phases, in milliseconds.
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
    /// Secret key of the account.
    ///
    /// # Errors
    ///
    /// Returns an error when neither the file nor the variable holds one.
    pub fn key(&self) -> Result<String> {
        if self.key_file.is_empty() {
            return std::env::var(KEY_VARIABLE)
                .with_context(|| format!("set {KEY_VARIABLE}, or `key_file` in the settings"));
        }
        let text = std::fs::read_to_string(&self.key_file)
            .with_context(|| format!("`{}` cannot be read; check `key_file`", self.key_file))?;
        Ok(text.trim().into())
    }

    pub(crate) fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }

    pub(crate) fn span(&self) -> Duration {
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
