//! Fake model engine that holds a range of layers.

use {
    settings::Program,
    standin::{Engine, run_binary},
    std::process::ExitCode,
};

fn main() -> anyhow::Result<ExitCode> {
    let program = Program {
        description: "Fake model engine that holds a range of layers.",
        name: "standin-engine",
        version: env!("CARGO_PKG_VERSION"),
    };
    Ok(run_binary(&program, Engine::start)?)
}
