//! Index of one workload's replicas: by free slots and by prompt prefix.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ReplicaKey;
use crate::ids::{DataCentreName, stable_hash};
use crate::speed::TypicalSpeed;

/// Virtual nodes of each replica on the consistent-hash ring of prefixes.
const RING_POINTS: u64 = 8;

/// The replicas of one workload.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) typical: TypicalSpeed,
    /// Replicas with a free slot for a request of this entry.
    pub(super) open: BTreeMap<DataCentreName, Vec<ReplicaKey>>,
    ring: Vec<(u64, ReplicaKey)>,
}

impl Pool {
    /// Creates a pool without replicas, with an assumed first-token time that
    /// holds until one is observed.
    pub(super) fn new(first_token: Duration) -> Self {
        Self {
            typical: TypicalSpeed::new(first_token),
            open: BTreeMap::new(),
            ring: Vec::new(),
        }
    }

    /// Removes all replicas, but keeps their typical speed.
    pub(super) fn clear(&mut self) {
        self.open.clear();
        self.ring.clear();
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ring.is_empty()
    }

    /// Adds a replica to the ring. [`Self::sort`] must be called afterwards.
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

    /// Adds a replica to the open list; returns its index there.
    pub(super) fn open(&mut self, key: &ReplicaKey) -> usize {
        let open = self.open.entry(key.data_centre.clone()).or_default();
        open.push(key.clone());
        open.len() - 1
    }

    /// Removes a replica from the open list; returns the replica that has moved
    /// to its index, if any.
    pub(super) fn close(&mut self, key: &ReplicaKey, index: usize) -> Option<ReplicaKey> {
        let open = self.open.get_mut(&key.data_centre)?;
        open.swap_remove(index);
        open.get(index).cloned()
    }

    /// Returns the replicas in ring order, starting at a prefix's position.
    ///
    /// A replica occurs once per virtual node.
    pub(super) fn preferred(&self, prefix: u64) -> impl Iterator<Item = &ReplicaKey> {
        let start = self.ring.partition_point(|(hash, _)| *hash < prefix);
        self.ring[start..]
            .iter()
            .chain(&self.ring[..start])
            .map(|(_, key)| key)
    }
}
