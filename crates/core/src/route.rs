//! Choice of the replica that runs a request.
//!
//! The router keeps, per workload and data centre, the replicas with room for
//! one more request of this entry. A choice looks at a few of them, so its
//! cost does not grow with their number: the two that rendezvous order prefers
//! for the request's prompt prefix, and a few at random. The cheapest wins, in
//! estimated seconds to the first tokens. See `docs/decisions/0005-routing.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt as _};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::allocation::GroupNumber;
use crate::ids::{DataCentreName, VmName, WorkloadName, stable_hash};
use crate::limit::{LimitSettings, ReplicaLimit, share_of};
use crate::speed::{ReplicaSpeed, TypicalSpeed};
use crate::time::Time;
use crate::vm::LoadReport;

/// Replicas looked at for the sake of a cached prefix.
const PREFIX_SAMPLES: usize = 2;
/// Replicas looked at at random in each data centre.
const RANDOM_SAMPLES: usize = 3;
/// Points of each replica on the ring that maps prefixes to replicas.
const RING_POINTS: u64 = 8;
/// Share of the first-token time that a cached prefix is assumed to save.
const PREFIX_SAVING: f64 = 0.5;
/// Share of the declared first-token time that is assumed at first.
const UNOBSERVED: f64 = 0.25;
/// Tokens after the first whose time counts in the choice of a replica.
const HEAD_TOKENS: f64 = 8.0;

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

/// How far the other entries have made room for this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Some may not know of this entry: it uses no replica.
    Joining,
    /// All know, but some have requests in flight beyond their new shares at
    /// these replicas, which this entry does not use yet.
    Newcomer(BTreeSet<ReplicaKey>),
    /// All keep to their shares.
    Settled,
}

impl Standing {
    /// Whether an entry of this standing may use a replica.
    fn admits(&self, key: &ReplicaKey) -> bool {
        match self {
            Self::Joining => false,
            Self::Newcomer(crowded) => !crowded.contains(key),
            Self::Settled => true,
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

#[derive(Debug)]
struct Replica {
    spec: ReplicaSpec,
    limit: ReplicaLimit,
    speed: ReplicaSpeed,
    in_flight: u32,
    reported: u32,
    reported_at: Time,
    serving_until: Time,
    slot: Option<usize>,
}

impl Replica {
    /// Requests that this entry may have in flight here once it is settled.
    fn share(&self) -> u32 {
        share_of(self.limit.total(), self.spec.rank, self.spec.entries)
    }

    /// Requests that this entry may have in flight here.
    fn allowance(&self, standing: &Standing) -> u32 {
        match standing.admits(&self.spec.key) {
            true => self.share(),
            false => 0,
        }
    }

    fn is_serving(&self, now: Time) -> bool {
        self.spec.in_service && now < self.serving_until
    }

    fn has_room(&self, standing: &Standing) -> bool {
        self.spec.in_service && self.in_flight < self.allowance(standing)
    }

    /// Estimated seconds until the first tokens of one more request.
    fn cost(&self, now: Time, typical: &TypicalSpeed, cached: bool) -> f64 {
        let first = self.speed.first_token_s(now, typical);
        let next = self.speed.token_gap_s(now, typical) * HEAD_TOKENS;
        let saved = if cached { PREFIX_SAVING * first } else { 0.0 };
        let load = f64::from(self.in_flight + 1) / f64::from(self.share().max(1));
        let way = 2.0 * self.spec.one_way_delay.as_secs_f64();
        (first + next) * (1.0 + load) - saved + way
    }
}

/// The replicas of one workload.
#[derive(Debug)]
struct Pool {
    typical: TypicalSpeed,
    open: BTreeMap<DataCentreName, Vec<ReplicaKey>>,
    ring: Vec<(u64, ReplicaKey)>,
}

/// The replicas that this entry may use.
#[derive(Debug)]
pub struct Router {
    policy: RouterPolicy,
    standing: Standing,
    replicas: HashMap<ReplicaKey, Replica>,
    pools: HashMap<WorkloadName, Pool>,
}

impl Router {
    /// A router without replicas.
    #[must_use]
    pub fn new(policy: RouterPolicy) -> Self {
        Self {
            policy,
            standing: Standing::Joining,
            replicas: HashMap::new(),
            pools: HashMap::new(),
        }
    }

    /// Sets how far the other entries have made room for this one.
    pub fn set_standing(&mut self, standing: Standing) {
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
        for pool in self.pools.values_mut() {
            pool.open.clear();
            pool.ring.clear();
        }
        for spec in specs {
            let key = spec.key.clone();
            let replica = match before.remove(&key) {
                Some(known) if known.spec.leader == spec.leader => {
                    let limit = match known.spec.limits == spec.limits {
                        true => known.limit,
                        false => ReplicaLimit::new(spec.limits),
                    };
                    Replica {
                        spec,
                        limit,
                        slot: None,
                        ..known
                    }
                }
                other => Replica {
                    limit: ReplicaLimit::new(spec.limits),
                    speed: ReplicaSpeed::default(),
                    in_flight: other.map_or(0, |o| o.in_flight),
                    reported: 0,
                    reported_at: Time::ZERO,
                    serving_until: Time::ZERO,
                    slot: None,
                    spec,
                },
            };
            let workload = replica.spec.workload.clone();
            let assumed = replica.spec.limits.target.mul_f64(UNOBSERVED);
            let pool = self.pools.entry(workload);
            let pool = pool.or_insert_with(|| Pool::new(assumed));
            for point in 0..RING_POINTS {
                let name = key.to_string();
                let hash = stable_hash([name.as_bytes(), &point.to_be_bytes()[..]]);
                pool.ring.push((hash, key.clone()));
            }
            self.replicas.insert(key.clone(), replica);
            self.refresh(&key);
        }
        self.pools.retain(|_, pool| !pool.ring.is_empty());
        for pool in self.pools.values_mut() {
            pool.ring.sort_unstable();
        }
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
    pub fn start(
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
    pub fn finish(&mut self, key: &ReplicaKey) {
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
    pub fn total(&self, key: &ReplicaKey) -> Option<u32> {
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
        let open = pool.open.entry(key.data_centre.clone()).or_default();
        let Some(slot) = replica.slot.take() else {
            replica.slot = Some(open.len());
            open.push(key.clone());
            return;
        };
        open.swap_remove(slot);
        let Some(moved) = open.get(slot).cloned() else {
            return;
        };
        if let Some(other) = self.replicas.get_mut(&moved) {
            other.slot = Some(slot);
        }
    }
}

impl Pool {
    fn new(first_token: Duration) -> Self {
        Self {
            typical: TypicalSpeed::new(first_token),
            open: BTreeMap::new(),
            ring: Vec::new(),
        }
    }

    /// Replicas in the ring's order from a prefix on.
    fn preferred(&self, prefix: u64) -> impl Iterator<Item = &ReplicaKey> {
        let start = self.ring.partition_point(|(hash, _)| *hash < prefix);
        self.ring[start..]
            .iter()
            .chain(&self.ring[..start])
            .map(|(_, key)| key)
    }
}
