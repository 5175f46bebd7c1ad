//! Orders to endpoints.

use std::net::SocketAddr;

use crate::Name;

/// What an endpoint is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Become a member of a group and load its model.
    Join {
        /// Model of the group.
        model: Name,
        /// Every member; the first is the head.
        members: Vec<Name>,
    },
    /// As the head, begin to serve.
    Open,
    /// As the head, stop serving after the requests that it has.
    Close,
    /// Leave the group at once.
    Leave,
    /// Load a model's weights onto the host.
    Stage {
        /// The model.
        model: Name,
    },
}

impl OrderKind {
    /// Returns the order's name in logs and counters.
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
    /// The endpoint.
    pub endpoint: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Group that the order is about; empty for staging.
    pub group: Name,
    /// Epoch that the order is about.
    pub epoch: u64,
    /// What is to be done.
    pub kind: OrderKind,
}

/// How an endpoint answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// It has begun.
    Begun,
    /// The state holds already.
    Done,
    /// It doesn't fit the endpoint's state.
    Conflict,
    /// A higher epoch or fencing number was seen.
    Outdated,
    /// Another endpoint has the address.
    Misdirected,
    /// The endpoint refused it otherwise.
    Refused,
    /// The endpoint refuses connections; nothing was sent. It has ended, or it is
    /// leaving and only finishes what it has.
    NotListening,
    /// No answer came: it may still be carried out.
    Unknown,
}
