//! Recognizes requests that crash the targets that run them, so that they are refused before they
//! take down one target after another. Without input or output.

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
