//! Library of the operators' command-line tool.
//!
//! The commands are implemented here, so that the tool, tests and the local all-in-one
//! run use the same code.

mod apply;
mod arguments;
mod check;
mod commands;
mod data_centres;
mod error;
mod files;
mod fleet;
mod output;

pub use apply::{ApplyReport, FileChange, FileDifference, apply_files, differences, stored_files};
pub use arguments::{Arguments, Command, Verbosity, parse_arguments};
pub use check::{CheckReport, WarningPolicy, check};
pub use commands::run;
pub use data_centres::{ReplicaCounts, remaining_replicas, set_service_state};
pub use error::CliError;
pub use files::read_directory;
pub use fleet::{DaemonStatus, FleetClient, GroupStatus};
pub use output::{OutputFormat, Printer};
