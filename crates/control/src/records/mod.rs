//! Record of calls that may run at most once.

use super::*;

pub(crate) mod ask;
pub(crate) mod call_entry;
pub(crate) mod call_reply;
pub(crate) mod call_row;
pub(crate) mod claim;
pub(crate) mod claims;
pub(crate) mod outcome;
pub(crate) mod record;
pub(crate) mod record_settings;
pub(crate) mod sweep;
