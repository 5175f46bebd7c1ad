//! Proof that a daemon's configuration is current.
//!
//! A daemon takes new work only while it can prove that it knew, a bounded
//! time ago, everything that was accepted then. There are three proofs, and
//! each is dated on the daemon's own clock by the moment its question was
//! *sent*:
//!
//! - a read of the platform;
//! - replies from a majority of the committee, since a change counts as
//!   accepted only when a majority of the committee knows it;
//! - another daemon's proof, whose age came with its reply: the proof is dated
//!   that much before the probe was sent.
//!
//! Each reply carries the revisions that its sender knows; a proof counts only
//! once this daemon holds those revisions too. No clocks are compared, and the
//! cost per daemon does not grow with the fleet. See
//! `docs/decisions/0002-freshness.md`.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::MemberId;
use crate::time::Time;

/// Bounds of the freshness rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessSettings {
    /// Age up to which a proof counts.
    pub lifetime: Duration,
}

/// The proofs that one daemon holds.
#[derive(Debug)]
pub struct Freshness {
    settings: FreshnessSettings,
    own: MemberId,
    committee: Vec<MemberId>,
    replies: HashMap<MemberId, Time>,
    proven: Option<Time>,
}

impl Freshness {
    /// A daemon without proof.
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

    /// Takes the committee that the newest register names.
    pub fn set_committee(&mut self, committee: Vec<MemberId>) {
        self.replies.retain(|id, _| committee.contains(id));
        self.committee = committee;
    }

    /// Takes a completed read of the platform that was sent at `sent`.
    pub fn on_platform_read(&mut self, sent: Time) {
        self.prove(sent);
    }

    /// Takes a peer's reply to a probe sent at `sent`, once everything that
    /// the reply announced is held here.
    pub fn on_reply(&mut self, peer: MemberId, sent: Time, peer_age: Option<Duration>) {
        if let Some(age) = peer_age {
            self.prove(sent - age);
        }
        if self.committee.contains(&peer) {
            let newest = self.replies.entry(peer).or_insert(sent);
            *newest = (*newest).max(sent);
            self.prove_by_majority();
        }
    }

    /// The moment up to which a majority of the committee has replied. Each
    /// member counts with its newest reply; this daemon counts as one that
    /// replies at once, but only if it is on the committee itself.
    fn prove_by_majority(&mut self) {
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
            self.prove(*at);
        }
    }

    fn prove(&mut self, at: Time) {
        self.proven = Some(self.proven.map_or(at, |p| p.max(at)));
    }

    /// Returns the age of the newest proof, if there is one.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.proven.map(|p| now.since(p))
    }

    /// Returns whether new work may be taken.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        self.age(now)
            .is_some_and(|age| age < self.settings.lifetime)
    }
}
