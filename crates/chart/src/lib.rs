//! State charts that are defined in files, and the interpreter that runs them.
//!
//! A chart names its states and, for each state, the events that it takes, the next state and the
//! actions to carry out. The code looks up each step in the chart, so the file defines the
//! behaviour, and the documentation is generated from the same file.

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
