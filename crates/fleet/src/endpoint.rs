//! What an endpoint's record says.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use crate::Name;

/// Whether an endpoint accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum EndpointPhase {
    /// It accepts work.
    Ready,
    /// It is about to stop and must get no new work.
    Draining,
}

/// State of an endpoint as a member of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum GroupState {
    /// It is loading the model.
    Joining,
    /// It has loaded the model.
    Ready,
    /// It is the leader and accepts requests.
    Open,
    /// It is the leader and finishes its requests without accepting new ones.
    Closing,
    /// It was the leader when the group lost a member.
    Broken,
}

/// Membership of an endpoint in a group, as the endpoint reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMembership {
    /// Name of the group.
    pub group: Name,
    /// Epoch of the order to join. A membership of a later epoch replaces this one.
    pub epoch: u64,
    /// Position in the list of members; the leader has 0.
    pub rank: u32,
    /// State of the endpoint within the group.
    pub state: GroupState,
}

impl GroupMembership {
    /// Returns whether the endpoint is the leader of its group.
    #[must_use]
    pub const fn is_leader(&self) -> bool {
        self.rank == 0
    }

    /// Returns whether this is a leader that accepts or finishes requests.
    #[must_use]
    pub const fn is_serving(&self) -> bool {
        self.is_leader() && matches!(self.state, GroupState::Open | GroupState::Closing)
    }
}

/// An endpoint's record in the store. Incarnation and sequence order the records of one
/// endpoint, whichever arrives or is stored last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name of the endpoint's VM.
    pub id: Name,
    /// Unix time in milliseconds at which this incarnation started. It identifies the
    /// incarnation.
    pub incarnation: u64,
    /// Number of the record among those of this incarnation.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: Name,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Fabric domain of the VM; empty for plain services.
    pub domain: Name,
    /// Whether it accepts work.
    pub phase: EndpointPhase,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time for which it stays cold. A cold endpoint carries fewer requests per second.
    pub cold_remaining: Duration,
    /// Models whose weights are on its host.
    pub staged: SmallVec<[Name; 2]>,
    /// Model that it has loaded.
    pub model: Option<Name>,
    /// Its membership in a group.
    pub membership: Option<GroupMembership>,
}

impl Endpoint {
    /// Returns whether this record was written before another one of the same endpoint.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) < (other.incarnation, other.sequence)
    }

    /// Returns whether both records say the same, at whatever time.
    #[must_use]
    pub fn says_same(&self, other: &Self) -> bool {
        let sequence = other.sequence;
        *other
            == Self {
                sequence,
                ..self.clone()
            }
    }
}
