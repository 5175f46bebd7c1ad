//! One entry's state of one replica.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::ReplicaKey;
use crate::ids::{VmName, WorkloadName};
use crate::limit::{LimitSettings, ReplicaLimit, share_of};
use crate::speed::{ReplicaSpeed, TypicalSpeed};
use crate::time::Time;

/// Fraction of the first-token time that a cached prefix is assumed to save.
const PREFIX_SAVING: f64 = 0.5;
/// Number of tokens after the first whose time counts in a replica's cost.
const TOKENS_AFTER_FIRST: f64 = 8.0;

/// How far an entry has joined, which decides the replicas that it may use.
///
/// An entry gets shares that the others used before, so it has to wait until
/// they keep to their reduced shares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JoinState {
    /// Some entries may not know of this one yet, so it may use no replica.
    Joining,
    /// All entries know of this one, but at these replicas some have more
    /// requests in flight than their new shares. It may use all others.
    Restricted(BTreeSet<ReplicaKey>),
    /// All entries keep to their shares, so all replicas may be used.
    Joined,
}

impl JoinState {
    fn admits(&self, key: &ReplicaKey) -> bool {
        match self {
            Self::Joining => false,
            Self::Restricted(over_share) => !over_share.contains(key),
            Self::Joined => true,
        }
    }
}

/// Declaration of a replica for the router.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaSpec {
    pub(crate) key: ReplicaKey,
    pub(crate) workload: WorkloadName,
    pub(crate) leader: VmName,
    pub(crate) address: SocketAddr,
    /// Rank of this entry among those that share the replica.
    pub(crate) rank: u32,
    /// Number of entries that share the replica.
    pub(crate) entries: u32,
    /// Whether the replica's data centre is in service.
    pub(crate) in_service: bool,
    pub(crate) one_way_delay: Duration,
    pub(crate) limits: LimitSettings,
}

/// A replica's declaration, load and observed speed.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) spec: ReplicaSpec,
    pub(super) limit: ReplicaLimit,
    pub(super) speed: ReplicaSpeed,
    /// Number of this entry's requests in flight.
    pub(super) in_flight: u32,
    /// Number of requests running according to the last report.
    pub(super) reported: u32,
    /// Time at which the probe of the last report was sent.
    pub(super) reported_at: Time,
    pub(super) serving_until: Time,
    /// Index in the pool's open list, while the replica has a free slot.
    pub(super) open_index: Option<usize>,
}

impl Replica {
    /// Creates a replica without reports or observations.
    pub(super) fn new(spec: ReplicaSpec, in_flight: u32) -> Self {
        Self {
            limit: ReplicaLimit::new(spec.limits),
            speed: ReplicaSpeed::default(),
            in_flight,
            reported: 0,
            reported_at: Time::ZERO,
            serving_until: Time::ZERO,
            open_index: None,
            spec,
        }
    }

    /// Replaces the declaration and keeps the state, except for the limit if
    /// its declaration has changed.
    pub(super) fn with_spec(mut self, spec: ReplicaSpec) -> Self {
        if self.spec.limits != spec.limits {
            self.limit = ReplicaLimit::new(spec.limits);
        }
        self.open_index = None;
        self.spec = spec;
        self
    }

    /// Returns this entry's share of the limit, whatever its join state.
    pub(super) fn share(&self) -> u32 {
        share_of(self.limit.total(), self.spec.rank, self.spec.entries)
    }

    /// Returns how many requests this entry may have in flight here.
    pub(super) fn allowance(&self, join_state: &JoinState) -> u32 {
        match join_state.admits(&self.spec.key) {
            true => self.share(),
            false => 0,
        }
    }

    pub(super) fn is_serving(&self, now: Time) -> bool {
        self.spec.in_service && now < self.serving_until
    }

    pub(super) fn has_free_slot(&self, join_state: &JoinState) -> bool {
        self.spec.in_service && self.in_flight < self.allowance(join_state)
    }

    /// Returns the estimated seconds until the first tokens of one more request.
    pub(super) fn cost(&self, now: Time, typical: &TypicalSpeed, cached: bool) -> f64 {
        let first = self.speed.first_token_s(now, typical);
        let next = self.speed.token_gap_s(now, typical) * TOKENS_AFTER_FIRST;
        let saved = if cached { PREFIX_SAVING * first } else { 0.0 };
        let load = f64::from(self.in_flight + 1) / f64::from(self.share().max(1));
        let round_trip = 2.0 * self.spec.one_way_delay.as_secs_f64();
        (first + next) * (1.0 + load) - saved + round_trip
    }
}
