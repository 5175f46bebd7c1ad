//! One replica, as one entry knows it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::ReplicaKey;
use crate::ids::{VmName, WorkloadName};
use crate::limit::{LimitSettings, ReplicaLimit, share_of};
use crate::speed::{ReplicaSpeed, TypicalSpeed};
use crate::time::Time;

/// Share of the first-token time that a cached prefix is assumed to save.
const PREFIX_SAVING: f64 = 0.5;
/// Tokens after the first whose time counts in the choice of a replica.
const HEAD_TOKENS: f64 = 8.0;

/// How far the other entries have made room for this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JoinState {
    /// Some may not know of this entry: it uses no replica.
    Joining,
    /// All know, but some have requests in flight beyond their new shares at
    /// these replicas, which this entry does not use yet.
    Restricted(BTreeSet<ReplicaKey>),
    /// All keep to their shares.
    Joined,
}

impl JoinState {
    /// Whether an entry of this standing may use a replica.
    fn admits(&self, key: &ReplicaKey) -> bool {
        match self {
            Self::Joining => false,
            Self::Restricted(crowded) => !crowded.contains(key),
            Self::Joined => true,
        }
    }
}

/// What the router has to know of a replica.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaSpec {
    pub(crate) key: ReplicaKey,
    pub(crate) workload: WorkloadName,
    pub(crate) leader: VmName,
    pub(crate) address: SocketAddr,
    pub(crate) rank: u32,
    pub(crate) entries: u32,
    pub(crate) in_service: bool,
    pub(crate) one_way_delay: Duration,
    pub(crate) limits: LimitSettings,
}

/// A replica with what is known of it.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) spec: ReplicaSpec,
    pub(super) limit: ReplicaLimit,
    pub(super) speed: ReplicaSpeed,
    pub(super) in_flight: u32,
    pub(super) reported: u32,
    pub(super) reported_at: Time,
    pub(super) serving_until: Time,
    /// Place in the list of replicas with room.
    pub(super) slot: Option<usize>,
}

impl Replica {
    /// A replica of which nothing is known but its declaration.
    pub(super) fn new(spec: ReplicaSpec, in_flight: u32) -> Self {
        Self {
            limit: ReplicaLimit::new(spec.limits),
            speed: ReplicaSpeed::default(),
            in_flight,
            reported: 0,
            reported_at: Time::ZERO,
            serving_until: Time::ZERO,
            slot: None,
            spec,
        }
    }

    /// Takes a new declaration; what is known stays, but for a limit that is
    /// declared anew.
    pub(super) fn with_spec(mut self, spec: ReplicaSpec) -> Self {
        if self.spec.limits != spec.limits {
            self.limit = ReplicaLimit::new(spec.limits);
        }
        self.slot = None;
        self.spec = spec;
        self
    }

    /// Requests that this entry may have in flight here once it is settled.
    pub(super) fn share(&self) -> u32 {
        share_of(self.limit.total(), self.spec.rank, self.spec.entries)
    }

    /// Requests that this entry may have in flight here.
    pub(super) fn allowance(&self, standing: &JoinState) -> u32 {
        match standing.admits(&self.spec.key) {
            true => self.share(),
            false => 0,
        }
    }

    pub(super) fn is_serving(&self, now: Time) -> bool {
        self.spec.in_service && now < self.serving_until
    }

    pub(super) fn has_room(&self, standing: &JoinState) -> bool {
        self.spec.in_service && self.in_flight < self.allowance(standing)
    }

    /// Estimated seconds until the first tokens of one more request.
    pub(super) fn cost(&self, now: Time, typical: &TypicalSpeed, cached: bool) -> f64 {
        let first = self.speed.first_token_s(now, typical);
        let next = self.speed.token_gap_s(now, typical) * HEAD_TOKENS;
        let saved = if cached { PREFIX_SAVING * first } else { 0.0 };
        let load = f64::from(self.in_flight + 1) / f64::from(self.share().max(1));
        let way = 2.0 * self.spec.one_way_delay.as_secs_f64();
        (first + next) * (1.0 + load) - saved + way
    }
}
