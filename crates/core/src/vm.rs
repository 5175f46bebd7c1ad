//! Endpoint VMs as the platform lists them and as they report themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::allocation::GroupNumber;
use crate::ids::{DataCentreName, DomainName, FencingToken, VersionName, VmName, WorkloadName};

/// One row of the platform's VM list, which lags behind the truth.
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
    /// Whether the platform is about to take the VM away.
    pub leaving: bool,
}

/// What an endpoint is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmPhase {
    /// Nothing is loaded.
    Empty,
    /// Weights are being loaded.
    Loading,
    /// Weights are loaded, but the endpoint is not yet part of a group.
    Preloaded,
    /// The endpoint is a working member of the reported group.
    Ready,
}

/// The part of a leader's report that limits need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of the endpoint process's run.
    pub epoch: u64,
    /// Requests finished since the endpoint last became cold.
    pub served: u64,
    /// Requests running.
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

/// An endpoint's report of itself. Load figures lag.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct VmStatus {
    /// Name of the reporting VM.
    pub vm: VmName,
    /// Number of the endpoint process's run; a restart changes it.
    pub epoch: u64,
    /// What the endpoint is doing.
    pub phase: VmPhase,
    /// Group that the endpoint believes to belong to.
    pub group: Option<GroupNumber>,
    /// Highest fencing number among the orders that it took.
    pub fencing: FencingToken,
    /// Composition of the group that it joined last.
    pub composition: FencingToken,
    /// Place within the group; rank 0 takes the requests.
    pub rank: u32,
    /// Loaded workload.
    pub workload: Option<WorkloadName>,
    /// Loaded version.
    pub version: Option<VersionName>,
    /// Requests running now.
    pub running: u32,
    /// Requests finished since the endpoint last became cold.
    pub served: u64,
}

impl VmStatus {
    /// The report of a process that has just started.
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
