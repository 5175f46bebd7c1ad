//! Choice of the replica that runs a request.
//!
//! The router keeps, per workload and data centre, the replicas with room for
//! one more request of this entry. A choice looks at a few of them, so its
//! cost does not grow with their number: the two that rendezvous order prefers
//! for the request's prompt prefix, and a few at random. The cheapest wins, in
//! estimated seconds to the first tokens. See `docs/decisions/0005-routing.md`.

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

/// Replicas looked at for the sake of a cached prefix.
const PREFIX_SAMPLES: usize = 2;
/// Replicas looked at at random in each data centre.
const RANDOM_SAMPLES: usize = 3;
/// Share of the declared first-token time that is assumed at first.
const UNOBSERVED: f64 = 0.25;

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

/// How a replica is chosen. All but the first are baselines to measure against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouterPolicy {
    /// Lowest estimated first-token time, with affinity to cached prefixes.
    #[default]
    Affinity,
    /// Lowest load by the endpoints' lagging reports.
    LaggingReport,
    /// Any replica with room.
    Random,
}

/// A chosen replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The replica.
    pub replica: ReplicaKey,
    /// VM that takes its requests.
    pub leader: VmName,
    /// Address of the endpoint on that VM.
    pub address: SocketAddr,
}

/// The replicas that this entry may use.
#[derive(Debug)]
pub struct Router {
    policy: RouterPolicy,
    standing: JoinState,
    replicas: HashMap<ReplicaKey, Replica>,
    pools: HashMap<WorkloadName, Pool>,
}

impl Router {
    /// A router without replicas.
    #[must_use]
    pub fn new(policy: RouterPolicy) -> Self {
        Self {
            policy,
            standing: JoinState::Joining,
            replicas: HashMap::new(),
            pools: HashMap::new(),
        }
    }

    /// Sets how far the other entries have made room for this one.
    pub fn set_join_state(&mut self, standing: JoinState) {
        if self.standing == standing {
            return;
        }
        self.standing = standing;
        let keys: Vec<_> = self.replicas.keys().cloned().collect();
        for key in &keys {
            self.refresh(key);
        }
    }

    /// Replaces the set of replicas; what is known of those that stay is kept.
    pub(crate) fn set_replicas(&mut self, specs: Vec<ReplicaSpec>) {
        let mut before = std::mem::take(&mut self.replicas);
        self.pools.values_mut().for_each(Pool::clear);
        for spec in specs {
            let key = spec.key.clone();
            let replica = match before.remove(&key) {
                Some(known) if known.spec.leader == spec.leader => known.with_spec(spec),
                other => Replica::new(spec, other.map_or(0, |o| o.in_flight)),
            };
            let assumed = replica.spec.limits.target.mul_f64(UNOBSERVED);
            let pool = self.pools.entry(replica.spec.workload.clone());
            pool.or_insert_with(|| Pool::new(assumed)).add(&key);
            self.replicas.insert(key.clone(), replica);
            self.refresh(&key);
        }
        self.pools.retain(|_, pool| !pool.is_empty());
        self.pools.values_mut().for_each(Pool::sort);
    }

