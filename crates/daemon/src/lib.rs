//! The daemon that runs on every entry VM.
//!
//! Every daemon is the same: it answers callers through a chain of filters
//! (`callers`) and takes its share of the control work (`controllers`). It is
//! a thin shell around `bulrushhoist-core`, which decides; the shell reads the
//! clock, moves bytes and carries out decisions. See `docs/ARCHITECTURE.md`.

mod callers;
mod clock;
mod controllers;
mod listen;
mod logging;
mod losses;
mod metrics;
mod node;
mod operators;
mod server;
mod settings;
mod stop;
mod tickets;
mod trace;
mod view;

pub use listen::listen;
pub use logging::{LogFormat, LogLevel, LogSettings, logger};
pub use server::{Daemon, StartError};
pub use settings::{CallerLimits, Security, Settings, Timing};
pub use stop::StopReport;
