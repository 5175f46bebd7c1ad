//! Structured logs: lines for changes of state, counters for everything else.

use derive_more::Display;
use slog::{Drain as _, Logger, o};

/// Lines that may wait to be written; more are dropped and counted.
const QUEUE_LINES: usize = 4_096;

/// Form of the log.
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
    /// Every form.
    pub const ALL: [Self; 2] = [Self::Terminal, Self::Json];
}

/// Least severity that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[display(rename_all = "lowercase")]
pub enum LogLevel {
    /// Faults that need an operator.
    Error,
    /// Faults that the system deals with.
    Warning,
    /// Changes of state.
    #[default]
    Info,
    /// Details for developers.
    Debug,
}

impl LogLevel {
    /// Every severity.
    pub const ALL: [Self; 4] = [Self::Error, Self::Warning, Self::Info, Self::Debug];
}

/// What is logged and how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// Form of the log.
    pub format: LogFormat,
    /// Least severity that is written.
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

fn finish<D>(drain: D, level: slog::Level) -> Logger
where
    D: slog::Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let queue = slog_async::Async::new(drain)
        .chan_size(QUEUE_LINES)
        .build()
        .fuse();
    Logger::root(slog::LevelFilter::new(queue, level).fuse(), o!())
}
