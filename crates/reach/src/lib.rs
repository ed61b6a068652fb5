//! Decides whether an instance reaches targets itself, and through which instances it reaches them otherwise.
//!
//! An instance may lose its links to all targets while others still reach them. A failed connection alone
//! does not tell which side is at fault; that another instance reaches the same target at that moment does.

use {
    rand::{Rng, seq::IndexedRandom},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
};

mod direct_reach;
mod helpers;

pub use {direct_reach::DirectReach, helpers::Helpers};

/// Id of an instance.
pub type InstanceId = Arc<str>;

/// Id of a target.
pub type TargetId = Arc<str>;
