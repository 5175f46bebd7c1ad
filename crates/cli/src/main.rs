//! `bulrushhoist`: the operators' command-line tool.

use std::process::ExitCode;

use bulrushhoist_cli::{Arguments, CliError, parse_arguments, run};

fn main() -> ExitCode {
    let arguments = parse_arguments(lexopt::Parser::from_env(), |name| std::env::var(name).ok());
    let result = arguments.map_err(CliError::from).and_then(start);
    match result {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("bulrushhoist: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Executes a command on a single-threaded runtime.
fn start(arguments: Arguments) -> Result<u8, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|cause| CliError::Read {
        path: "cannot start the runtime".into(),
        cause,
    })?;
    runtime.block_on(run(arguments))
}
