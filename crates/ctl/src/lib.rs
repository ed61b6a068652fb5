//! Operator's command-line client of the administration interface.
//!
//! An edit keeps one operation id over all of its retries and over all entry addresses, so that a
//! reply that was lost on the way is resolved by the next attempt instead of editing twice.

use {
    pico_args::Arguments,
    rand::{TryRngCore, rngs::OsRng},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        ffi::OsString,
        fs,
        io::{self, Read},
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
    thiserror::Error,
    tokio::time::{Instant, sleep},
    types::{Account, ConfigVersion, Plan, hash_key},
    wire::{
        Call, Fault, FaultBody, Reply, call,
        hyper::{Method, StatusCode},
    },
};

mod client;
mod command;
mod entry;
mod error;
mod key;
mod options;
mod run;
mod status;
mod table;

pub use {
    client::{Client, Edit},
    command::{Command, ListKind},
    entry::{parse_entry, read_entry},
    error::Error,
    key::{new_operation_id, new_secret_key, operator_key},
    options::{HELP, Options},
    run::run,
    status::{InstanceStatus, Status},
    table::format_table,
};

use run::in_force_text;
