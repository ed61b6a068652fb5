//! Replica of the operator lists: change log, edits, reads and snapshots.

use super::*;

pub(crate) mod config_reader;
pub(crate) mod config_replica;
pub(crate) mod config_settings;
pub(crate) mod edit;
pub(crate) mod snapshot;
