//! Claims, which bind callers' idempotency keys to tickets.
//!
//! A claim binds a key permanently to one ticket of one daemon, by a
//! create-if-absent in the object API. From then on the rules of the ticket
//! apply, so that a request with a key runs at most once, too. See
//! `docs/decisions/0001-at-most-once.md`.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::ids::{Incarnation, TeamName, WorkloadName};
use crate::ticket::{RequestDigest, Ticket};

/// Stored binding of an idempotency key to a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Claim {
    /// Ticket under which the request runs.
    pub ticket: Ticket,
    /// Digest of the first request that came with the key.
    pub digest: RequestDigest,
}

/// Status of a request whose key is already claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// This daemon issued the ticket, so the ticket is presented here.
    OwnedHere,
    /// Another daemon issued the ticket, so the request is forwarded to it.
    OwnedElsewhere,
    /// The key was claimed by a request with another digest.
    DigestMismatch,
}

/// Returns the name of the claim object for a key of one team and service.
///
/// The name is a hash, since keys are arbitrary text.
#[must_use]
pub fn claim_key(team: &TeamName, workload: &WorkloadName, key: &str) -> String {
    let mut hasher = Sha256::new();
    for part in [team.as_str(), workload.as_str(), key] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher
        .finalize()
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect()
}

/// Checks a stored claim against a request's digest and this daemon's
/// incarnation.
#[must_use]
pub fn check_claim(stored: &Claim, own: Incarnation, digest: RequestDigest) -> ClaimStatus {
    if stored.digest != digest {
        return ClaimStatus::DigestMismatch;
    }
    if stored.ticket.incarnation == own {
        ClaimStatus::OwnedHere
    } else {
        ClaimStatus::OwnedElsewhere
    }
}
