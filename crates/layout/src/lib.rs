//! Which layers of a model each engine holds.
//!
//! Engines are grouped so that a request rarely leaves its failure domain: each domain that can
//! hold the whole model is a group, and the others form one group together. Within a group the
//! engines hold adjacent ranges, and start again at the first layer when memory is left, so that
//! most layers are there twice. Requests may use a part of a range.

use std::{collections::BTreeMap, sync::Arc};

mod engine;
mod group;
mod plan;
mod range;
mod settings;

pub use {
    engine::{Engine, ModelShape},
    plan::{Placement, plan},
    range::LayerRange,
    settings::LayoutSettings,
};

use group::{Group, groups};

/// Id of an engine.
pub type EngineId = Arc<str>;
