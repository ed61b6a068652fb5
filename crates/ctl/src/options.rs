use super::*;

/// Text that `--help` prints.
pub const HELP: &str = "\
Operator's client of sycamoregauge

Usage: ctl [OPTIONS] COMMAND

Commands:
  accounts list | show ID | put ID [FILE] | delete ID
  plans    list | show ID | put ID [FILE] | delete ID
  status                 version, and on how many instances it is in force
  key new                makes a secret key; prints it once, with its hash

`put` reads the entry as JSON from FILE, or from standard input.

Options:
  --entry ADDRESS        entry instance; may be repeated, and is tried in this order
                         (default: SYCAMOREGAUGE_ENTRIES, with commas)
  --if-match VERSION     makes an edit only if this version is current
                         (default: the version read just before the edit)
  --json                 prints JSON instead of tables
  --key-file FILE        file with the operator key
                         (default: SYCAMOREGAUGE_OPERATOR_KEY holds the key)
  --limit-s SECONDS      time for one command, and for --wait (default 30)
  --operation-id ID      id of an earlier edit whose reply was lost
  --wait                 waits until the edit is in force on every instance
  --help, --version

Exit codes:
  0 done             3 conflict with another edit      6 edit may have taken effect
  1 unusable reply   4 refused by the instance         7 accepted, not yet in force
  2 wrong input      5 unavailable, nothing changed      everywhere
";

/// Time limit of a command without `--limit-s`, in seconds.
const DEFAULT_TIME_LIMIT_S: u64 = 30;

/// The parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Command to run.
    pub command: Command,
    /// Entry addresses, in the order in which they are tried.
    pub entries: Vec<SocketAddr>,
    /// Version that must be current for an edit to be made; none uses the version read before the
    /// edit.
    pub if_match: Option<ConfigVersion>,
    /// Whether the output is JSON instead of tables.
    pub is_json: bool,
    /// File with the operator key; none reads the environment variable.
    pub key_file: Option<PathBuf>,
    /// Time limit of the command, and again of the wait with `--wait`.
    pub time_limit: Duration,
    /// Operation id of an earlier edit to resolve; none makes a new edit.
    pub operation_id: Option<String>,
    /// Whether to wait until an edit is in force on every instance.
    pub wait: bool,
}

impl Options {
    /// Parses the command line. Without `--entry`, the entry addresses are taken from
    /// `environment`, a list with commas.
    ///
    /// # Errors
    ///
    /// Returns `Error::Arguments` for unknown arguments and invalid values.
    pub fn parse(arguments: Vec<OsString>, environment: Option<&str>) -> Result<Self, Error> {
        let mut arguments = Arguments::from_vec(arguments);
        let mut entry_texts: Vec<String> = arguments
            .values_from_str("--entry")
            .map_err(|error| argument_error(&error))?;
        if entry_texts.is_empty() {
            let listed = environment.unwrap_or_default().split(',');
            entry_texts = listed.map(|text| text.trim().to_owned()).collect();
            entry_texts.retain(|text| !text.is_empty());
        }
        let time_limit_s: Option<u64> = arguments
            .opt_value_from_str("--limit-s")
            .map_err(|error| argument_error(&error))?;
        let mut options = Self {
            command: Command::Status,
            entries: parse_addresses(&entry_texts)?,
            if_match: arguments
                .opt_value_from_str("--if-match")
                .map_err(|error| argument_error(&error))?,
            is_json: arguments.contains("--json"),
            key_file: arguments
                .opt_value_from_str("--key-file")
                .map_err(|error| argument_error(&error))?,
            time_limit: Duration::from_secs(time_limit_s.unwrap_or(DEFAULT_TIME_LIMIT_S)),
            operation_id: arguments
                .opt_value_from_str("--operation-id")
                .map_err(|error| argument_error(&error))?,
            wait: arguments.contains("--wait"),
        };
        let mut words = Vec::new();
        for word in arguments.finish() {
            let word = word.to_string_lossy().into_owned();
            if word.starts_with("--") {
                let message = format!("unknown argument `{word}`");
                return Err(Error::Arguments { message });
            }
            words.push(word);
        }
        options.command = Command::parse(&words)?;
        Ok(options)
    }
}

fn parse_addresses(entry_texts: &[String]) -> Result<Vec<SocketAddr>, Error> {
    let mut entries = Vec::new();
    for text in entry_texts {
        let address = text.parse().map_err(|_| Error::Arguments {
            message: format!("`{text}` is not an entry address such as 127.0.0.1:7101"),
        })?;
        entries.push(address);
    }
    Ok(entries)
}

fn argument_error(error: &pico_args::Error) -> Error {
    Error::Arguments {
        message: error.to_string(),
    }
}
