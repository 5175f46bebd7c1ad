//! The settings of a process.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_fleet::{Name, SharedRetryBudgetSettings};

/// The addresses on which the process listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For the platform's readiness checks.
    pub readiness: SocketAddr,
    /// For callers that ask for the addresses of the entries.
    pub directory: SocketAddr,
    /// For the other entries: datagrams over UDP, the store relay over TCP.
    pub peers: SocketAddr,
    /// For Prometheus metrics.
    pub metrics: SocketAddr,
}

/// How to reach the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
}

/// Times and limits that the platform guarantees or requires.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Longest TTL that a directory answer may have.
    pub max_ttl: Duration,
    /// Retry budget of each service, over all entries.
    pub retries: SharedRetryBudgetSettings,
    /// Whether endpoints check fencing tokens.
    pub fencing: bool,
    /// Time in which a change in the store must take effect at every entry.
    pub change: Duration,
}

/// All settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this VM.
    pub node: Name,
    /// Data centre of this VM.
    pub data_centre: Name,
    /// Whether the whole deployment starts for the first time.
    pub bootstrap: bool,
    /// Processor time that the process may use, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// The addresses on which it listens.
    pub listen: Listen,
    /// How to reach the store.
    pub store: StoreSettings,
    /// Times and limits. Of all settings, only these can change while the process runs.
    pub bounds: Bounds,
}

impl Settings {
    /// Returns the names of the settings that differ and take effect only after a restart.
    pub(crate) fn restart_needed(&self, new: &Self) -> Vec<&'static str> {
        let changed = [
            ("node", self.node != new.node),
            ("data_centre", self.data_centre != new.data_centre),
            ("cpu", self.cpu_milli != new.cpu_milli),
            ("memory", self.memory_bytes != new.memory_bytes),
            ("listen", self.listen != new.listen),
            ("store", self.store != new.store),
        ];
        let changed = changed.into_iter().filter(|(_, differs)| *differs);
        changed.map(|(name, _)| name).collect()
    }
}

/// Reads the settings again.
///
/// # Errors
///
/// What is wrong with them.
pub type ReadSettings = fn() -> Result<Settings, String>;
