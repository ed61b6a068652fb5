//! Idempotency record of non-repeatable calls: each key runs at most once, across all instances.

use super::*;

pub(crate) mod call_entry;
pub(crate) mod call_row;
pub(crate) mod call_steps;
pub(crate) mod claims;
pub(crate) mod outbox;
pub(crate) mod peer_query;
pub(crate) mod record;
pub(crate) mod record_settings;
pub(crate) mod store_replies;
pub(crate) mod sweep;
