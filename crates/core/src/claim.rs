//! Claims: idempotency keys of callers that hold no ticket.
//!
//! A claim binds a key to one ticket of one daemon, once and for all, by a
//! create-if-absent in the object API. From then on the ticket's rules decide.
//! See `docs/decisions/0001-at-most-once.md`.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::ids::{Incarnation, TeamName, WorkloadName};
use crate::ticket::{RequestDigest, Ticket};

/// The ticket that a key stands for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Claim {
    /// Ticket under which the request runs.
    pub ticket: Ticket,
    /// Digest of the request that came with the key first.
    pub digest: RequestDigest,
}

/// What to do with a request whose key is claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// This daemon owns the claim: present the ticket here.
    OwnedHere,
    /// Another daemon owns the claim: forward the request to it.
    OwnedElsewhere,
    /// The key came with another request before.
    DigestMismatch,
}

/// Names the claim object for a key, within its team and service.
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

/// Decides what a stored claim means for a request.
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
