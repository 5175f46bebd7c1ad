//! What a process is told about itself and its surroundings.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_fleet::{Name, SharedBudgetSettings};

/// Where the process listens.
#[derive(Clone, Debug)]
pub struct Listen {
    /// For callers.
    pub front: SocketAddr,
    /// For the platform's question whether this entry is ready.
    pub readiness: SocketAddr,
    /// For callers that ask which addresses to use.
    pub directory: SocketAddr,
    /// For datagrams of other entries.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Where the store is.
#[derive(Clone, Copy, Debug)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
}

/// Times and limits that the platform promises or demands.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Longest time for which callers keep a directory answer.
    pub longest_ttl: Duration,
    /// Budget of retries over all entries.
    pub retries: SharedBudgetSettings,
    /// Whether endpoints check fencing numbers.
    pub fencing: bool,
}

/// Everything that a process is told.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this VM.
    pub node: Name,
    /// Data centre of this VM.
    pub data_centre: Name,
    /// Processor time that the process may use, in thousandths of a core.
    pub cpu_milli: u32,
    /// Where the process listens.
    pub listen: Listen,
    /// Where the store is.
    pub store: StoreSettings,
    /// Times and limits.
    pub bounds: Bounds,
}
