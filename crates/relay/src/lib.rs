//! Queries between instances: a `tarpc` service over TCP. The leader or a stand-in reads the shared
//! stores, and the other instances query it.

use {
    forward::{Error, Instance, PermitPeers},
    futures::{FutureExt, StreamExt, future::BoxFuture},
    ratelimit::{PermitQuery, PermitReply},
    reconcile::{
        PhasedVictimAnswer, PhasedVictimQuery, Query, Relay, RelayHandler, RelayReply,
        VictimAnswer, VictimQuery,
    },
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
    tarpc::{
        client::{self, RpcError},
        context::{self, Context},
        server::{BaseChannel, Channel},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Mutex,
        time::{sleep, timeout},
    },
};

mod permit_client;
mod relay_client;
mod server;
mod service;

pub use {permit_client::PermitClient, relay_client::RelayClient, server::serve};

use service::{RelayServiceClient, Service};

/// Longest message, in bytes. It must hold a configuration with several thousand routes and the
/// list of targets.
const FRAME_BYTES: usize = 16 * 1024 * 1024;
