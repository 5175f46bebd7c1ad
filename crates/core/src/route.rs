//! Choice of the replica that runs a request.
//!
//! The router keeps, per workload and data centre, the replicas with a free
//! slot for a request of this entry. A choice compares a few of them, so that
//! its cost does not grow with the number of replicas: two that a hash ring
//! prefers for the request's prompt prefix, and a few at random. The replica
//! with the lowest estimated time to the first tokens wins. See
//! `docs/decisions/0005-routing.md`.

mod pool;
mod replica;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt as _};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use pool::Pool;
pub use replica::JoinState;
use replica::Replica;
pub(crate) use replica::ReplicaSpec;

use crate::allocation::GroupNumber;
use crate::ids::{DataCentreName, VmName, WorkloadName};
use crate::limit::ReplicaLimit;
use crate::time::Time;
use crate::vm::LoadReport;

/// Candidates per choice that may have the request's prefix cached.
const PREFIX_SAMPLES: usize = 2;
/// Random candidates per choice in each data centre.
const RANDOM_SAMPLES: usize = 3;
/// Fraction of the declared first-token time that a workload's replicas are
/// assumed to need until a time is observed.
const INITIAL_SPEED_FRACTION: f64 = 0.25;

/// Identity of a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ReplicaKey {
    /// Data centre of the group.
    pub data_centre: DataCentreName,
    /// Number of the group there.
    pub number: GroupNumber,
}

impl std::fmt::Display for ReplicaKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.data_centre, self.number)
    }
}

/// Policy by which a replica is chosen.
///
/// All but [`Self::Affinity`] are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouterPolicy {
    /// Lowest estimated first-token time, with affinity to cached prefixes.
    #[default]
    Affinity,
    /// Lowest load according to the endpoints' reports, which lag.
    LaggingReport,
    /// A random replica with a free slot.
    Random,
}

/// A chosen replica and the endpoint that takes its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The replica.
    pub replica: ReplicaKey,
    /// VM that takes the replica's requests.
    pub leader: VmName,
    /// Address of the endpoint on that VM.
    pub address: SocketAddr,
}

/// The replicas that this entry may use, with their load and speed.
#[derive(Debug)]
pub struct Router {
    policy: RouterPolicy,
    join_state: JoinState,
    replicas: HashMap<ReplicaKey, Replica>,
    pools: HashMap<WorkloadName, Pool>,
}

impl Router {
    /// Creates a router without replicas.
    #[must_use]
    pub fn new(policy: RouterPolicy) -> Self {
        Self {
            policy,
            join_state: JoinState::Joining,
            replicas: HashMap::new(),
            pools: HashMap::new(),
        }
    }

    /// Sets how far this entry has joined, which decides the replicas that it
    /// may use.
    pub fn set_join_state(&mut self, join_state: JoinState) {
        if self.join_state == join_state {
            return;
        }
        self.join_state = join_state;
        let keys: Vec<_> = self.replicas.keys().cloned().collect();
        for key in &keys {
            self.update_open_list(key);
        }
    }

    /// Replaces the set of replicas, keeping the state of those that remain. A
    /// replica with a new leader keeps only its number of requests in flight.
    pub(crate) fn set_replicas(&mut self, specs: Vec<ReplicaSpec>) {
        let mut before = std::mem::take(&mut self.replicas);
        self.pools.values_mut().for_each(Pool::clear);
        for spec in specs {
            let key = spec.key.clone();
            let replica = match before.remove(&key) {
                Some(known) if known.spec.leader == spec.leader => known.with_spec(spec),
                other => Replica::new(spec, other.map_or(0, |o| o.in_flight)),
            };
            let assumed = replica.spec.limits.target.mul_f64(INITIAL_SPEED_FRACTION);
            let pool = self.pools.entry(replica.spec.workload.clone());
            pool.or_insert_with(|| Pool::new(assumed)).add(&key);
            self.replicas.insert(key.clone(), replica);
            self.update_open_list(&key);
        }
        self.pools.retain(|_, pool| !pool.is_empty());
        self.pools.values_mut().for_each(Pool::sort);
    }

