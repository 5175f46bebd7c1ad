//! Messages between bulrushhoist daemons.
//!
//! `tools/wire-gen` generates the module [`peer`] from `proto/peer.proto`. The
//! result is committed, so that the build needs no generator. Unknown fields
//! are ignored and absent fields have neutral defaults, so that daemons of
//! neighbouring versions can communicate.

/// Generated messages, client and server of the peer protocol.
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
pub mod peer {
    include!("generated/bulrushhoist.peer.v1.rs");
}

/// Maximum size of a message between daemons.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;
