//! `bulrushhoistd`: the daemon's executable.

use std::process::ExitCode;

use bulrushhoist_daemon::{Daemon, Settings, logger};
use lexopt::{Arg, Parser, ValueExt as _};
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "\
bulrushhoistd - serves large models that span several VMs

usage: bulrushhoistd [--check] SETTINGS

  SETTINGS       settings file in TOML, see docs/SETTINGS.md
  --check        check the settings and exit
  -h, --help     show this help
  -V, --version  show the version

SIGTERM and SIGINT start a planned stop: the daemon is no longer
listed as an entry, finishes its requests and exits.

exit codes: 0 stopped as planned, 1 could not start, 2 bad usage or settings,
3 requests were cut off when the drain timeout passed
";

/// The action that the command line selects.
enum Command {
    Run(String),
    Check(String),
    Help,
    Version,
}

fn parse_arguments() -> Result<Command, lexopt::Error> {
    let mut parser = Parser::from_env();
    let mut file = None;
    let mut check = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("check") => check = true,
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Short('V') | Arg::Long("version") => return Ok(Command::Version),
            Arg::Value(value) if file.is_none() => file = Some(value.string()?),
            other => return Err(other.unexpected()),
        }
    }
    let file = file.ok_or("a settings file is required")?;
    Ok(if check {
        Command::Check(file)
    } else {
        Command::Run(file)
    })
}

fn read_settings(file: &str) -> Result<Settings, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    Settings::parse(file, &text).map_err(|problems| problems.to_string())
}

#[allow(clippy::print_stdout)]
fn main() -> ExitCode {
    let command = match parse_arguments() {
        Ok(command) => command,
        Err(error) => return fail(2, &format!("{error}; see --help")),
    };
    let (file, check) = match command {
        Command::Help => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Command::Version => {
            println!("bulrushhoistd {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Command::Check(file) => (file, true),
        Command::Run(file) => (file, false),
    };
    let settings = match read_settings(&file) {
        Ok(settings) => settings,
        Err(problems) => return fail(2, &problems),
    };
    if check {
        return ExitCode::SUCCESS;
    }
    match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => fail(1, &format!("cannot start the runtime: {error}")),
    }
}

async fn run(settings: Settings) -> ExitCode {
    let log = logger(settings.log);
    let daemon = match Daemon::start(settings, log).await {
        Ok(daemon) => daemon,
        Err(error) => return fail(1, &error.to_string()),
    };
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return fail(1, "cannot install signal handlers");
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let report = daemon.stop().await;
    if report.cut_off > 0 {
        return fail(3, &format!("{} requests were cut off", report.cut_off));
    }
    ExitCode::SUCCESS
}

/// Prints an error and returns the exit code.
fn fail(code: u8, message: &str) -> ExitCode {
    eprintln!("bulrushhoistd: {message}");
    ExitCode::from(code)
}
