//! State charts in files, and the interpreter that drives code from them.
//!
//! A chart names its states and, for each state, the events that it takes, the next state and the
//! actions to carry out. Code asks the chart for each step, so the file is the behaviour and the
//! documentation is drawn from the same file.

use {
    serde::{Deserialize, de::DeserializeOwned},
    std::{collections::BTreeMap, fmt::Debug},
    thiserror::Error,
};

mod chart;
mod error;
mod markdown;
mod source;

pub use {
    chart::{Chart, Step},
    error::Error,
    markdown::render_markdown,
    source::{ChartSource, StateSource, TransitionSource},
};
