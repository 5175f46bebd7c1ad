//! What an endpoint says of itself.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use crate::Name;

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum EndpointPhase {
    /// It takes work.
    Ready,
    /// It is about to leave and must get no new work.
    Draining,
}

/// How far an endpoint is as a member of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum GroupState {
    /// It loads the model.
    Joining,
    /// It has loaded the model.
    Ready,
    /// It is the head and serves.
    Open,
    /// It is the head and finishes its requests.
    Closing,
    /// It was the head when the group lost a member.
    Broken,
}

/// The group that an endpoint takes itself to be a member of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Name of the group.
    pub group: Name,
    /// Number of the order to join; a later one replaces the membership.
    pub epoch: u64,
    /// Place among the members; 0 is the head.
    pub rank: u32,
    /// How far it is.
    pub state: GroupState,
}

impl Membership {
    /// Returns whether the endpoint is the head of its group.
    #[must_use]
    pub const fn is_leader(&self) -> bool {
        self.rank == 0
    }

    /// Returns whether this is a head that takes or finishes requests.
    #[must_use]
    pub const fn is_serving(&self) -> bool {
        self.is_leader() && matches!(self.state, GroupState::Open | GroupState::Closing)
    }
}

/// An endpoint's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name of the endpoint's VM.
    pub id: Name,
    /// When this incarnation started, in milliseconds of the Unix epoch.
    pub born: u64,
    /// Service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Fabric domain of the VM; empty for plain services.
    pub domain: Name,
    /// Whether it takes work.
    pub phase: EndpointPhase,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time for which it stays cold.
    pub cold_remaining: Duration,
    /// Models whose weights are on its host.
    pub staged: SmallVec<[Name; 2]>,
    /// Model that it has loaded.
    pub model: Option<Name>,
    /// Its group.
    pub membership: Option<Membership>,
}
