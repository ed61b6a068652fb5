//! Live view of instances and targets, and the entry addresses given to callers.

use super::*;

pub(crate) mod address;
pub(crate) mod belief;
pub(crate) mod detector;
pub(crate) mod heartbeat;
pub(crate) mod member;
pub(crate) mod member_settings;
pub(crate) mod observation;
pub(crate) mod peer;
pub(crate) mod report;
pub(crate) mod target;
