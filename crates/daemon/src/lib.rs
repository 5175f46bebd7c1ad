//! The daemon that runs on every entry VM.
//!
//! All daemons run the same code: each answers callers through a chain of filters
//! (`callers`) and does its share of the control work (`controllers`). The crate is an
//! imperative shell around `bulrushhoist-core`, which makes the decisions; the shell
//! reads the clock, does the I/O and carries the decisions out. See
//! `docs/ARCHITECTURE.md`.

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
