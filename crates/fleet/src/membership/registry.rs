//! The entries that the store lists, alive or not, in the order of their ranks.
//!
//! Every entry computes the same ranks from the same records, so entries agree on hubs
//! and relays without messages about them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::Time;

use crate::{Name, name_key};

/// What the store says of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryInfo {
    /// Name of its VM.
    pub name: Name,
    /// Data centre of its VM.
    pub data_centre: Name,
    /// Address for messages between entries.
    pub peers: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Processor time that it may use, in thousandths of a core.
    pub cpu_milli: u32,
}

impl EntryInfo {
    /// Returns the short hash of its name.
    #[must_use]
    pub fn key(&self) -> u32 {
        name_key(&self.name)
    }

    /// Returns whether this entry plans rather than another that is as suitable.
    pub(super) fn plans_before(&self, other: &Self) -> bool {
        (Reverse(self.cpu_milli), &self.name) < (Reverse(other.cpu_milli), &other.name)
    }
}

/// Returns where a key belongs on the ring. Keys are hashes of names, but of similar ones.
fn ring_hash(key: u32) -> u32 {
    // The last step of MurmurHash3, which spreads every bit of the key.
    let mut hash = key;
    hash = (hash ^ (hash >> 16)).wrapping_mul(0x85eb_ca6b);
    hash = (hash ^ (hash >> 13)).wrapping_mul(0xc2b2_ae35);
    hash ^ (hash >> 16)
}

/// The registered entries, including this one.
#[derive(Debug)]
pub(super) struct Registry {
    own_key: u32,
    entries: HashMap<u32, (EntryInfo, Time)>,
    /// Keys by data centre, those with the most processor time first: they have the
    /// fastest network links, too.
    by_data_centre: BTreeMap<Name, Vec<u32>>,
    /// All keys in the same order, such that entries in a row are in different data centres.
    ranked: Vec<u32>,
    /// Hashes of all keys with the keys, in the order of the hashes.
    ring: Vec<(u32, u32)>,
    is_outdated: bool,
}

impl Registry {
    pub(super) fn new(own: EntryInfo, now: Time) -> Self {
        let own_key = own.key();
        let mut registry = Self {
            own_key,
            entries: HashMap::from([(own_key, (own, now))]),
            by_data_centre: BTreeMap::new(),
            ranked: Vec::new(),
            ring: Vec::new(),
            is_outdated: true,
        };
        registry.refresh();
        registry
    }

    pub(super) fn insert(&mut self, now: Time, entry: EntryInfo) {
        let key = entry.key();
        if key == self.own_key || self.get(key) == Some(&entry) {
            return;
        }
        self.entries.insert(key, (entry, now));
        self.is_outdated = true;
    }

    pub(super) fn remove(&mut self, name: &str) {
        let key = name_key(name);
        if key != self.own_key && self.entries.remove(&key).is_some() {
            self.is_outdated = true;
        }
    }

    /// Computes the ranks anew if entries were added or removed.
    pub(super) fn refresh(&mut self) {
        if !std::mem::take(&mut self.is_outdated) {
            return;
        }
        self.by_data_centre.clear();
        for (key, (entry, _)) in &self.entries {
            let nearby = self.by_data_centre.entry(entry.data_centre.clone());
            nearby.or_default().push(*key);
        }
        let mut places = Vec::with_capacity(self.entries.len());
        for keys in self.by_data_centre.values_mut() {
            keys.sort_unstable_by_key(|k| (Reverse(self.entries[k].0.cpu_milli), *k));
            places.extend(keys.iter().enumerate().map(|(place, k)| (*k, place)));
        }
        places
            .sort_unstable_by_key(|(k, place)| (Reverse(self.entries[k].0.cpu_milli), *place, *k));
        self.ranked = places.into_iter().map(|(key, _)| key).collect();
        let ring = self.entries.keys().map(|key| (ring_hash(*key), *key));
        self.ring = ring.collect();
        self.ring.sort_unstable();
    }

    /// Returns all keys in the order of the ring, from where the hash of `key` belongs.
    pub(super) fn ring_from(&self, key: u32) -> impl Iterator<Item = u32> {
        let start = self
            .ring
            .partition_point(|(hash, _)| *hash < ring_hash(key));
        let (before, after) = self.ring.split_at(start);
        after.iter().chain(before).map(|(_, key)| *key)
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) const fn own_key(&self) -> u32 {
        self.own_key
    }

    pub(super) fn own(&self) -> &EntryInfo {
        &self.entries[&self.own_key].0
    }

    pub(super) fn get(&self, key: u32) -> Option<&EntryInfo> {
        self.entries.get(&key).map(|(entry, _)| entry)
    }

    /// Returns how long an entry has been registered as far as this one knows.
    pub(super) fn known_for(&self, now: Time, key: u32) -> Duration {
        let known = self.entries.get(&key);
        known.map_or(Duration::ZERO, |(_, since)| now.since(*since))
    }

    pub(super) fn others(&self) -> impl Iterator<Item = &EntryInfo> {
        let all = self.entries.iter().filter(|(k, _)| **k != self.own_key);
        all.map(|(_, (entry, _))| entry)
    }

    pub(super) fn data_centres(&self) -> impl Iterator<Item = &Name> {
        self.by_data_centre.keys()
    }

    pub(super) fn in_data_centre(&self, data_centre: &str) -> &[u32] {
        self.by_data_centre
            .get(data_centre)
            .map_or(&[], Vec::as_slice)
    }

    pub(super) fn ranked(&self) -> &[u32] {
        &self.ranked
    }
}
