//! The allocation object: which VM belongs to which group.
//!
//! One object per data centre holds every assignment there, so a single
//! conditional update moves VMs atomically and no race can put a VM into two
//! groups. See `docs/decisions/0003-groups.md`.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ids::{
    DataCentreName, DomainName, FencingToken, Incarnation, MemberId, VersionName, VmName,
    WorkloadName,
};

/// Number of a group within its data centre; never used twice.
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

/// A VM that loads the weights of `rank` in order to take that place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Replacement {
    /// Place within the group that the VM will take.
    pub rank: u32,
    /// The VM that comes in.
    pub member: Member,
}

/// Whether a group may take new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupPhase {
    /// The group takes work as soon as every member reports ready.
    Active,
    /// The group takes no new work and is dissolved when idle.
    Draining,
    /// The group takes no new work until its replacements have joined.
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
    /// Fencing number that was drawn for the group's present members. A member
    /// that reports another one has not heard of a change.
    pub composition: FencingToken,
    /// VMs by rank.
    pub members: SmallVec<[Member; 4]>,
    /// Whether the group may take new work.
    pub phase: GroupPhase,
    /// VMs that are being prepared to take members' places.
    pub replacements: SmallVec<[Replacement; 1]>,
}

impl Group {
    /// Returns every VM that the group holds, replacements included.
    pub fn vms(&self) -> impl Iterator<Item = &Member> {
        let incoming = self.replacements.iter().map(|r| &r.member);
        self.members.iter().chain(incoming)
    }
}

/// A VM that left a group and may not be used until late orders have expired.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SettlingVm {
    /// Name of the VM.
    pub vm: VmName,
    /// Fencing number at the time it was freed.
    pub freed: FencingToken,
}

/// The right to change one data centre's allocation and to give orders there.
///
/// Holders renew it by raising `beat`. Others measure on their own clock how
/// long the beat stood still, so clocks need not agree. The lease is an object
/// of its own, because it changes every few seconds and the allocation grows
/// with the fleet; what makes a late writer fail is the allocation's own
/// conditional update, since a new holder writes it before anything else.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Lease {
    /// Daemon that holds the lease.
    pub holder: MemberId,
    /// Run of that daemon.
    pub incarnation: Incarnation,
    /// Raised with each renewal.
    pub beat: u64,
}

/// Every assignment of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Allocation {
    /// Data centre that this object describes.
    pub data_centre: DataCentreName,
    /// Run of the daemon that wrote this object last.
    pub controller: Option<Incarnation>,
    /// Highest fencing number given out so far.
    pub fencing: FencingToken,
    /// Number of the next group.
    pub next_group: u64,
    /// Groups in the order of their creation.
    pub groups: Vec<Group>,
    /// VMs that may not be used yet.
    pub settling: Vec<SettlingVm>,
}

impl Allocation {
    /// An allocation without groups.
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

    /// Draws the next fencing number.
    pub(crate) fn next_fencing_token(&mut self) -> FencingToken {
        self.fencing = self.fencing.next();
        self.fencing
    }

    /// Returns the first VM that two groups hold, which must never exist.
    #[must_use]
    pub fn duplicate_vm(&self) -> Option<&VmName> {
        let mut seen = std::collections::HashSet::new();
        let held = self.groups.iter().flat_map(Group::vms).map(|m| &m.vm);
        let settling = self.settling.iter().map(|s| &s.vm);
        held.chain(settling).find(|vm| !seen.insert(*vm))
    }
}
