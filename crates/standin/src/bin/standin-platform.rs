//! Fake platform with a table, an object store and a process list.

use {
    settings::Program,
    standin::{Platform, run_binary},
    std::process::ExitCode,
};

fn main() -> anyhow::Result<ExitCode> {
    let program = Program {
        description: "Fake platform with a table, an object store and a process list.",
        name: "standin-platform",
        version: env!("CARGO_PKG_VERSION"),
    };
    Ok(run_binary(&program, Platform::start)?)
}
