//! Endpoint VMs: the platform's records and the endpoints' own reports.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::allocation::GroupNumber;
use crate::ids::{DataCentreName, DomainName, FencingToken, VersionName, VmName, WorkloadName};

/// Record of the platform's VM list, which lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct VmRecord {
    /// Name of the VM.
    pub vm: VmName,
    /// Address of the endpoint on it.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Fabric domain of the VM.
    pub domain: DomainName,
    /// Whether the platform is going to remove the VM.
    pub leaving: bool,
}

/// Phase of an endpoint's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmPhase {
    /// Nothing is loaded.
    Empty,
    /// Weights are being loaded.
    Loading,
    /// Weights are loaded, but the endpoint is not yet part of a group.
    Preloaded,
    /// The endpoint is a member of the reported group and ready to work.
    Ready,
}

/// Load figures of a leader's report, from which limits are derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of the endpoint process's run, which a restart changes.
    pub epoch: u64,
    /// Number of requests finished since the endpoint last became cold.
    pub served: u64,
    /// Number of requests running.
    pub running: u32,
}

impl From<&VmStatus> for LoadReport {
    fn from(status: &VmStatus) -> Self {
        Self {
            epoch: status.epoch,
            served: status.served,
            running: status.running,
        }
    }
}

/// An endpoint's report about itself, whose load figures lag.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct VmStatus {
    /// Name of the reporting VM.
    pub vm: VmName,
    /// Number of the endpoint process's run, which a restart changes.
    pub epoch: u64,
    /// Phase of the endpoint.
    pub phase: VmPhase,
    /// Group that the endpoint believes it is a member of.
    pub group: Option<GroupNumber>,
    /// Highest fencing token among the orders that the endpoint accepted.
    pub fencing: FencingToken,
    /// Composition that the endpoint joined last.
    pub composition: FencingToken,
    /// Rank within the group; the leader has rank 0.
    pub rank: u32,
    /// Loaded workload.
    pub workload: Option<WorkloadName>,
    /// Loaded version.
    pub version: Option<VersionName>,
    /// Number of requests running.
    pub running: u32,
    /// Number of requests finished since the endpoint last became cold.
    pub served: u64,
}

impl VmStatus {
    /// Creates the report of a process that has just started.
    #[must_use]
    pub const fn started(vm: VmName) -> Self {
        Self {
            vm,
            epoch: 1,
            phase: VmPhase::Empty,
            group: None,
            fencing: FencingToken::new(0),
            composition: FencingToken::new(0),
            rank: 0,
            workload: None,
            version: None,
            running: 0,
            served: 0,
        }
    }
}
