//! Queries between instances: a `tarpc` service over TCP. The leader or a stand-in reads the shared
//! stores, and the other instances query it.

use {
    forward::Error,
    futures::{FutureExt, StreamExt, future::BoxFuture},
    reconcile::{Query, Relay, RelayHandler, RelayReply, VictimAnswer, VictimQuery},
    std::{net::SocketAddr, sync::Arc, time::Duration},
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

mod relay_client;
mod server;
mod service;

pub use {relay_client::RelayClient, server::serve};

use service::{RelayServiceClient, Service};

/// Longest message, in bytes. It must hold a configuration with several thousand routes and the
/// list of targets.
const FRAME_BYTES: usize = 16 * 1024 * 1024;
