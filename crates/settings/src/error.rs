use super::*;

/// Faults of settings, of the command line and of the log.
#[derive(Debug, Error)]
pub enum Error {
    /// An argument that the binary does not know, or that lacks its value.
    #[error("{message}; run `{program} --help` for the arguments")]
    Arguments {
        /// Fault.
        message: String,
        /// Binary.
        program: &'static str,
    },
    /// Settings with values that cannot be used.
    #[error("{0}")]
    Faults(Faults),
    /// The log cannot be set up.
    #[error("the log cannot be set up: {message}; correct `log.filter`, for example to `info`")]
    Log {
        /// Cause.
        message: String,
    },
    /// Standard output cannot be written.
    #[error("standard output cannot be written: {message}; check what reads it")]
    Output {
        /// Cause.
        message: String,
    },
    /// The file cannot be read.
    #[error("{file}: cannot be read: {message}; check the path and its permissions")]
    Read {
        /// File.
        file: String,
        /// Cause.
        message: String,
    },
    /// Text that is not JSON.
    #[error("{file}:{line}:{column}: not JSON: {message}; correct the text at this position")]
    Syntax {
        /// Column, from 1.
        column: usize,
        /// File.
        file: String,
        /// Line, from 1.
        line: usize,
        /// Cause.
        message: String,
    },
}
