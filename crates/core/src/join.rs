//! Join protocol: when an entry that has joined may use its shares.
//!
//! Invariant: an entry uses its share of a replica only after every other
//! registered entry has stated, based on a register that contains the new
//! entry, that its own requests there are within its share. The shares that
//! follow from one register add up to the replica's limit, so the requests of
//! all entries together stay within the limit, too. See
//! `docs/decisions/0004-limits.md`.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{MemberId, Revision};
use crate::route::{JoinState, ReplicaKey};

/// An entry's statement about its own requests in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareStatement {
    /// Revision of the register by which the entry divides limits.
    pub register: Revision,
    /// Replicas at which the entry has more requests in flight than its share.
    pub over_share: BTreeSet<ReplicaKey>,
}

/// Collects the other entries' statements after this entry has joined.
#[derive(Debug)]
pub struct JoinTracker {
    /// Revision of the register with which this entry registered.
    joined: Revision,
    /// Replicas over their share, as each other entry has stated them.
    over_share: BTreeMap<MemberId, BTreeSet<ReplicaKey>>,
}

impl JoinTracker {
    /// Creates a tracker for an entry that registered with revision `joined`.
    #[must_use]
    pub const fn new(joined: Revision) -> Self {
        Self {
            joined,
            over_share: BTreeMap::new(),
        }
    }

    /// Records another entry's statement.
    ///
    /// A statement based on a register without this entry is ignored, because
    /// it says nothing about the new shares.
    pub fn on_statement(&mut self, from: MemberId, statement: ShareStatement) {
        if statement.register >= self.joined {
            self.over_share.insert(from, statement.over_share);
        }
    }

    /// Returns those of `others` whose statement is still missing.
    pub fn missing(&self, others: impl IntoIterator<Item = MemberId>) -> Vec<MemberId> {
        let mut missing: Vec<_> = others.into_iter().collect();
        missing.retain(|id| !self.over_share.contains_key(id));
        missing
    }

    /// Returns which replicas this entry may use, given the statements of
    /// `others`, the other registered entries.
    pub fn state(&self, others: impl IntoIterator<Item = MemberId>) -> JoinState {
        let mut over_share = BTreeSet::new();
        for other in others {
            let Some(stated) = self.over_share.get(&other) else {
                return JoinState::Joining;
            };
            over_share.extend(stated.iter().cloned());
        }
        match over_share.is_empty() {
            true => JoinState::Joined,
            false => JoinState::Restricted(over_share),
        }
    }
}
