//! Which layers of a model each engine holds.
//!
//! Engines are grouped so that a request rarely leaves its failure domain: each domain that can
//! hold the whole model is a group, and the others form one group together. At first, the engines form
//! chains that hold the whole model each. Those that are left over, and those that come later, take the
//! layers of their group that the fewest engines hold. Requests may use a part of a range.

use std::{collections::BTreeMap, sync::Arc};

mod engine;
mod group;
mod initial_pipelines;
mod plan;
mod range;
mod settings;

pub use {
    engine::{Engine, ModelShape},
    plan::{Placement, plan},
    range::LayerRange,
    settings::LayoutSettings,
};

use {
    group::{Group, groups},
    initial_pipelines::initial_pipelines,
};

/// Id of an engine.
pub type EngineId = Arc<str>;
