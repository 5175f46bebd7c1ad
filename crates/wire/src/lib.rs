//! Messages between bulrushhoist daemons.
//!
//! The module [`peer`] is generated from `proto/peer.proto` by
//! `tools/wire-gen` and committed, so that the build needs no generator.
//! Unknown fields are ignored and absent ones have neutral defaults, so that
//! neighbouring versions of the daemon understand each other.

/// Generated messages, client and server of the peer protocol.
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
pub mod peer {
    include!("generated/bulrushhoist.peer.v1.rs");
}

/// Largest message that a daemon accepts from another, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;
