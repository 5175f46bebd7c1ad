//! What an entry waits for after it joined, before it uses its shares.
//!
//! Invariant: an entry uses its share of a replica only after every other
//! registered entry has stated, by a register that holds the new entry, that
//! its own requests there are within its share. The shares of one register add
//! up to the replica's limit, so the requests of all entries do too. See
//! `docs/decisions/0004-limits.md`.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{MemberId, Revision};
use crate::route::{JoinState, ReplicaKey};

/// What an entry says of its own requests in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareStatement {
    /// Register by which the entry divides limits.
    pub register: Revision,
    /// Replicas at which it has more requests in flight than its share.
    pub over_share: BTreeSet<ReplicaKey>,
}

/// What the others have stated since this entry joined.
#[derive(Debug)]
pub struct JoinTracker {
    joined: Revision,
    beyond: BTreeMap<MemberId, BTreeSet<ReplicaKey>>,
}

impl JoinTracker {
    /// An entry that the register holds from revision `joined` on.
    #[must_use]
    pub const fn new(joined: Revision) -> Self {
        Self {
            joined,
            beyond: BTreeMap::new(),
        }
    }

    /// Takes another entry's statement. One that was made by a register
    /// without this entry says nothing about the new shares.
    pub fn on_statement(&mut self, from: MemberId, statement: ShareStatement) {
        if statement.register >= self.joined {
            self.beyond.insert(from, statement.over_share);
        }
    }

    /// Returns those of `others` that have made no statement that counts.
    pub fn missing(&self, others: impl IntoIterator<Item = MemberId>) -> Vec<MemberId> {
        let mut unheard: Vec<_> = others.into_iter().collect();
        unheard.retain(|id| !self.beyond.contains_key(id));
        unheard
    }

    /// Returns how far `others`, the other registered entries, have made room.
    pub fn state(&self, others: impl IntoIterator<Item = MemberId>) -> JoinState {
        let mut beyond = BTreeSet::new();
        for other in others {
            let Some(stated) = self.beyond.get(&other) else {
                return JoinState::Joining;
            };
            beyond.extend(stated.iter().cloned());
        }
        match beyond.is_empty() {
            true => JoinState::Joined,
            false => JoinState::Restricted(beyond),
        }
    }
}
