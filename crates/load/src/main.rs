//! Load generator for a running deployment.

use {
    load::{LoadSettings, run},
    settings::Program,
    std::process::ExitCode,
    tokio::runtime::Runtime,
};

fn main() -> anyhow::Result<ExitCode> {
    let program = Program {
        description: "Sends prompts to running instances on loopback and reports waits.",
        name: "load",
        version: env!("CARGO_PKG_VERSION"),
    };
    let Some(settings) = program.settings_from_process::<LoadSettings>()? else {
        return Ok(ExitCode::SUCCESS);
    };
    let report = Runtime::new()?.block_on(run(&settings))?;
    print!("{}", report.table());
    Ok(if report.incomplete_count() == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
