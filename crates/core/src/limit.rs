//! How much one entry may send to one replica.
//!
//! A replica's total limit starts at its declared cold limit and grows with
//! the requests that the endpoint reports as served since it became cold. The
//! total is divided by rank among the *registered* entries: with a total of
//! `L` over `n` entries, ranks below `L mod n` get one more than the others.
//! Shares therefore add up to `L` exactly and only grow while `L` grows, so
//! seven entries that start together cannot overload a cold replica, whatever
//! they think of each other. See `docs/decisions/0004-limits.md`.

use std::time::Duration;

use crate::time::Time;

/// Times the target at which a slow replica is taken to be cold.
const COLLAPSE_FACTOR: f64 = 2.0;
/// Lowest factor to which slowness alone reduces the limit.
const FACTOR_MIN: f64 = 0.05;
/// Factor by which one slow answer reduces the limit.
const DECREASE: f64 = 0.7;
/// Share of the limit regained by one fast answer or one report.
const INCREASE: f64 = 0.02;

/// What is declared of a replica's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Requests that a cold replica carries at a time.
    pub cold: u32,
    /// Requests that a warm replica carries at a time.
    pub warm: u32,
    /// Served requests after which a cold replica carries one more.
    pub ramp: u32,
    /// Time to a first token within which the replica counts as healthy.
    pub target: Duration,
}

/// Returns the share of `total` for the entry with this rank among `entries`.
#[must_use]
pub const fn share_of(total: u32, rank: u32, entries: u32) -> u32 {
    if entries == 0 {
        return 0;
    }
    total / entries + if rank < total % entries { 1 } else { 0 }
}

/// What one entry knows of one replica's capacity.
#[derive(Clone, Debug)]
pub struct ReplicaLimit {
    settings: LimitSettings,
    epoch: u64,
    served: u64,
    served_at_collapse: u64,
    factor: f64,
    held_until: Time,
}

impl ReplicaLimit {
    /// The limit of a replica of which nothing is known yet: cold.
    #[must_use]
    pub const fn new(settings: LimitSettings) -> Self {
        Self {
            settings,
            epoch: 0,
            served: 0,
            served_at_collapse: 0,
            factor: 1.0,
            held_until: Time::ZERO,
        }
    }

    /// Takes the endpoint's report: the run of its process and the requests
    /// it served since it became cold. Reports of several probers may come out
    /// of order, so a slightly lower count is not taken for a fresh start.
    ///
    /// A reduced limit rises with each report, unless slow answers reduce it
    /// again. An entry whose share it left without a place could not learn
    /// otherwise that the replica is fast again.
    pub fn on_report(&mut self, now: Time, epoch: u64, served: u64) {
        let restarted = epoch != self.epoch || served < self.served / 2;
        if !restarted {
            self.served = self.served.max(served);
            if now >= self.held_until {
                self.increase();
            }
            return;
        }
        self.epoch = epoch;
        self.served = served;
        self.served_at_collapse = 0;
        self.factor = 1.0;
    }

    /// Takes the time to the first token of one answer.
    pub fn on_first_token(&mut self, now: Time, took: Duration) {
        let took = took.as_secs_f64();
        let target = self.settings.target.as_secs_f64();
        if took > target * COLLAPSE_FACTOR {
            self.collapse(now);
        } else if took > target {
            self.decrease(now);
        } else {
            self.increase();
        }
    }

    fn increase(&mut self) {
        self.factor = (self.factor + INCREASE).min(1.0);
    }

    /// Takes an endpoint's refusal for lack of capacity.
    pub fn on_refused(&mut self, now: Time) {
        self.decrease(now);
    }

    /// Takes the loss of a request to this replica.
    pub fn on_lost(&mut self, now: Time) {
        self.collapse(now);
    }

    /// Reduces the limit once per target time: the answers that were already
    /// under way say nothing about the reduced limit.
    fn decrease(&mut self, now: Time) {
        if now < self.held_until {
            return;
        }
        self.held_until = now + self.settings.target;
        self.factor = (self.factor * DECREASE).max(FACTOR_MIN);
    }

    /// Starts over from the cold limit, as after a restart.
    fn collapse(&mut self, now: Time) {
        if now < self.held_until {
            return;
        }
        self.held_until = now + self.settings.target;
        self.served_at_collapse = self.served;
    }

    /// Returns the requests that the replica carries at a time, over all entries.
    #[must_use]
    pub fn total(&self) -> u32 {
        let warmed = self.served.saturating_sub(self.served_at_collapse);
        let extra = u32::try_from(warmed / u64::from(self.settings.ramp.max(1)));
        let ramped = self.settings.cold.saturating_add(extra.unwrap_or(u32::MAX));
        let ramped = ramped.min(self.settings.warm);
        let reduced = (f64::from(ramped) * self.factor) as u32;
        reduced.max(1)
    }

    /// Returns whether the replica still carries less than when warm.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.total() < self.settings.warm
    }
}
