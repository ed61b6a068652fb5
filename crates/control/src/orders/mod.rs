//! Orders to engines: which models each engine loads, and which instance may order it.

use super::*;

pub(crate) mod order;
pub(crate) mod order_rows;
pub(crate) mod order_settings;
pub(crate) mod owned_engine;
pub(crate) mod placement;
pub(crate) mod token_row;
pub(crate) mod usage_summary;
