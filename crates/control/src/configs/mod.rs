//! The operator lists: version series, edits, reads and snapshots.

use super::*;

pub(crate) mod config;
pub(crate) mod config_read;
pub(crate) mod config_settings;
pub(crate) mod edit;
pub(crate) mod snapshot;
