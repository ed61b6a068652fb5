//! Byte streams to targets through other instances, for an instance that has lost its own links to them.
//!
//! The requester sends one message, and receives the result and then the bytes of the target in frames. An
//! empty frame marks the end of the target's stream, so that the end of the other instance is not taken for
//! it: answers without a length end with their connection.

use {
    bytes::Bytes,
    forward::{Instance, Router, TunnelError, TunnelQuery, Tunnels},
    futures::{FutureExt, SinkExt, StreamExt, future::BoxFuture, stream},
    serde::{Deserialize, Serialize},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::{Semaphore, watch},
        task::JoinSet,
        time::{sleep, timeout},
    },
    tokio_util::{
        codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
        io::StreamReader,
    },
    wire::BoxedStream,
};

mod client;
mod message;
mod server;

pub use {client::TunnelClient, server::serve};

use message::{Message, codec, receive, send};
