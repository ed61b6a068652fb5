//! Clients for model engines and plain services.
//!
//! Each exchange uses its own connection, and the clients never retry, so that every failure states
//! whether the target may have run the request.

use {
    bytes::Bytes,
    futures::{
        future::BoxFuture,
        stream::{self, BoxStream, StreamExt},
    },
    serde::{Deserialize, Serialize},
    settings::{Check, Faults},
    std::{fmt::Debug, net::SocketAddr, sync::Arc, time::Duration},
    types::{
        AttemptFailure, CacheEvent, CallReply, CancelRequest, FailureKind, GenerateRequest,
        KvCache, KvRequest, LoadReport, Order, PriorityRequest, StreamRecord, TargetId,
    },
    wire::{
        Call, Connection, LineReader, Reply,
        hyper::{Method, StatusCode},
    },
};

mod classify;
mod engine_client;
mod engines;
mod record_reader;
mod service_client;
mod services;
mod target_settings;

pub use {
    engine_client::EngineClient,
    engines::{Engines, RecordStream},
    service_client::ServiceClient,
    services::Services,
    target_settings::TargetSettings,
};
