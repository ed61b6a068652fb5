//! End-to-end and failure tests with real processes on loopback.
//!
//! Tests wait for conditions with a long timeout and never assert a measured time, because the
//! machine may be busy.

use {
    anyhow::{Context, Error, Result, anyhow, bail},
    ctl::{Client, Edit, new_operation_id},
    serde::{Serialize, de::DeserializeOwned},
    serde_json::{Value, json},
    standin::{
        EngineLog, EngineSettings, Execution, RegistrationSettings, ServiceFaults, ServiceSettings,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        fs::{self, File},
        io::{BufRead, BufReader},
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, ChildStdout, Command, ExitStatus, Output, Stdio},
        sync::{
            Arc, PoisonError,
            atomic::{AtomicU64, Ordering},
            mpsc,
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::{Semaphore, SemaphorePermit, watch},
        task::{JoinHandle, JoinSet},
        time::{Instant, sleep},
    },
    tracing_mutex::stdsync::{Mutex, MutexGuard},
    types::{
        ConfigVersion, LayerRange, LoadedModel, OperationId, RequestId, ResumePoint, StoreReply,
        StoreRequest, TokenIndex, hash_key,
    },
    wire::{Call, Connection, Reply, ServerEvent, ServerEventReader, hyper::Method},
};

mod answer;
mod caller;
mod cluster;
mod faulty_replies;
mod inspection;
mod lifecycle;
mod load;
mod process;
mod record;
mod recorder;
mod relay;
mod reply_fault;
mod reply_reader;
mod setup;
mod signal;
mod temp_dir;
mod wait_until;

pub use {
    answer::ExpectedAnswer,
    caller::{Caller, StreamState},
    cluster::{Cluster, engine_log},
    faulty_replies::{FILL_BYTE, FaultyReplies},
    load::LoadGenerator,
    process::{Process, binary_path},
    record::{CallOutcome, LayerRun},
    recorder::Recorder,
    relay::{LinkState, Relay},
    reply_fault::{ReplyFault, ReplyFaults},
    setup::{CALLER_KEY, MODEL, OPERATOR_KEY, SERVICE, Setup},
    signal::Signal,
    temp_dir::TempDir,
    wait_until::{WAIT_LIMIT, wait_until},
};
