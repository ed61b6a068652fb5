//! Measures the CPU time of choosing a path: `cargo run --release -p fleet --example choice`.

use {
    catalog::{EngineProfile, HardwareKind},
    fleet::{Demand, Fleet, FleetSettings, Target},
    layout::LayerRange,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::{Duration, Instant},
};

const CHOICE_COUNT: u32 = 200;
const DOMAIN_COUNT: usize = 5;
const LAYER_COUNT: u32 = 80;
const NOW: Duration = Duration::from_secs(100);

fn profile() -> EngineProfile {
    EngineProfile {
        activation_bytes: 19_700.0,
        context_ms_per_thousand: 0.003,
        kinds: vec![HardwareKind {
            memory_mb: 22_000.0,
            name: "card".into(),
            pace: 10.0,
            read_factor: 10.0,
        }],
        kv_bytes_per_token: 393_000.0,
        layer_count: LAYER_COUNT,
        layer_mb: 1_750.0,
        pipe_mbps: 5_900.0,
        read_tokens_per_s: 294_000.0,
        step_ms: 0.85,
        step_ms_per_request: 0.003,
        usual_answer_tokens: 140.0,
        usual_prompt_tokens: 760.0,
    }
}

/// Returns an engine that holds 6 to 10 layers, fewer at the end of the model.
fn engine(index: usize, rng: &mut impl Rng) -> Target {
    let start = rng.random_range(0..LAYER_COUNT - 5);
    let end = (start + rng.random_range(6..=10)).min(LAYER_COUNT);
    Target {
        address: ([10, 0, 0, 1], 8_000).into(),
        domain: format!("d{}", index % DOMAIN_COUNT).into(),
        hardware: Some("card".into()),
        held: LayerRange::new(start, end),
        id: format!("e{index}").into(),
        is_leaving: false,
        service: "model".into(),
        incarnation: 0,
        slot_count: 192,
    }
}

fn main() {
    let (profile, local_domain) = (profile(), "d0".into());
    let demand = Demand {
        answer_tokens: 140.0,
        prompt_tokens: 760.0,
        ..Demand::default()
    };
    println!("engines  us / choice");
    for engine_count in [30, 60, 120, 218, 400] {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let targets: Vec<Target> = (0..engine_count)
            .map(|index| engine(index, &mut rng))
            .collect();
        let mut fleet = Fleet::new(FleetSettings::default());
        fleet.set_targets(Duration::ZERO, &targets);
        let started_at = Instant::now();
        for _ in 0..CHOICE_COUNT {
            let path = fleet.choose_path(NOW, "model", &profile, &demand, &local_domain, &mut rng);
            std::hint::black_box(path).ok();
        }
        let spent = started_at.elapsed() / CHOICE_COUNT;
        println!("{engine_count:7}  {:11.0}", spent.as_secs_f64() * 1e6);
    }
}
