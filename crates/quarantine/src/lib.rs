//! Detects requests, and parts of prompts, that crash the targets that run them, and refuses them before they
//! crash one target after another. The crate does no I/O.

use {
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, HashSet, VecDeque},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    types::{CrashReport, Fingerprint, Incarnation, InstanceId, RequestId, TargetId},
};

mod crash_detector;
mod crash_phase;
mod crash_victim;
mod fingerprint;
mod part_quarantine;
mod part_settings;
mod prompt_run;
mod quarantine;
mod recent_map;
mod settings;
mod suspicion;
mod victim_reports;

pub use {
    crash_detector::{CrashDetector, Interruption, TargetRun, TargetSign},
    crash_phase::CrashPhase,
    crash_victim::{CrashId, PhasedVictimReport, VictimReport},
    fingerprint::fingerprint,
    part_quarantine::{Hold, PartQuarantine},
    part_settings::PartSettings,
    prompt_run::PromptRun,
    quarantine::Quarantine,
    settings::QuarantineSettings,
};

use {
    crash_victim::CrashVictim,
    recent_map::{RecentMap, RecentSet},
    suspicion::Suspicion,
};
