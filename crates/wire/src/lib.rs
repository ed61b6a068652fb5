//! HTTP/1.1 server and client helpers on top of hyper, with size and time limits, and server-sent
//! events.
//!
//! The client never retries by itself, so that its user always learns whether the server may have
//! received bytes of a request.

use {
    bytes::{Buf, Bytes, BytesMut},
    clock::RunMonitor,
    futures::{FutureExt, future::BoxFuture},
    http_body_util::{BodyExt, Full, LengthLimitError, Limited, StreamBody, combinators::BoxBody},
    hyper::{
        HeaderMap, Method, StatusCode, Version,
        body::{Frame, Incoming, SizeHint},
        client::conn::http1::SendRequest,
        header::{
            CACHE_CONTROL, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderName, HeaderValue,
            RETRY_AFTER,
        },
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        collections::{HashMap, VecDeque},
        error::Error as StdError,
        hash::{DefaultHasher, Hasher},
        io::{self, IoSlice},
        net::{IpAddr, Ipv6Addr, SocketAddr},
        ops::RangeInclusive,
        pin::Pin,
        sync::{
            Arc, PoisonError,
            atomic::{AtomicU8, AtomicU64, Ordering},
        },
        task::{self, Poll},
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
        net::{TcpListener, TcpStream},
        sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, watch},
        task::{AbortHandle, JoinSet},
        time::{Instant, Sleep, timeout, timeout_at},
    },
    tokio_util::io::poll_read_buf,
    tracing_mutex::stdsync::{Mutex, MutexGuard},
};

mod call;
mod caller_stream;
mod client_limiter;
mod close_policy;
mod closed_direction;
mod connection;
mod connector;
mod error;
mod fault;
mod limits;
mod message;
mod reply_filter;
mod reply_framing;
mod reply_state;
mod request;
mod request_progress;
mod response;
mod server;
mod sse;
mod tracked_body;

pub use {
    bytes,
    call::{Call, Reply, call},
    close_policy::{CloseHandling, ClosePolicy},
    connection::{Connection, LineReader, ReplyStream},
    connector::{BoxedStream, Connector, Stream, TcpConnector},
    error::Error,
    fault::{EarlierSubmissions, Fault, FaultBody},
    hyper,
    limits::Limits,
    reply_state::DiscardedReplies,
    request::Request,
    response::{Body, BodySender, Disconnect, Response, disconnect, empty, json, stream, text},
    server::{Handler, serve},
    sse::{ServerEvent, ServerEventReader},
};

use {
    caller_stream::CallerStream,
    client_limiter::ClientLimiter,
    closed_direction::ClosedDirection,
    connector::{connect, connect_error},
    message::read_json,
    reply_filter::ReplyFilter,
    reply_framing::{FramingError, ReplyFraming},
    reply_state::{ReplyKind, ReplyStateHandle},
    request_progress::{CurrentRequest, RequestCounter, RequestProgress},
    tracked_body::TrackedBody,
};
