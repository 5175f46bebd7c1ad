//! The replicas of one workload.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ReplicaKey;
use crate::ids::{DataCentreName, stable_hash};
use crate::speed::TypicalSpeed;

/// Points of each replica on the ring that maps prefixes to replicas.
const RING_POINTS: u64 = 8;

/// The replicas of one workload.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) typical: TypicalSpeed,
    /// Replicas with room for one more request of this entry.
    pub(super) open: BTreeMap<DataCentreName, Vec<ReplicaKey>>,
    ring: Vec<(u64, ReplicaKey)>,
}

impl Pool {
    /// A pool without replicas, whose speed is assumed until it is observed.
    pub(super) fn new(first_token: Duration) -> Self {
        Self {
            typical: TypicalSpeed::new(first_token),
            open: BTreeMap::new(),
            ring: Vec::new(),
        }
    }

    /// Drops the replicas; their typical speed stays known.
    pub(super) fn clear(&mut self) {
        self.open.clear();
        self.ring.clear();
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ring.is_empty()
    }

    /// Puts a replica on the ring, which is to be sorted afterwards.
    pub(super) fn add(&mut self, key: &ReplicaKey) {
        for point in 0..RING_POINTS {
            let name = key.to_string();
            let hash = stable_hash([name.as_bytes(), &point.to_be_bytes()[..]]);
            self.ring.push((hash, key.clone()));
        }
    }

    pub(super) fn sort(&mut self) {
        self.ring.sort_unstable();
    }

    /// Puts a replica on the list of those with room; returns its place.
    pub(super) fn open(&mut self, key: &ReplicaKey) -> usize {
        let open = self.open.entry(key.data_centre.clone()).or_default();
        open.push(key.clone());
        open.len() - 1
    }

    /// Takes a replica off the list; returns the one that is at its place now.
    pub(super) fn close(&mut self, key: &ReplicaKey, slot: usize) -> Option<ReplicaKey> {
        let open = self.open.get_mut(&key.data_centre)?;
        open.swap_remove(slot);
        open.get(slot).cloned()
    }

    /// Replicas in the ring's order from a prefix on.
    pub(super) fn preferred(&self, prefix: u64) -> impl Iterator<Item = &ReplicaKey> {
        let start = self.ring.partition_point(|(hash, _)| *hash < prefix);
        self.ring[start..]
            .iter()
            .chain(&self.ring[..start])
            .map(|(_, key)| key)
    }
}
