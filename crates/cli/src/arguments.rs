//! Parser of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bulrushhoist_core::{DataCentreName, RequestId, Revision};
use lexopt::{Arg, Parser, ValueExt as _};

use crate::check::WarningPolicy;
use crate::output::{OutputFormat, Printer};

/// Default time to wait until a change is in force, in seconds.
const DEFAULT_TIMEOUT_S: u64 = 8;

/// Amount of output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Verbosity {
    /// Errors only.
    Quiet,
    /// Results.
    #[default]
    Normal,
    /// Results with details.
    Verbose,
}

/// A command with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Check a directory of files.
    Check {
        /// The directory.
        directory: PathBuf,
        /// Whether warnings make the check fail.
        warnings: WarningPolicy,
    },
    /// Compare a directory with the stored configuration.
    Diff(PathBuf),
    /// Make the files of a directory the configuration.
    Apply {
        /// The directory.
        directory: PathBuf,
        /// Generation that must still be stored for the change to be made.
        base: Option<Revision>,
        /// Whether to wait until the configuration is in force at every daemon.
        wait: bool,
    },
    /// Show daemons and groups.
    Status,
    /// Take a data centre out of service.
    DataCentreOut {
        /// The data centre.
        name: DataCentreName,
        /// Whether to continue even if a workload has no serving replica left.
        force: bool,
    },
    /// Bring a data centre back into service.
    DataCentreIn(DataCentreName),
    /// Show which data centres are in service.
    DataCentreList,
    /// Show the registered entries.
    Entries,
    /// Show the trace of a request.
    Explain(RequestId),
    /// Show help for a command, or the overview.
    Help(Option<String>),
    /// Show the version.
    Version,
}

/// A parsed command line.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// The command.
    pub command: Command,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Token for the daemons' operator addresses.
    pub token: Option<String>,
    /// How results are printed.
    pub printer: Printer,
    /// Amount of output.
    pub verbosity: Verbosity,
    /// Time to wait until a change is in force.
    pub timeout: Duration,
}

/// The options and words of a command line, before they are interpreted.
#[derive(Default)]
struct RawArguments {
    words: Vec<String>,
    platform: Option<SocketAddr>,
    format: OutputFormat,
    verbosity: Verbosity,
    timeout_s: Option<u64>,
    base: Option<u64>,
    wait: bool,
    force: bool,
    warnings: WarningPolicy,
    help: bool,
    version: bool,
}

/// Parses the command line.
///
/// `environment` looks up a variable. The platform's address may come from there, and
/// the operators' token always does, so that it does not show in process lists.
pub fn parse_arguments(
    parser: Parser,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Arguments, lexopt::Error> {
    let raw = read_raw(parser)?;
    let command = command(&raw)?;
    let from_environment = environment("BULRUSHHOIST_PLATFORM");
    let platform = match (raw.platform, from_environment) {
        (Some(address), _) => address,
        (None, Some(text)) => text
            .parse()
            .map_err(|e| format!("BULRUSHHOIST_PLATFORM: {e}"))?,
        (None, None) if needs_platform(&command) => {
            return Err("--platform or BULRUSHHOIST_PLATFORM is required".into());
        }
        (None, None) => SocketAddr::from(([127, 0, 0, 1], 0)),
    };
    let quiet = raw.verbosity == Verbosity::Quiet;
    Ok(Arguments {
        command,
        platform,
        token: environment("BULRUSHHOIST_OPERATOR_TOKEN"),
        printer: Printer {
            format: raw.format,
            quiet,
        },
        verbosity: raw.verbosity,
        timeout: Duration::from_secs(raw.timeout_s.unwrap_or(DEFAULT_TIMEOUT_S)),
    })
}

fn needs_platform(command: &Command) -> bool {
    !matches!(
        command,
        Command::Check { .. } | Command::Help(_) | Command::Version
    )
}

fn read_raw(mut parser: Parser) -> Result<RawArguments, lexopt::Error> {
    let mut raw = RawArguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("platform") => raw.platform = Some(parser.value()?.parse()?),
            Arg::Long("output") => raw.format = parser.value()?.parse()?,
            Arg::Long("timeout") => raw.timeout_s = Some(parser.value()?.parse()?),
            Arg::Long("base") => raw.base = Some(parser.value()?.parse()?),
            Arg::Long("wait") => raw.wait = true,
            Arg::Long("deny-warnings") => raw.warnings = WarningPolicy::Deny,
            Arg::Long("force") => raw.force = true,
            Arg::Short('q') | Arg::Long("quiet") => raw.verbosity = Verbosity::Quiet,
            Arg::Short('v') | Arg::Long("verbose") => raw.verbosity = Verbosity::Verbose,
            Arg::Short('h') | Arg::Long("help") => raw.help = true,
            Arg::Short('V') | Arg::Long("version") => raw.version = true,
            Arg::Value(word) => raw.words.push(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(raw)
}

/// Interprets the words as a command.
fn command(raw: &RawArguments) -> Result<Command, lexopt::Error> {
    if raw.version {
        return Ok(Command::Version);
    }
    let words: Vec<&str> = raw.words.iter().map(String::as_str).collect();
    if raw.help {
        return Ok(Command::Help(raw.words.first().cloned()));
    }
    let name = |text: &str| -> Result<DataCentreName, lexopt::Error> {
        text.parse()
            .map_err(|e: bulrushhoist_core::InvalidName| e.to_string().into())
    };
    Ok(match words.as_slice() {
        [] => Command::Help(None),
        ["help"] => Command::Help(None),
        ["help", topic] => Command::Help(Some((*topic).to_owned())),
        ["check", directory] => Command::Check {
            directory: directory.into(),
            warnings: raw.warnings,
        },
        ["diff", directory] => Command::Diff(directory.into()),
        ["apply", directory] => Command::Apply {
            directory: directory.into(),
            base: raw.base.map(Revision::new),
            wait: raw.wait,
        },
        ["status"] => Command::Status,
        ["data-centre", "out", dc] => Command::DataCentreOut {
            name: name(dc)?,
            force: raw.force,
        },
        ["data-centre", "in", dc] => Command::DataCentreIn(name(dc)?),
        ["data-centre", "list"] => Command::DataCentreList,
        ["entries"] => Command::Entries,
        ["requests", "explain", id] => Command::Explain(
            id.parse()
                .map_err(|_| "a request id has 32 hexadecimal digits")?,
        ),
        other => return Err(format!("unknown command `{}`", other.join(" ")).into()),
    })
}
