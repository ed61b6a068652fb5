//! End-to-end and failure tests over real processes on loopback.
//!
//! Processes are waited for by condition with a generous limit; no test asserts a measured time.

use {
    anyhow::{Context, Result, anyhow, bail},
    serde::Serialize,
    serde_json::Value,
    std::{
        collections::{BTreeMap, BTreeSet},
        fs::{self, File},
        io::{BufRead, BufReader},
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, ChildStdout, Command, ExitStatus, Stdio},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
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
        sync::watch,
        task::{JoinHandle, JoinSet},
        time::{Instant, sleep},
    },
    types::{ConfigVersion, LayerRange, OperationId, RequestId, ResumePoint, TokenIndex},
    wire::{Call, Connection, Reply, ServerEventReader},
};

mod caller;
mod folder;
mod process;
mod record;
mod recorder;
mod relay;
mod signal;
mod until;

pub use {
    caller::{Caller, Stream},
    folder::Folder,
    process::{Process, binary},
    record::{LayerRun, Told},
    recorder::Recorder,
    relay::{Link, Relay},
    signal::Signal,
    until::{LIMIT, until},
};
