//! Stand-in for the platform's table, object store and instance list.

use {
    settings::Program,
    standin::{Platform, run_binary},
    std::process::ExitCode,
};

fn main() -> anyhow::Result<ExitCode> {
    let program = Program {
        description: "Stand-in for the platform's table, object store and instance list.",
        name: "standin-platform",
        version: env!("CARGO_PKG_VERSION"),
    };
    Ok(run_binary(&program, Platform::start)?)
}
