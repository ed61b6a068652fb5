//! Ordering of the tokens of a stream, and the journal from which another instance can resume it.

use super::*;

pub(crate) mod assembly;
pub(crate) mod journal;
pub(crate) mod journal_entry;
pub(crate) mod journal_message;
