//! Builders of targets, identities and queries for tests that call the router directly.

#![allow(dead_code)]

use {
    control::{Identity, Resource, RouteQuery, Target},
    std::{collections::BTreeSet, time::Duration},
    types::{LayerRange, ListingRole, LoadReport, LoadedModel, TargetHealth, TargetId},
};

/// Engine `e{index}` with layers `start..end` of the 6 layers of model `m` and 8 slots.
pub fn engine(index: usize, start: u32, end: u32, domain: u8, running_count: u32) -> Target {
    Target {
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: format!("d{domain}").into(),
        health: TargetHealth::Live,
        id: format!("e{index}").into(),
        incarnation: 1,
        ramp_fraction: 1.0,
        region: "r".into(),
        report: LoadReport {
            models: vec![LoadedModel {
                adapters: Vec::new(),
                layer_count: 6,
                layers: LayerRange { start, end },
                model: "m".into(),
            }],
            running_count,
            slot_count: 8,
            ..LoadReport::default()
        },
        reported_at: Duration::ZERO,
        role: ListingRole::Engine {
            accelerator: "k".into(),
            checks_fence: false,
        },
    }
}

pub fn identity() -> Identity {
    Identity {
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "d0".into(),
        incarnation: 1,
        instance: "n".into(),
        peer_address: ([127, 0, 0, 1], 2).into(),
        region: "r".into(),
    }
}

pub fn query<'a>(
    resource: &'a Resource,
    avoid_targets: &'a BTreeSet<TargetId>,
    prefix_hashes: &'a [u64],
) -> RouteQuery<'a> {
    RouteQuery {
        answer_tokens: 10.0,
        avoid_domain: None,
        avoid_targets,
        is_short: true,
        is_suspect: false,
        prefix_hashes,
        prompt_tokens: 1_000,
        resource,
    }
}
