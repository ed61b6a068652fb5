use super::*;

/// Errors of the client; `exit_code` gives the exit code of each.
#[derive(Debug, Error)]
pub enum Error {
    /// The command line is invalid.
    #[error("{message}; run `ctl --help` for the arguments")]
    Arguments {
        /// What is wrong with the arguments.
        message: String,
    },
    /// Another edit was accepted first.
    #[error(
        "another edit was accepted first, so nothing was changed: {message}; the current version \
         is {current_version}; show the entry again, apply the edit to it and send it with \
         `--if-match {current_version}`"
    )]
    Conflict {
        /// Current version, or `not known`.
        current_version: String,
        /// Message of the instance.
        message: String,
    },
    /// A file or standard input cannot be read, or does not contain a valid entry.
    #[error("{file}: {message}; correct it and run the command again")]
    Entry {
        /// Name of the file, with line and column if they are known.
        file: String,
        /// Why the entry cannot be used.
        message: String,
    },
    /// The operator key is missing, empty or unreadable, or no random numbers are available for a
    /// new key or operation id.
    #[error(
        "no operator key: {message}; set SYCAMOREGAUGE_OPERATOR_KEY or give its file with \
         `--key-file FILE`"
    )]
    Key {
        /// Why there is no key.
        message: String,
    },
    /// An instance refused the request.
    #[error("refused with status {status}: {message}")]
    Refused {
        /// Message of the instance, which says what to do.
        message: String,
        /// HTTP status of the reply.
        status: u16,
    },
    /// No entry instance accepted the request, so nothing was changed.
    #[error(
        "no entry instance accepted the request, so nothing was changed: {message}; run the \
         command again, or add more addresses with `--entry`"
    )]
    Unavailable {
        /// Error of the last attempt.
        message: String,
    },
    /// An edit may or may not have taken effect.
    #[error(
        "no conclusive reply arrived, so the edit may or may not have taken effect: {message}; run \
         the command again with `--operation-id {operation_id}{if_match}` to find out"
    )]
    OutcomeUnknown {
        /// `--if-match` argument that gives the same version again, with a leading space; empty if
        /// the edit has no version.
        if_match: String,
        /// Error of the last attempt.
        message: String,
        /// Operation id of the edit.
        operation_id: String,
    },
    /// A reply does not have the documented format.
    #[error(
        "the reply does not have the documented format: {message}; use the `ctl` of the same \
         release as the instances"
    )]
    Reply {
        /// What is wrong with the reply.
        message: String,
    },
    /// The edit was accepted, but its version was not in force on every instance in time.
    #[error(
        "version {version} is accepted but was {in_force} after {time_limit:?}; run `ctl status` \
         to see which instances are behind"
    )]
    NotInForce {
        /// On how many instances the version is in force, as worded by `in_force_text`.
        in_force: String,
        /// How long the client waited.
        time_limit: Duration,
        /// Version that the edit created.
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
