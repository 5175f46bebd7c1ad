//! When to take, renew and rely on the controller lease of a data centre.
//!
//! A holder relies on the lease for less time, counted from the *sending* of
//! its last renewal, than others wait after they *saw* that renewal. Both are
//! spans on one clock each. A holder that was paused finds out at its next
//! check; the orders it may already have sent carry an old fencing number.

use std::time::Duration;

use crate::allocation::Lease;
use crate::ids::{Incarnation, MemberId};
use crate::time::Time;

/// Durations of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time without a beat after which others may take the lease.
    pub takeover_timeout: Duration,
    /// Time from the sending of a renewal for which the holder relies on it.
    pub holder_ttl: Duration,
    /// Time after which the holder renews.
    pub renew_interval: Duration,
    /// Additional wait per rank, so that the best candidate tries first.
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

/// What to do about the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Another daemon holds it: wait.
    Wait,
    /// Write this lease with a conditional update.
    Write(Lease),
    /// It is held here and need not be renewed yet.
    Keep,
}

/// One daemon's view of one lease.
#[derive(Debug)]
pub struct LeaseTracker {
    settings: LeaseSettings,
    own: MemberId,
    incarnation: Incarnation,
    seen: Option<(Lease, Time)>,
    renewed: Option<Time>,
}

impl LeaseTracker {
    /// A view before the first read.
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

    /// Takes the stored lease and decides. `rank` is this daemon's place among
    /// the candidates, or `None` if it is not one.
    pub fn step(&mut self, now: Time, stored: Option<&Lease>, rank: Option<u32>) -> LeaseStep {
        let Some(stored) = stored else {
            return self.try_take(None, rank);
        };
        if self.seen.as_ref().is_none_or(|(lease, _)| lease != stored) {
            self.seen = Some((stored.clone(), now));
        }
        if stored.incarnation == self.incarnation {
            let due = self
                .renewed
                .is_none_or(|r| now.since(r) >= self.settings.renew_interval);
            return if due {
                self.try_take(Some(stored), rank)
            } else {
                LeaseStep::Keep
            };
        }
        self.renewed = None;
        let still = self
            .seen
            .as_ref()
            .map_or(Duration::ZERO, |(_, at)| now.since(*at));
        let wait = self.settings.takeover_timeout + self.settings.rank_delay * rank.unwrap_or(0);
        if still < wait {
            LeaseStep::Wait
        } else {
            self.try_take(Some(stored), rank)
        }
    }

    fn try_take(&self, stored: Option<&Lease>, rank: Option<u32>) -> LeaseStep {
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

    /// Takes the success of a write that was sent at `sent`.
    pub fn on_written(&mut self, sent: Time) {
        self.renewed = Some(sent);
    }

    /// Returns whether orders may be given now.
    #[must_use]
    pub fn is_held(&self, now: Time) -> bool {
        self.renewed
            .is_some_and(|sent| now.since(sent) < self.settings.holder_ttl)
    }
}
