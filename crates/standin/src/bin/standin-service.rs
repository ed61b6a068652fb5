//! Fake service with operations that take a fixed time.

use {
    settings::Program,
    standin::{Service, run_binary},
    std::process::ExitCode,
};

fn main() -> anyhow::Result<ExitCode> {
    let program = Program {
        description: "Fake service with operations that take a fixed time.",
        name: "standin-service",
        version: env!("CARGO_PKG_VERSION"),
    };
    Ok(run_binary(&program, Service::start)?)
}
