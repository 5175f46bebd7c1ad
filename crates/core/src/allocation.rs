//! The allocation object, which assigns VMs to groups.
//!
//! One object per data centre holds all of its assignments, so that a single
//! conditional update moves VMs atomically and no race between controllers can
//! assign a VM to two groups. See `docs/decisions/0003-groups.md`.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ids::{
    DataCentreName, DomainName, FencingToken, Incarnation, MemberId, VersionName, VmName,
    WorkloadName,
};

/// Number of a group within its data centre, which is never reused.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GroupNumber(pub u64);

/// One VM of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Member {
    /// Name of the VM.
    pub vm: VmName,
    /// Address of the endpoint on it.
    pub address: SocketAddr,
}

/// A VM that loads the weights of a rank in order to replace its member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Replacement {
    /// Rank that the VM takes over.
    pub rank: u32,
    /// The incoming VM.
    pub member: Member,
}

/// Whether a group may take new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupPhase {
    /// The group takes requests while every member reports ready.
    Active,
    /// The group takes no new requests and is removed when it is idle.
    Draining,
    /// The group takes no new requests until its replacements have joined.
    Swapping,
}

/// One replica: a group of VMs that serve one copy of a workload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Group {
    /// Number of the group.
    pub number: GroupNumber,
    /// Workload that the group serves.
    pub workload: WorkloadName,
    /// Version that the group serves.
    pub version: VersionName,
    /// Fabric domain, or `None` for a group that spans several.
    pub domain: Option<DomainName>,
    /// Fencing token that identifies the group's present set of members. A
    /// member that reports another one has not joined this composition.
    pub composition: FencingToken,
    /// Members by rank. The member of rank 0 is the leader.
    pub members: SmallVec<[Member; 4]>,
    /// Whether the group may take new requests.
    pub phase: GroupPhase,
    /// VMs that are loading weights in order to replace members.
    pub replacements: SmallVec<[Replacement; 1]>,
}

impl Group {
    /// Returns every VM that the group holds, replacements included.
    pub fn vms(&self) -> impl Iterator<Item = &Member> {
        let incoming = self.replacements.iter().map(|r| &r.member);
        self.members.iter().chain(incoming)
    }
}

/// A VM that left a group and may not be used until late orders to it have
/// expired.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SettlingVm {
    /// Name of the VM.
    pub vm: VmName,
    /// Highest fencing token at the time the VM was freed.
    pub freed: FencingToken,
}

/// The right to change one data centre's allocation and to give orders there.
///
/// The holder renews the lease by raising `beat`. Other daemons measure on
/// their own clocks how long `beat` has not changed, so that clocks need not
/// agree. The lease is an object of its own because it changes every few
/// seconds, while the allocation grows with the fleet. It is not the lease that
/// makes a late writer fail, but the conditional update of the allocation: a
/// new holder writes the allocation before anything else.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Lease {
    /// Daemon that holds the lease.
    pub holder: MemberId,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Counter that each renewal raises.
    pub beat: u64,
}

/// All assignments of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Allocation {
    /// Data centre of the assignments.
    pub data_centre: DataCentreName,
    /// Incarnation of the controller that wrote this object last.
    pub controller: Option<Incarnation>,
    /// Highest fencing token issued so far.
    pub fencing: FencingToken,
    /// Number of the next group.
    pub next_group: u64,
    /// Groups in order of creation.
    pub groups: Vec<Group>,
    /// VMs that may not be used yet.
    pub settling: Vec<SettlingVm>,
}

impl Allocation {
    /// Creates an allocation without groups.
    #[must_use]
    pub const fn empty(data_centre: DataCentreName) -> Self {
        Self {
            data_centre,
            controller: None,
            fencing: FencingToken::new(0),
            next_group: 1,
            groups: Vec::new(),
            settling: Vec::new(),
        }
    }

    /// Issues the next fencing token.
    pub(crate) fn next_fencing_token(&mut self) -> FencingToken {
        self.fencing = self.fencing.next();
        self.fencing
    }

    /// Returns the first VM that is assigned twice.
    ///
    /// Tests check that there is never one.
    #[must_use]
    pub fn duplicate_vm(&self) -> Option<&VmName> {
        let mut seen = std::collections::HashSet::new();
        let held = self.groups.iter().flat_map(Group::vms).map(|m| &m.vm);
        let settling = self.settling.iter().map(|s| &s.vm);
        held.chain(settling).find(|vm| !seen.insert(*vm))
    }
}
