//! Order of tokens within a stream, and its copy for takeover by another instance.

use super::*;

pub(crate) mod assembly;
pub(crate) mod journal;
pub(crate) mod journal_entry;
pub(crate) mod journal_message;
