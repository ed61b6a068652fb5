//! Membership: health of instances and targets as this instance sees it, and the entry addresses
//! for callers.

use super::*;

pub(crate) mod entry_addresses;
pub(crate) mod failure_detector;
pub(crate) mod health_tracker;
pub(crate) mod heartbeat;
pub(crate) mod load_report;
pub(crate) mod member;
pub(crate) mod member_settings;
pub(crate) mod observation;
pub(crate) mod peer;
pub(crate) mod target;
