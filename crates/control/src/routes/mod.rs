//! Choice of targets: scores, speeds, links, caches and slots.

use super::*;

pub(crate) mod cache;
pub(crate) mod draw;
pub(crate) mod history;
pub(crate) mod link;
pub(crate) mod rate;
pub(crate) mod route;
pub(crate) mod score;
pub(crate) mod slots;
