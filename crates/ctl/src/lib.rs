//! Command-line client with which operators use the administration interface.
//!
//! All attempts of an edit, at whatever entry address, carry the same operation id. If a reply is
//! lost, the next attempt returns the result of the first one instead of repeating the edit.

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
