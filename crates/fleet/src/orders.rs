//! Orders to endpoints.

use std::net::SocketAddr;

use crate::Name;

/// What an order tells an endpoint to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Become a member of a group and load its model.
    Join {
        /// Model of the group.
        model: Name,
        /// Every member; the first is the leader.
        members: Vec<Name>,
    },
    /// Start to accept requests, as the leader.
    Open,
    /// Stop serving once the running requests have finished, as the leader.
    Close,
    /// Leave the group at once.
    Leave,
    /// Load a model's weights onto the host.
    Stage {
        /// Name of the model.
        model: Name,
    },
}

impl OrderKind {
    /// Returns the kind's name in logs and counters.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open => "open",
            Self::Close => "close",
            Self::Leave => "leave",
            Self::Stage { .. } => "stage",
        }
    }
}

/// An order to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Name of the endpoint's VM.
    pub endpoint: Name,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Group that the order concerns; empty for staging.
    pub group: Name,
    /// Epoch of the group.
    pub epoch: u64,
    /// What the endpoint is to do.
    pub kind: OrderKind,
}

/// How an endpoint answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// The endpoint has begun to carry it out.
    Begun,
    /// The endpoint is in the ordered state already.
    Done,
    /// The order doesn't fit the endpoint's state.
    Conflict,
    /// The endpoint has seen a higher epoch or fencing token.
    Outdated,
    /// Another endpoint has the address.
    Misdirected,
    /// The endpoint refused it for another reason.
    Refused,
    /// The endpoint refuses connections, so nothing was sent. It has ended, or it is
    /// draining and only finishes its running requests.
    NotListening,
    /// No answer came, so the order may still be carried out.
    Unknown,
}
