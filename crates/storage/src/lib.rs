//! Clients of the platform's table, object store and instance list.
//!
//! A client never sends a write twice: it tries another address only if no byte of the write was
//! sent, so that its user always learns whether the write may have taken effect.

use {
    bytes::Bytes,
    futures::future::BoxFuture,
    serde::{Deserialize, Serialize},
    settings::{Check, Faults},
    std::{
        fmt::Debug,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    thiserror::Error,
    types::{Listing, StoreFailure, StoreReply, StoreRequest},
    wire::{
        Call, Connection, Reply,
        hyper::{Method, StatusCode},
    },
};

mod client;
mod error;
mod listings;
mod objects;
mod platform_settings;
mod table;

pub use {
    client::PlatformClient, error::Error, listings::Listings, objects::Objects,
    platform_settings::PlatformSettings, table::Table,
};
