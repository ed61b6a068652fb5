use super::*;

/// Faults of the client, each with its exit code.
#[derive(Debug, Error)]
pub enum Error {
    /// Arguments that cannot be used.
    #[error("{message}; run `ctl --help` for the arguments")]
    Arguments {
        /// Fault.
        message: String,
    },
    /// Another edit came first.
    #[error(
        "another edit came first and nothing was changed: {message}; the current version is \
         {current_version}; show the entry again, repeat the edit on it and send it with \
         `--if-match {current_version}`"
    )]
    Conflict {
        /// Current version, or `not known`.
        current_version: String,
        /// Message of the instance.
        message: String,
    },
    /// A file or standard input cannot be read, or does not hold an entry.
    #[error("{file}: {message}; correct it and run the command again")]
    Entry {
        /// File, with line and column where known.
        file: String,
        /// Cause.
        message: String,
    },
    /// The operator key is absent or unreadable.
    #[error(
        "no operator key: {message}; set SYCAMOREGAUGE_OPERATOR_KEY or give its file with \
         `--key-file FILE`"
    )]
    Key {
        /// Cause.
        message: String,
    },
    /// The instance refused the request.
    #[error("refused with status {status}: {message}")]
    Refused {
        /// Message of the instance, with the remedy.
        message: String,
        /// HTTP status.
        status: u16,
    },
    /// No entry address took the request; nothing was changed.
    #[error(
        "no entry instance took the request, and nothing was changed: {message}; run the command \
         again, or name more addresses with `--entry`"
    )]
    Unavailable {
        /// Last fault.
        message: String,
    },
    /// An edit may or may not have taken effect.
    #[error(
        "no reply came, so the edit may or may not have taken effect: {message}; run the command \
         again with `--operation-id {operation_id}{if_match}` to learn which"
    )]
    OutcomeUnknown {
        /// Argument that repeats the version of the edit.
        if_match: String,
        /// Last fault.
        message: String,
        /// Operation id of the edit.
        operation_id: String,
    },
    /// A reply that is not of the documented form.
    #[error("the reply is not of the documented form: {message}; use the `ctl` of this release")]
    Reply {
        /// Cause.
        message: String,
    },
    /// The change is accepted but was not seen in force everywhere.
    #[error(
        "version {version} is accepted but was {in_force} after {time_limit:?}; run `ctl status` \
         to see which instances are behind"
    )]
    NotInForce {
        /// Where it is in force, as `in_force_text` says it.
        in_force: String,
        /// Time waited.
        time_limit: Duration,
        /// Version.
        version: ConfigVersion,
    },
}

impl Error {
    /// Exit code of the process.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Reply { .. } => 1,
            Self::Arguments { .. } | Self::Entry { .. } | Self::Key { .. } => 2,
            Self::Conflict { .. } => 3,
            Self::Refused { .. } => 4,
            Self::Unavailable { .. } => 5,
            Self::OutcomeUnknown { .. } => 6,
            Self::NotInForce { .. } => 7,
        }
    }
}

impl From<wire::Error> for Error {
    fn from(error: wire::Error) -> Self {
        Self::Reply {
            message: error.to_string(),
        }
    }
}
