//! Structured logging. Changes of state are logged; everything else is counted in
//! metrics.

use derive_more::Display;
use slog::{Drain as _, Logger, o};

/// Maximum number of lines that wait to be written; further lines are dropped, and
/// their number is logged.
const MAX_QUEUED_LINES: usize = 4_096;

/// Format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[display(rename_all = "lowercase")]
pub enum LogFormat {
    /// Lines for a person at a terminal.
    #[default]
    Terminal,
    /// One JSON object per line.
    Json,
}

impl LogFormat {
    /// All formats.
    pub const ALL: [Self; 2] = [Self::Terminal, Self::Json];
}

/// Minimum severity of the lines that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[display(rename_all = "lowercase")]
pub enum LogLevel {
    /// Faults that need an operator's action.
    Error,
    /// Faults that the system handles itself.
    Warning,
    /// Changes of state.
    #[default]
    Info,
    /// Details for developers.
    Debug,
}

impl LogLevel {
    /// All severities.
    pub const ALL: [Self; 4] = [Self::Error, Self::Warning, Self::Info, Self::Debug];
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// Format of the log.
    pub format: LogFormat,
    /// Minimum severity of the lines that are written.
    pub level: LogLevel,
}

/// Builds the logger, which writes to the standard error stream.
pub fn logger(settings: LogSettings) -> Logger {
    let level = match settings.level {
        LogLevel::Error => slog::Level::Error,
        LogLevel::Warning => slog::Level::Warning,
        LogLevel::Info => slog::Level::Info,
        LogLevel::Debug => slog::Level::Debug,
    };
    match settings.format {
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            finish(slog_term::FullFormat::new(decorator).build().fuse(), level)
        }
        LogFormat::Json => finish(slog_json::Json::default(std::io::stderr()).fuse(), level),
    }
}

/// Builds a logger that filters by level and writes to `drain` from its own thread.
fn finish<D>(drain: D, level: slog::Level) -> Logger
where
    D: slog::Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let queue = slog_async::Async::new(drain)
        .chan_size(MAX_QUEUED_LINES)
        .build()
        .fuse();
    Logger::root(slog::LevelFilter::new(queue, level).fuse(), o!())
}
