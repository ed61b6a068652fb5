//! Command-line client with which operators use the administration interface.

use {
    ctl::{Error, HELP, Options, run},
    std::{ffi::OsString, io::Write, process::ExitCode},
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    let text = match help_or_version(&arguments) {
        None => run_command(arguments).await,
        Some(text) => Ok(text),
    };
    match text {
        Err(error) => {
            eprintln!("ctl: {error}");
            ExitCode::from(error.exit_code())
        }
        Ok(text) => match std::io::stdout().write_all(text.as_bytes()) {
            Err(_) => ExitCode::FAILURE,
            Ok(()) => ExitCode::SUCCESS,
        },
    }
}

fn help_or_version(arguments: &[OsString]) -> Option<String> {
    if arguments.iter().any(|argument| argument == "--help") {
        return Some(HELP.into());
    }
    if arguments.iter().any(|argument| argument == "--version") {
        return Some(format!("ctl {}\n", env!("CARGO_PKG_VERSION")));
    }
    None
}

async fn run_command(arguments: Vec<OsString>) -> Result<String, Error> {
    let environment = std::env::var("SYCAMOREGAUGE_ENTRIES").ok();
    run(&Options::parse(arguments, environment.as_deref())?).await
}
