//! Proof that a daemon's configuration is current.
//!
//! A daemon takes new requests only while it can prove that, a bounded time
//! ago, it knew everything that had been accepted by then. There are three
//! kinds of proof. The age of each counts, on the daemon's own clock, from the
//! time at which its query was *sent*:
//!
//! - a read of the platform's objects;
//! - replies from a majority of the committee, since a change counts as
//!   accepted only when a majority of the committee knows it;
//! - another daemon's proof, whose age comes with the daemon's reply to a probe
//!   and is subtracted from the time at which the probe was sent.
//!
//! Each reply names the revisions that its sender knows; a proof counts only
//! once this daemon holds those revisions, too. Clocks of different processes
//! are never compared, and the cost per daemon does not grow with the number of
//! daemons. See `docs/decisions/0002-freshness.md`.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::MemberId;
use crate::time::Time;

/// Settings of the freshness rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessSettings {
    /// Age up to which a proof is valid.
    pub lifetime: Duration,
}

/// The newest proof of one daemon, and the replies from which proofs follow.
#[derive(Debug)]
pub struct Freshness {
    settings: FreshnessSettings,
    own: MemberId,
    committee: Vec<MemberId>,
    /// Time at which the last answered probe of each committee member was sent.
    replies: HashMap<MemberId, Time>,
    /// Time from which the age of the newest proof counts.
    proven: Option<Time>,
}

impl Freshness {
    /// Creates the state of a daemon without a proof.
    #[must_use]
    pub fn new(settings: FreshnessSettings, own: MemberId) -> Self {
        Self {
            settings,
            own,
            committee: Vec::new(),
            replies: HashMap::new(),
            proven: None,
        }
    }

    /// Sets the committee that follows from the newest register.
    pub fn set_committee(&mut self, committee: Vec<MemberId>) {
        self.replies.retain(|id, _| committee.contains(id));
        self.committee = committee;
    }

    /// Records a completed read of the platform that was sent at `sent`.
    pub fn on_platform_read(&mut self, sent: Time) {
        self.record_proof(sent);
    }

    /// Records a peer's reply to a probe sent at `sent`.
    ///
    /// The caller must hold every revision that the reply names. `peer_age` is
    /// the age of the peer's own proof, if it has one.
    pub fn on_reply(&mut self, peer: MemberId, sent: Time, peer_age: Option<Duration>) {
        if let Some(age) = peer_age {
            self.record_proof(sent - age);
        }
        if self.committee.contains(&peer) {
            let newest = self.replies.entry(peer).or_insert(sent);
            *newest = (*newest).max(sent);
            self.update_majority_proof();
        }
    }

    /// Records the newest proof that follows from a majority's replies.
    ///
    /// Each committee member counts with its newest reply. This daemon needs
    /// no reply of its own, but counts only if it is on the committee.
    fn update_majority_proof(&mut self) {
        let needed = self.committee.len() / 2 + 1;
        let own = usize::from(self.committee.contains(&self.own));
        let Some(others) = needed.checked_sub(own).filter(|n| *n > 0) else {
            return;
        };
        let mut sent: Vec<Time> = self
            .committee
            .iter()
            .filter(|id| **id != self.own)
            .filter_map(|id| self.replies.get(id).copied())
            .collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(at) = sent.get(others - 1) {
            self.record_proof(*at);
        }
    }

    fn record_proof(&mut self, at: Time) {
        self.proven = Some(self.proven.map_or(at, |p| p.max(at)));
    }

    /// Returns the age of the newest proof, if there is one.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.proven.map(|p| now.since(p))
    }

    /// Returns whether the daemon may take new requests.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        self.age(now)
            .is_some_and(|age| age < self.settings.lifetime)
    }
}
