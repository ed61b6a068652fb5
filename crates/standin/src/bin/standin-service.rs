//! Stand-in for a plain service.

use {
    settings::Program,
    standin::{Service, run_binary},
    std::process::ExitCode,
};

fn main() -> anyhow::Result<ExitCode> {
    let program = Program {
        description: "Stand-in for a plain service.",
        name: "standin-service",
        version: env!("CARGO_PKG_VERSION"),
    };
    Ok(run_binary(&program, Service::start)?)
}
