//! Errors of the command-line tool, each with an exit code.

use std::io;
use std::path::PathBuf;

use bulrushhoist_core::Problems;
use bulrushhoist_store::{PlatformError, StoreError};
use derive_more::{Display, Error, From};

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// The command line is wrong.
    #[display("{_0}; see --help")]
    Usage(lexopt::Error),
    /// A file could not be read.
    #[display("{}: {cause}", path.display())]
    #[from(skip)]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        #[error(source)]
        cause: io::Error,
    },
    /// The deployment's files have problems; nothing was stored.
    #[display("{_0}")]
    Problems(Problems),
    /// The deployment's files are valid but have warnings, which were denied.
    #[display("warnings are denied\n{warnings}")]
    #[from(skip)]
    Warnings {
        /// The warnings.
        #[error(not(source))]
        warnings: Problems,
    },
    /// A call to the platform failed.
    #[display("platform: {_0}")]
    Store(StoreError),
    /// Another operator changed the configuration meanwhile.
    #[display("conflict: {detail}")]
    #[from(skip)]
    Conflict {
        /// The generations and the files that differ.
        #[error(not(source))]
        detail: String,
    },
    /// A change is stored but was not in force everywhere within the timeout.
    #[display("stored, but not in force in time at: {missing}")]
    #[from(skip)]
    NotInForce {
        /// Operator addresses of the daemons where it is not in force.
        #[error(not(source))]
        missing: String,
    },
    /// The command was refused because it would do harm or has nothing to act on.
    #[display("refused: {reason}")]
    #[from(skip)]
    Refused {
        /// Why it was refused.
        #[error(not(source))]
        reason: String,
    },
    /// A request to a daemon failed.
    #[display("{_0}")]
    Daemon(reqwest::Error),
    /// The named object does not exist.
    #[display("{what}")]
    #[from(skip)]
    NotFound {
        /// What was not found.
        #[error(not(source))]
        what: String,
    },
}

impl CliError {
    /// Returns the exit code, as documented in `docs/CLI.md`.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Problems(_) | Self::Warnings { .. } | Self::Read { .. } => 2,
            Self::Conflict { .. } | Self::Store(StoreError::Platform(PlatformError::Conflict)) => 4,
            Self::NotInForce { .. } => 5,
            Self::Store(StoreError::Unknown) => 6,
            Self::Refused { .. } => 7,
            Self::NotFound { .. } => 8,
            Self::Store(_) | Self::Daemon(_) => 1,
        }
    }
}
