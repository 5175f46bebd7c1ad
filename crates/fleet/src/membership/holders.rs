//! Which entries hold the rate of an endpoint that names one, or of a cold endpoint.
//!
//! The entries lie on a ring by the hashes of their names, and those that follow an
//! endpoint's hash hold its rate. Entries that don't know of an entry, or take one for dead,
//! then differ in one holder and not in all of them.

use bulrushhoist_core::Time;

use super::{DISCOVERY_TIME, Membership};

impl Membership {
    /// Returns how many entries, `count` at most, hold the rate of an endpoint, if this entry
    /// is one of them.
    #[must_use]
    pub fn rate_holders(&self, now: Time, endpoint: u32, count: usize) -> Option<usize> {
        let own = self.registry.own_key();
        let holders = self.registry.ring_from(endpoint);
        let holders = holders.filter(|k| self.may_be_alive(now, *k)).take(count);
        let (found, holds) = holders.fold((0, false), |(n, holds), k| (n + 1, holds || k == own));
        holds.then_some(found)
    }

    /// Returns whether an entry may send requests: it is heard, or has just registered, or no
    /// entry of its data centre is heard, so that it may be cut off from this one.
    fn may_be_alive(&self, now: Time, key: u32) -> bool {
        let is_heard = |key: &u32| self.live.contains_key(key);
        if key == self.registry.own_key() || is_heard(&key) {
            return true;
        }
        if self.registry.known_for(now, key) < DISCOVERY_TIME || !self.is_settled(now) {
            return true;
        }
        let nearby = self.registry.get(key).map(|e| &e.data_centre);
        let nearby = nearby.map_or(&[][..], |d| self.registry.in_data_centre(d));
        !nearby.iter().any(is_heard)
    }
}