    /// Sets until when a replica may take work.
    pub fn set_serving(&mut self, key: &ReplicaKey, until: Option<Time>) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.serving_until = until.unwrap_or(Time::ZERO);
        }
    }

    /// Takes an endpoint's report that answers a probe sent at `sent`.
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
        self.refresh(key);
    }

    /// Returns the limit of a replica, to feed observations into.
    pub(crate) fn observe(&mut self, key: &ReplicaKey, note: impl FnOnce(&mut ReplicaLimit)) {
        if let Some(replica) = self.replicas.get_mut(key) {
            note(&mut replica.limit);
            self.refresh(key);
        }
    }

    /// Takes the time to a first token at a replica.
    pub(crate) fn on_first_token(&mut self, now: Time, key: &ReplicaKey, took: Duration) {
        let Some((replica, pool)) = self.replica_mut(key) else {
            return;
        };
        replica.limit.on_first_token(now, took);
        replica.speed.on_first_token(now, took, &mut pool.typical);
        self.refresh(key);
    }

    /// Takes the time between two tokens at a replica.
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

    /// Chooses a replica that serves and has room, and takes a place there.
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
        self.refresh(&key);
        Some(Choice {
            replica: key,
            leader,
            address,
        })
    }

    /// Gives back the place of a request that ended.
    pub fn release(&mut self, key: &ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.in_flight = replica.in_flight.saturating_sub(1);
            self.refresh(key);
        }
    }

    /// Returns this entry's requests in flight at a replica.
    #[must_use]
    pub fn in_flight(&self, key: &ReplicaKey) -> u32 {
        self.replicas.get(key).map_or(0, |r| r.in_flight)
    }

    /// Returns what a replica carries at a time over all entries, as far as
    /// this entry knows.
    #[must_use]
    pub fn total_limit(&self, key: &ReplicaKey) -> Option<u32> {
        self.replicas.get(key).map(|r| r.limit.total())
    }

    /// Returns this entry's share of a replica, and 0 for one that it has no
    /// share of.
    pub(crate) fn share(&self, key: &ReplicaKey) -> u32 {
        self.replicas.get(key).map_or(0, Replica::share)
    }

    /// Returns what this entry may have in flight at a replica.
    #[must_use]
    pub fn allowance(&self, key: &ReplicaKey) -> u32 {
        self.replicas
            .get(key)
            .map_or(0, |r| r.allowance(&self.standing))
    }

    /// Returns whether a replica is in service and has fresh evidence.
    #[must_use]
    pub fn is_serving(&self, now: Time, key: &ReplicaKey) -> bool {
        self.replicas.get(key).is_some_and(|r| r.is_serving(now))
    }

    /// Returns the places of this entry at replicas of a workload that serve.
    #[must_use]
    pub fn capacity(&self, now: Time, workload: &WorkloadName) -> u32 {
        let serving = |r: &&Replica| r.spec.workload == *workload && r.is_serving(now);
        self.replicas
            .values()
            .filter(serving)
            .map(|r| r.allowance(&self.standing))
            .sum()
    }

    /// Returns whether any replica of a workload serves.
    #[must_use]
    pub fn any_serving(&self, now: Time, workload: &WorkloadName) -> bool {
        self.replicas
            .values()
            .any(|r| r.spec.workload == *workload && r.is_serving(now))
    }

    /// A request that failed goes to another data centre if it can: a replica's
    /// neighbours are often lost together with it, before evidence shows it.
    fn choose(
        &self,
        now: Time,
        workload: &WorkloadName,
        prefix: u64,
        avoid: &[ReplicaKey],
        rng: &mut impl Rng,
    ) -> Option<ReplicaKey> {
        let pool = self.pools.get(workload)?;
        let elsewhere = |key: &ReplicaKey| {
            self.is_usable(now, key) && !avoid.iter().any(|a| a.data_centre == key.data_centre)
        };
        let other = |key: &ReplicaKey| self.is_usable(now, key) && !avoid.contains(key);
        if let Some(key) = self.choose_among(now, pool, prefix, elsewhere, rng) {
            return Some(key);
        }
        // Without earlier failures the two conditions are the same.
        let failed = !avoid.is_empty();
        failed
            .then(|| self.choose_among(now, pool, prefix, other, rng))
            .flatten()
    }

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

    fn is_usable(&self, now: Time, key: &ReplicaKey) -> bool {
        let Some(replica) = self.replicas.get(key) else {
            return false;
        };
        replica.is_serving(now) && replica.has_room(&self.standing)
    }

    /// Puts a replica on or off its list of replicas with room.
    fn refresh(&mut self, key: &ReplicaKey) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        let room = replica.has_room(&self.standing);
        if room == replica.slot.is_some() {
            return;
        }
        let Some(pool) = self.pools.get_mut(&replica.spec.workload) else {
            return;
        };
        let Some(slot) = replica.slot.take() else {
            replica.slot = Some(pool.open(key));
            return;
        };
        let Some(moved) = pool.close(key, slot) else {
            return;
        };
        if let Some(other) = self.replicas.get_mut(&moved) {
            other.slot = Some(slot);
        }
    }
}
