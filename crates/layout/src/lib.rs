//! Assigns layers of a model to engines.
//!
//! Engines are grouped so that a request rarely leaves its failure domain: each domain that can hold the
//! whole model is a group, and all others form one group together. Initially, the engines form pipelines,
//! each of which holds the whole model. Engines that are left over, and those that join later, get the
//! layers of their group that the fewest engines hold. A request may use only a part of an engine's range.
//! While a layer has no holder, engines that hold other layers may get another range too.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

mod engine;
mod first_stage;
mod group;
mod initial_pipelines;
mod plan;
mod range;
mod settings;
mod shift;

pub use {
    engine::{Engine, ModelShape},
    first_stage::additional_first_stage,
    plan::{Placement, plan},
    range::LayerRange,
    settings::LayoutSettings,
    shift::{missing_layers, shift_ranges},
};

use {
    group::{Group, groups},
    initial_pipelines::initial_pipelines,
};

/// Id of an engine, equal to its id as a target.
pub type EngineId = Arc<str>;
