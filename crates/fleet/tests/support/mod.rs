//! Shared fixtures: targets, an engine profile and a demand.

#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use {
    catalog::{EngineProfile, HardwareKind},
    fleet::{Demand, Fleet, FleetSettings, Target},
    layout::LayerRange,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

pub const LAYER_COUNT: u32 = 8;

pub fn profile() -> EngineProfile {
    let kind = |name: &str, pace| HardwareKind {
        memory_mb: 1_000.0,
        name: name.into(),
        pace,
        read_factor: pace,
    };
    EngineProfile {
        activation_bytes: 20_000.0,
        context_ms_per_thousand: 0.003,
        kinds: vec![kind("fast", 1.0), kind("slow", 10.0)],
        kv_bytes_per_token: 8_000.0,
        layer_count: LAYER_COUNT,
        layer_mb: 100.0,
        pipe_mbps: 10_000.0,
        read_tokens_per_s: 200_000.0,
        step_ms: 1.0,
        step_ms_per_request: 0.003,
        usual_answer_tokens: 100.0,
        usual_prompt_tokens: 500.0,
    }
}

pub fn target(id: &str, service: &str) -> Target {
    let number: u16 = id.bytes().fold(0, |sum, byte| sum * 3 + u16::from(byte));
    Target {
        address: ([10, 0, 0, 1], number).into(),
        domain: "a".into(),
        hardware: None,
        held: None,
        id: id.into(),
        is_leaving: false,
        service: service.into(),
        incarnation: 0,
        slot_count: 6,
    }
}

pub fn engine(id: &str, domain: &str, start: u32, end: u32) -> Target {
    Target {
        domain: domain.into(),
        hardware: Some("fast".into()),
        held: LayerRange::new(start, end),
        ..target(id, "model")
    }
}

pub fn fleet(targets: &[Target]) -> Fleet {
    let mut fleet = Fleet::new(FleetSettings::default());
    fleet.set_targets(Duration::ZERO, targets);
    fleet
}

pub fn demand() -> Demand {
    Demand {
        answer_tokens: 100.0,
        prompt_tokens: 500.0,
        ..Demand::default()
    }
}

pub fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}
