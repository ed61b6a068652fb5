//! Detects requests that crash the targets that run them, and refuses them before they crash one target
//! after another. The crate does no I/O.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    types::{CrashReport, Fingerprint, Incarnation, InstanceId, RequestId, TargetId},
};

mod crash_detector;
mod fingerprint;
mod quarantine;
mod settings;

pub use {
    crash_detector::{CrashDetector, InterruptedRun},
    fingerprint::fingerprint,
    quarantine::Quarantine,
    settings::QuarantineSettings,
};
