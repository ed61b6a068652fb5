//! Lifecycle of a request, from submission to its final answer.

use super::*;

pub(crate) mod departure;
pub(crate) mod departure_settings;
pub(crate) mod dispatch;
pub(crate) mod drain;
pub(crate) mod failure;
pub(crate) mod lifecycle;
pub(crate) mod priority;
pub(crate) mod progress;
pub(crate) mod request;
pub(crate) mod request_table;
pub(crate) mod resource;
pub(crate) mod submit;
