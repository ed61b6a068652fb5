use super::*;

/// Errors of settings, of the command line and of the log.
#[derive(Debug, Error)]
pub enum Error {
    /// An argument is unknown or lacks its value.
    #[error("{message}; run `{program} --help` for the arguments")]
    Arguments {
        /// What is wrong with the arguments.
        message: String,
        /// Name of the binary.
        program: &'static str,
    },
    /// The settings contain invalid values.
    #[error("{0}")]
    Faults(Faults),
    /// The log cannot be set up.
    #[error("cannot set up the log: {message}; correct `log.filter`, for example to `info`")]
    Log {
        /// Message of the underlying error.
        message: String,
    },
    /// Standard output cannot be written to.
    #[error("cannot write to standard output: {message}; check the process that reads it")]
    Output {
        /// Message of the underlying error.
        message: String,
    },
    /// The settings file cannot be read.
    #[error("{file}: cannot be read: {message}; check the path and its permissions")]
    Read {
        /// Path of the file.
        file: String,
        /// Message of the underlying error.
        message: String,
    },
    /// The text is not valid JSON.
    #[error("{file}:{line}:{column}: not JSON: {message}; correct the syntax at this position")]
    Syntax {
        /// Column, starting at 1.
        column: usize,
        /// Path of the file.
        file: String,
        /// Line, starting at 1.
        line: usize,
        /// Message of the underlying error.
        message: String,
    },
}
