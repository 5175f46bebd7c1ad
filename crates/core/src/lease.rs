//! Acquisition and renewal of the controller lease of a data centre.
//!
//! A holder relies on its lease for a shorter time, counted from when it *sent*
//! its last renewal, than other daemons wait after they *saw* that renewal.
//! Each of these durations is measured on a single clock. A holder that was
//! paused notices the expiry at its next check; orders that it may have sent
//! before carry an outdated fencing token.

use std::time::Duration;

use crate::allocation::Lease;
use crate::ids::{Incarnation, MemberId};
use crate::time::Time;

/// Durations of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time without a renewal after which others may take the lease. It must
    /// be longer than `holder_ttl`.
    pub takeover_timeout: Duration,
    /// Time, after it sent a renewal, for which the holder relies on it.
    pub holder_ttl: Duration,
    /// Time between two renewals of the holder.
    pub renew_interval: Duration,
    /// Additional timeout per rank, so that the candidate of the lowest rank
    /// takes the lease first.
    pub rank_delay: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            takeover_timeout: Duration::from_secs(6),
            holder_ttl: Duration::from_secs(4),
            renew_interval: Duration::from_millis(1_500),
            rank_delay: Duration::from_secs(1),
        }
    }
}

/// Next step of a daemon towards a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Wait, because another daemon holds the lease or this one is no candidate.
    Wait,
    /// Write this lease with a conditional update.
    Write(Lease),
    /// Keep the lease, which this daemon holds and need not renew yet.
    Keep,
}

/// Tracks one lease and decides when this daemon takes or renews it.
#[derive(Debug)]
pub struct LeaseTracker {
    settings: LeaseSettings,
    own: MemberId,
    incarnation: Incarnation,
    /// Last stored lease, and the time at which it was first seen.
    seen: Option<(Lease, Time)>,
    /// Time at which the last successful write was sent, while this daemon
    /// holds the lease.
    renewed: Option<Time>,
}

impl LeaseTracker {
    /// Creates a tracker that has not seen the stored lease yet.
    #[must_use]
    pub const fn new(settings: LeaseSettings, own: MemberId, incarnation: Incarnation) -> Self {
        Self {
            settings,
            own,
            incarnation,
            seen: None,
            renewed: None,
        }
    }

    /// Returns the next step, given the `stored` lease.
    ///
    /// `rank` is this daemon's rank among the candidates for the lease, or
    /// `None` if it is not a candidate.
    pub fn step(&mut self, now: Time, stored: Option<&Lease>, rank: Option<u32>) -> LeaseStep {
        let Some(stored) = stored else {
            return self.write_or_wait(None, rank);
        };
        if self.seen.as_ref().is_none_or(|(lease, _)| lease != stored) {
            self.seen = Some((stored.clone(), now));
        }
        if stored.incarnation == self.incarnation {
            let due = self
                .renewed
                .is_none_or(|r| now.since(r) >= self.settings.renew_interval);
            return if due {
                self.write_or_wait(Some(stored), rank)
            } else {
                LeaseStep::Keep
            };
        }
        self.renewed = None;
        let unchanged = self
            .seen
            .as_ref()
            .map_or(Duration::ZERO, |(_, at)| now.since(*at));
        let wait = self.settings.takeover_timeout + self.settings.rank_delay * rank.unwrap_or(0);
        if unchanged < wait {
            LeaseStep::Wait
        } else {
            self.write_or_wait(Some(stored), rank)
        }
    }

    fn write_or_wait(&self, stored: Option<&Lease>, rank: Option<u32>) -> LeaseStep {
        if rank.is_none() {
            return LeaseStep::Wait;
        }
        let beat = stored.map_or(0, |l| l.beat + 1);
        let (holder, incarnation) = (self.own, self.incarnation);
        LeaseStep::Write(Lease {
            holder,
            incarnation,
            beat,
        })
    }

    /// Records the success of a lease write that was sent at `sent`.
    pub fn on_written(&mut self, sent: Time) {
        self.renewed = Some(sent);
    }

    /// Returns whether this daemon may rely on holding the lease, and so may
    /// give orders.
    #[must_use]
    pub fn is_held(&self, now: Time) -> bool {
        self.renewed
            .is_some_and(|sent| now.since(sent) < self.settings.holder_ttl)
    }
}