    /// Sets the time until which a replica may take new requests; `None` stops
    /// it at once.
    pub fn set_serving(&mut self, key: &ReplicaKey, until: Option<Time>) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.serving_until = until.unwrap_or(Time::ZERO);
        }
    }

    /// Records an endpoint's report that answers a probe sent at `sent`.
    pub fn on_report(&mut self, key: &ReplicaKey, sent: Time, report: LoadReport) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        if sent < replica.reported_at {
            return;
        }
        replica.reported_at = sent;
        replica.limit.on_report(sent, report.epoch, report.served);
        replica.reported = report.running;
        self.update_open_list(key);
    }

    /// Applies an observation to the limit of a replica.
    pub(crate) fn update_limit(
        &mut self,
        key: &ReplicaKey,
        update: impl FnOnce(&mut ReplicaLimit),
    ) {
        if let Some(replica) = self.replicas.get_mut(key) {
            update(&mut replica.limit);
            self.update_open_list(key);
        }
    }

    /// Records the time to the first token of an answer of a replica.
    pub(crate) fn on_first_token(&mut self, now: Time, key: &ReplicaKey, took: Duration) {
        let Some((replica, pool)) = self.replica_mut(key) else {
            return;
        };
        replica.limit.on_first_token(now, took);
        replica.speed.on_first_token(now, took, &mut pool.typical);
        self.update_open_list(key);
    }

    /// Records the time between two tokens of an answer of a replica.
    pub(crate) fn on_token_gap(&mut self, now: Time, key: &ReplicaKey, gap: Duration) {
        if let Some((replica, pool)) = self.replica_mut(key) {
            replica.speed.on_token_gap(now, gap, &mut pool.typical);
        }
    }

    fn replica_mut(&mut self, key: &ReplicaKey) -> Option<(&mut Replica, &mut Pool)> {
        let replica = self.replicas.get_mut(key)?;
        let pool = self.pools.get_mut(&replica.spec.workload)?;
        Some((replica, pool))
    }

    /// Chooses a serving replica with a free slot and takes the slot.
    ///
    /// Replicas in `avoid` are never chosen, and their data centres only if no
    /// other has a free slot. `prefix` is the hash of the prompt's start.
    pub fn acquire(
        &mut self,
        now: Time,
        workload: &WorkloadName,
        prefix: u64,
        avoid: &[ReplicaKey],
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let key = self.choose(now, workload, prefix, avoid, rng)?;
        let replica = self.replicas.get_mut(&key)?;
        replica.in_flight += 1;
        let (leader, address) = (replica.spec.leader.clone(), replica.spec.address);
        self.update_open_list(&key);
        Some(Choice {
            replica: key,
            leader,
            address,
        })
    }

    /// Frees the slot of a request that has ended.
    pub fn release(&mut self, key: &ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.in_flight = replica.in_flight.saturating_sub(1);
            self.update_open_list(key);
        }
    }

    /// Returns the number of this entry's requests in flight at a replica.
    #[must_use]
    pub fn in_flight(&self, key: &ReplicaKey) -> u32 {
        self.replicas.get(key).map_or(0, |r| r.in_flight)
    }

    /// Returns this entry's estimate of a replica's limit over all entries.
    #[must_use]
    pub fn total_limit(&self, key: &ReplicaKey) -> Option<u32> {
        self.replicas.get(key).map(|r| r.limit.total())
    }

    /// Returns this entry's share of a replica's limit, or 0 if it has none.
    pub(crate) fn share(&self, key: &ReplicaKey) -> u32 {
        self.replicas.get(key).map_or(0, Replica::share)
    }

    /// Returns how many requests this entry may have in flight at a replica.
    #[must_use]
    pub fn allowance(&self, key: &ReplicaKey) -> u32 {
        self.replicas
            .get(key)
            .map_or(0, |r| r.allowance(&self.join_state))
    }

    /// Returns whether a replica is in service and has fresh evidence.
    #[must_use]
    pub fn is_serving(&self, now: Time, key: &ReplicaKey) -> bool {
        self.replicas.get(key).is_some_and(|r| r.is_serving(now))
    }

    /// Returns the total number of slots, free or taken, that this entry has at
    /// the serving replicas of a workload.
    #[must_use]
    pub fn total_slots(&self, now: Time, workload: &WorkloadName) -> u32 {
        let serving = |r: &&Replica| r.spec.workload == *workload && r.is_serving(now);
        self.replicas
            .values()
            .filter(serving)
            .map(|r| r.allowance(&self.join_state))
            .sum()
    }

    /// Returns whether any replica of a workload is serving.
    #[must_use]
    pub fn any_serving(&self, now: Time, workload: &WorkloadName) -> bool {
        self.replicas
            .values()
            .any(|r| r.spec.workload == *workload && r.is_serving(now))
    }

    /// Chooses a replica, preferring other data centres than those in `avoid`.
    ///
    /// Replicas of one data centre often fail together, and the evidence shows
    /// the failure only after some time.
    fn choose(
        &self,
        now: Time,
        workload: &WorkloadName,
        prefix: u64,
        avoid: &[ReplicaKey],
        rng: &mut impl Rng,
    ) -> Option<ReplicaKey> {
        let pool = self.pools.get(workload)?;
        let in_other_data_centre = |key: &ReplicaKey| {
            self.is_usable(now, key) && !avoid.iter().any(|a| a.data_centre == key.data_centre)
        };
        let not_avoided = |key: &ReplicaKey| self.is_usable(now, key) && !avoid.contains(key);
        if let Some(key) = self.choose_among(now, pool, prefix, in_other_data_centre, rng) {
            return Some(key);
        }
        // If `avoid` is empty, both conditions are the same.
        let retry = !avoid.is_empty();
        retry
            .then(|| self.choose_among(now, pool, prefix, not_avoided, rng))
            .flatten()
    }

    /// Chooses the cheapest of the candidates that `usable` accepts.
    ///
    /// Candidates are the replicas that may have the prefix cached and random
    /// open ones of each data centre. If none of them is usable, the first
    /// usable open replica is chosen.
    fn choose_among(
        &self,
        now: Time,
        pool: &Pool,
        prefix: u64,
        usable: impl Fn(&ReplicaKey) -> bool,
        rng: &mut impl Rng,
    ) -> Option<ReplicaKey> {
        let usable = |key: &&ReplicaKey| usable(key);
        let cached: SmallVec<[&ReplicaKey; PREFIX_SAMPLES]> = match self.policy {
            RouterPolicy::Affinity => pool.preferred(prefix).take(PREFIX_SAMPLES).collect(),
            RouterPolicy::LaggingReport | RouterPolicy::Random => SmallVec::new(),
        };
        let mut candidates: SmallVec<[&ReplicaKey; 16]> =
            cached.iter().copied().filter(usable).collect();
        for open in pool.open.values().filter(|o| !o.is_empty()) {
            let samples = (0..RANDOM_SAMPLES).map(|_| &open[rng.random_range(0..open.len())]);
            candidates.extend(samples.filter(usable));
        }
        if candidates.is_empty() {
            candidates = pool
                .open
                .values()
                .flatten()
                .filter(usable)
                .take(1)
                .collect();
        }
        let mut best: Option<(f64, &ReplicaKey)> = None;
        for key in candidates {
            let cost = self.cost(now, pool, key, cached.contains(&key), rng);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key.clone())
    }

    /// Returns the cost of a replica according to the policy; the lowest wins.
    fn cost(
        &self,
        now: Time,
        pool: &Pool,
        key: &ReplicaKey,
        cached: bool,
        rng: &mut impl Rng,
    ) -> f64 {
        let Some(replica) = self.replicas.get(key) else {
            return f64::INFINITY;
        };
        match self.policy {
            RouterPolicy::Affinity => replica.cost(now, &pool.typical, cached),
            RouterPolicy::LaggingReport => f64::from(replica.reported),
            RouterPolicy::Random => rng.random(),
        }
    }

    /// Returns whether a replica is serving and has a free slot.
    fn is_usable(&self, now: Time, key: &ReplicaKey) -> bool {
        let Some(replica) = self.replicas.get(key) else {
            return false;
        };
        replica.is_serving(now) && replica.has_free_slot(&self.join_state)
    }

    /// Adds a replica to the list of open replicas or removes it, after a
    /// change that may have freed its first slot or taken its last one.
    fn update_open_list(&mut self, key: &ReplicaKey) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        let is_open = replica.has_free_slot(&self.join_state);
        if is_open == replica.open_index.is_some() {
            return;
        }
        let Some(pool) = self.pools.get_mut(&replica.spec.workload) else {
            return;
        };
        let Some(index) = replica.open_index.take() else {
            replica.open_index = Some(pool.open(key));
            return;
        };
        let Some(moved) = pool.close(key, index) else {
            return;
        };
        if let Some(other) = self.replicas.get_mut(&moved) {
            other.open_index = Some(index);
        }
    }
}
