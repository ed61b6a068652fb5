//! Reads and validates JSON settings and reports all faults together. Also contains the command
//! line handling and log setup shared by all binaries.

use {
    pico_args::Arguments,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::{Map, Value},
    std::{
        ffi::OsString,
        fmt::{self, Display, Formatter},
        fs,
        io::{self, Write},
        ops::RangeInclusive,
        path::Path,
    },
    thiserror::Error,
    tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard},
    tracing_subscriber::EnvFilter,
};

mod check;
mod closest_match;
mod error;
mod fault;
mod load;
mod log;
mod program;
mod settings_reader;

use {closest_match::closest_match, settings_reader::SettingsReader};

pub use {
    check::Check,
    error::Error,
    fault::{Fault, Faults},
    load::{load, parse},
    log::{LogFormat, LogSettings, start_log, start_stdout_log},
    program::Program,
};
