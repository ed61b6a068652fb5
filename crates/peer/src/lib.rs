//! Calls between entry instances: a `tarpc` service over TCP with bincode.
//!
//! Every call carries the secret that all instances share, has a deadline, and is sent in frames of
//! limited size. Other crates use only the traits `Peers` and `PeerHandler`.

use {
    blake3::Hash,
    control::{AppendAnswer, CallQuery, JournalAppend, OwnerStatus, TakeAnswer, TakeRequest},
    futures::{FutureExt, Stream, StreamExt, future::BoxFuture},
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        fmt::{self, Debug, Formatter},
        future::Future,
        net::SocketAddr,
        sync::{Arc, PoisonError},
        time::Duration,
    },
    tarpc::{
        client::{self, RpcError},
        context::Context,
        serde_transport::{self, Transport},
        server::{BaseChannel, Channel},
        tokio_serde::formats::Bincode,
        tokio_util::codec::LengthDelimitedCodec,
    },
    thiserror::Error,
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, watch},
        task::JoinSet,
        time::{Instant, timeout},
    },
    tracing_mutex::stdsync::Mutex,
    types::{ChangeRecord, ConfigVersion, Heartbeat, Incarnation, InstanceId, OperatorLists},
};

mod changes;
mod error;
mod peer_connection;
mod peers;
mod pool;
mod secret;
mod server;
mod service;
mod settings;

pub use {
    changes::Changes,
    error::Error,
    peers::{PeerHandler, Peers},
    pool::Pool,
    secret::Secret,
    server::{serve, transport},
    settings::PeerSettings,
};

use {
    peer_connection::PeerConnection,
    service::{PeerServiceClient, Rejection},
};
