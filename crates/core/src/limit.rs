//! Concurrency limit of a replica and its division among the entries.
//!
//! A replica's total limit starts at its declared cold limit and grows with
//! the requests that the endpoint reports as served since it became cold. The
//! total is divided by rank among the *registered* entries: with a total of
//! `L` over `n` entries, ranks below `L mod n` get one more than the others.
//! Shares therefore add up to exactly `L` and grow only while `L` grows, so
//! that several entries (seven, for instance) that start at the same time
//! cannot overload a cold replica, even if their views of each other's liveness
//! differ. See `docs/decisions/0004-limits.md`.

use std::time::Duration;

use crate::time::Time;

/// Multiple of the target first-token time above which a replica is taken to
/// be cold again.
const COLLAPSE_MULTIPLE: f64 = 2.0;
/// Lower bound of the factor that slow answers apply to the limit.
const MIN_FACTOR: f64 = 0.05;
/// Multiplier applied to the factor for a slow answer (multiplicative decrease).
const DECREASE_MULTIPLIER: f64 = 0.7;
/// Amount added to the factor for a fast answer or a report (additive increase).
const INCREASE_STEP: f64 = 0.02;

/// Declared limits of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Concurrent requests of a cold replica.
    pub cold: u32,
    /// Concurrent requests of a warm replica.
    pub warm: u32,
    /// Served requests after which a cold replica's limit rises by one.
    pub ramp: u32,
    /// Time to the first token up to which an answer counts as fast.
    pub target: Duration,
}

/// Returns the share of `total` for the entry of this rank among `entries`.
///
/// The shares of all ranks add up to `total`.
#[must_use]
pub const fn share_of(total: u32, rank: u32, entries: u32) -> u32 {
    if entries == 0 {
        return 0;
    }
    total / entries + if rank < total % entries { 1 } else { 0 }
}

/// One entry's estimate of a replica's total concurrency limit.
///
/// The declared limits are reduced while answers are slow (additive increase,
/// multiplicative decrease).
#[derive(Clone, Debug)]
pub struct ReplicaLimit {
    settings: LimitSettings,
    epoch: u64,
    served: u64,
    /// Value of `served` when the replica was last taken to be cold.
    served_at_collapse: u64,
    /// Factor by which slow answers reduce the limit, from [`MIN_FACTOR`] to 1.
    factor: f64,
    /// End of the target time after the last reduction.
    hold_off_until: Time,
}

impl ReplicaLimit {
    /// Creates the limit of a replica without reports, which is assumed cold.
    #[must_use]
    pub const fn new(settings: LimitSettings) -> Self {
        Self {
            settings,
            epoch: 0,
            served: 0,
            served_at_collapse: 0,
            factor: 1.0,
            hold_off_until: Time::ZERO,
        }
    }

    /// Records an endpoint's report: the run of its process (`epoch`) and the
    /// requests it `served` since it became cold.
    ///
    /// Reports of several probers may arrive out of order, so a slightly lower
    /// count is not taken for a restart. A reduced limit rises with each report
    /// that comes later than the target time after the last reduction: an entry
    /// whose share fell to zero gets no answers from which it could see that
    /// the replica has recovered.
    pub fn on_report(&mut self, now: Time, epoch: u64, served: u64) {
        let restarted = epoch != self.epoch || served < self.served / 2;
        if !restarted {
            self.served = self.served.max(served);
            if now >= self.hold_off_until {
                self.increase();
            }
            return;
        }
        self.epoch = epoch;
        self.served = served;
        self.served_at_collapse = 0;
        self.factor = 1.0;
    }

    /// Records the time to the first token of one answer.
    pub fn on_first_token(&mut self, now: Time, took: Duration) {
        let took = took.as_secs_f64();
        let target = self.settings.target.as_secs_f64();
        if took > target * COLLAPSE_MULTIPLE {
            self.collapse(now);
        } else if took > target {
            self.decrease(now);
        } else {
            self.increase();
        }
    }

    fn increase(&mut self) {
        self.factor = (self.factor + INCREASE_STEP).min(1.0);
    }

    /// Records an endpoint's refusal for lack of capacity.
    pub fn on_refused(&mut self, now: Time) {
        self.decrease(now);
    }

    /// Records that the endpoint was lost while it ran a request.
    pub fn on_lost(&mut self, now: Time) {
        self.collapse(now);
    }

    /// Reduces the limit, at most once per target time.
    ///
    /// Answers to requests that were sent under the previous limit say nothing
    /// about the reduced one.
    fn decrease(&mut self, now: Time) {
        if now < self.hold_off_until {
            return;
        }
        self.hold_off_until = now + self.settings.target;
        self.factor = (self.factor * DECREASE_MULTIPLIER).max(MIN_FACTOR);
    }

    /// Resets the limit to the cold limit, as after a restart.
    fn collapse(&mut self, now: Time) {
        if now < self.hold_off_until {
            return;
        }
        self.hold_off_until = now + self.settings.target;
        self.served_at_collapse = self.served;
    }

    /// Returns the maximum number of concurrent requests of all entries.
    #[must_use]
    pub fn total(&self) -> u32 {
        let warmed = self.served.saturating_sub(self.served_at_collapse);
        let extra = u32::try_from(warmed / u64::from(self.settings.ramp.max(1)));
        let ramped = self.settings.cold.saturating_add(extra.unwrap_or(u32::MAX));
        let ramped = ramped.min(self.settings.warm);
        let reduced = (f64::from(ramped) * self.factor) as u32;
        reduced.max(1)
    }

    /// Returns whether the limit is below the declared warm limit.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.total() < self.settings.warm
    }
}
