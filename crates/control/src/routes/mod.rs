//! Routing: choice of targets by speed, load, link cost and prefix caches.

use super::*;

pub(crate) mod draw;
pub(crate) mod layer_rates;
pub(crate) mod link_costs;
pub(crate) mod load_estimator;
pub(crate) mod prefix_caches;
pub(crate) mod router;
pub(crate) mod score;
pub(crate) mod size_history;
