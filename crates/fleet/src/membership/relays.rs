//! From whom an entry gets the changes in the store.
//!
//! Each call to the store is paid for and counts against its rate limit, so only a few
//! entries watch it. The hubs of each data centre follow one of these, and the other
//! entries follow a hub of their data centre: a change crosses each pair of data centres
//! once, and no entry serves more followers than its link can carry. Every entry that has
//! a current copy answers whoever asks, so entries need not agree on who is a hub.

use bulrushhoist_core::Time;
use smallvec::SmallVec;

use super::{HUBS, Membership, Role};
use crate::Name;

/// Entries that watch the store, in a deployment without hubs and in a larger one.
const WATCHERS: usize = 2;
const WATCHERS_WITH_HUBS: usize = 3;

/// Where an entry gets the changes in the store from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayChoice {
    /// From the store itself.
    Store,
    /// From one of these entries, the preferred one first. The list may be empty.
    Entries(SmallVec<[Name; 6]>),
}

impl Membership {
    /// Chooses where this entry gets the changes in the store from. `reaches_store` says
    /// whether the store accepts its calls.
    #[must_use]
    pub fn choose_relay(&self, now: Time, reaches_store: bool) -> RelayChoice {
        let own = self.registry.own_key();
        let watchers = self.watchers(now, reaches_store);
        if watchers.contains(&own) {
            return RelayChoice::Store;
        }
        let nearby = self.registry.in_data_centre(self.own_data_centre());
        let available = nearby.iter().filter(|k| self.is_available(now, **k));
        let hubs: SmallVec<[u32; HUBS]> = available.take(HUBS).copied().collect();
        let mut keys: SmallVec<[u32; 6]> = SmallVec::new();
        if self.role != Role::Direct && !hubs.contains(&own) {
            keys.extend(rotated(&hubs, own));
        }
        for key in rotated(&watchers, own) {
            if !keys.contains(&key) {
                keys.push(key);
            }
        }
        keys.retain(|k| *k != own);
        let names = keys.iter().filter_map(|k| self.registry.get(*k));
        RelayChoice::Entries(names.map(|e| e.name.clone()).collect())
    }

    /// Returns the entries that watch the store.
    fn watchers(&self, now: Time, reaches_store: bool) -> SmallVec<[u32; WATCHERS_WITH_HUBS]> {
        let count = match self.role {
            Role::Direct => WATCHERS,
            Role::Hub | Role::Follower => WATCHERS_WITH_HUBS,
        };
        let own = self.registry.own_key();
        // The entries of a data centre from which none is heard follow watchers of their own.
        let settled = self.is_settled(now);
        let watches = |key: u32| match self.live.get(&key) {
            _ if key == own => reaches_store,
            Some(status) => status.reaches_store,
            None => !settled && self.is_available(now, key),
        };
        let ranked = self.registry.ranked().iter().copied();
        ranked.filter(|k| watches(*k)).take(count).collect()
    }
}

/// Returns the keys from a start that depends on this entry, so that the followers of
/// several relays are spread over them.
fn rotated(keys: &[u32], own: u32) -> impl Iterator<Item = u32> {
    let start = own as usize % keys.len().max(1);
    keys.iter().cycle().skip(start).take(keys.len()).copied()
}
