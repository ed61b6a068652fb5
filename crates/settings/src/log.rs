use super::*;

/// Settings of the log: what is logged and in which format.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Log levels by module, for example `info` or `info,control=debug`.
    pub filter: String,
    /// Format of log lines.
    pub format: LogFormat,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line, for processing by programs.
    Json,
    /// Plain text, for people.
    #[default]
    Text,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            // tarpc logs several lines at `info` for each heartbeat.
            filter: "info,tarpc=warn".into(),
            format: LogFormat::default(),
        }
    }
}

impl Check for LogSettings {
    fn check(&self, faults: &mut Faults) {
        if let Err(error) = EnvFilter::try_new(&self.filter) {
            let value = format!("{:?}", self.filter);
            let remedy =
                "write a level such as `info`, or `module=level` pairs separated by commas";
            faults.add("filter", value, &error.to_string(), remedy);
        }
    }
}

/// Sets up a log on standard error.
///
/// # Errors
///
/// Returns `Error::Log` if the filter is invalid or a log is already set up.
pub fn start_log(log: &LogSettings) -> Result<(), Error> {
    let log_error = |message: String| Error::Log { message };
    let filter = EnvFilter::try_new(&log.filter).map_err(|error| log_error(error.to_string()))?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(io::stderr);
    let result = match log.format {
        LogFormat::Json => builder.json().try_init(),
        LogFormat::Text => builder.with_ansi(false).try_init(),
    };
    result.map_err(|error| log_error(error.to_string()))
}

/// Maximum number of lines buffered for the reader of standard output. Further lines are dropped
/// and counted.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Sets up a log on standard output that never blocks: lines that the reader does not consume in
/// time are dropped. Lines are written until the guard is dropped.
///
/// # Errors
///
/// Returns `Error::Log` if the filter is invalid or a log is already set up.
pub fn start_stdout_log(log: &LogSettings) -> Result<WorkerGuard, Error> {
    let log_error = |message: String| Error::Log { message };
    let filter = EnvFilter::try_new(&log.filter).map_err(|error| log_error(error.to_string()))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(io::stdout());
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer);
    let result = match log.format {
        LogFormat::Json => builder
            .json()
            .flatten_event(true)
            .with_target(false)
            .try_init(),
        LogFormat::Text => builder.with_ansi(false).try_init(),
    };
    result.map_err(|error| log_error(error.to_string()))?;
    Ok(guard)
}
