//! Which entries are the hubs of their data centre, and who gets which message.
//!
//! Every entry ranks the registered ones alike and takes the first that nothing speaks
//! against, so a hub needs no election. Entries may disagree for a moment: whoever gets
//! a report answers it.

use std::net::SocketAddr;

use bulrushhoist_core::Time;
use smallvec::SmallVec;

use super::messages::{DigestRate, Report, entries_hash};
use super::{
    Contact, DIRECT_MISSED_REPORTS, DISCOVERY_TIME, HUB_BACKOFF, HUB_TIMEOUT, HUBS, Membership,
    REDUCED_RATE_TICKS, Recipient, Role,
};
use crate::Name;

impl Membership {
    pub(super) fn update_role(&mut self, now: Time) {
        let old = self.role;
        self.role = if self.registry.len() <= self.settings.direct_limit {
            Role::Direct
        } else if self.is_hub(now) {
            Role::Hub
        } else {
            Role::Follower
        };
        if self.role != old {
            self.role_since = now;
            self.sum_summaries();
            self.find_live(now);
        }
    }

    /// Returns whether this entry is a hub of its data centre. One that has just started
    /// uses the digests of another hub until most entries report to it.
    fn is_hub(&self, now: Time) -> bool {
        let own = self.registry.own_key();
        let ranked = self.registry.in_data_centre(self.own_data_centre());
        let mut hubs = ranked.iter().filter(|k| self.is_available(now, **k));
        if !hubs.by_ref().take(HUBS).any(|k| *k == own) {
            return false;
        }
        let Some(view) = self.best_view(now) else {
            return true;
        };
        let nearby = |key: &u32| self.is_in_own_data_centre(*key);
        let listed = view.entries.iter().filter(|e| nearby(&e.key)).count();
        let reporting = self.reports.keys().filter(|k| nearby(k)).count();
        reporting * 2 >= listed
    }

    pub(super) fn own_data_centre(&self) -> &Name {
        &self.registry.own().data_centre
    }

    fn is_in_own_data_centre(&self, key: u32) -> bool {
        let entry = self.registry.get(key);
        entry.is_some_and(|e| e.data_centre == *self.own_data_centre())
    }

    /// Returns whether an entry may be a hub or a watcher: nothing indicates that it is dead.
    pub(super) fn is_available(&self, now: Time, key: u32) -> bool {
        if self.unresponsive.contains_key(&key) {
            return false;
        }
        if key == self.registry.own_key() || self.is_heard(key) {
            return true;
        }
        let expected = self.registry.known_for(now, key) >= DISCOVERY_TIME;
        !(expected && self.sees_data_centre_of(now, key))
    }

    /// Returns whether messages of an entry arrive here or at a hub.
    pub(super) fn is_heard(&self, key: u32) -> bool {
        let direct = self.reports.contains_key(&key) || self.views.contains_key(&key);
        direct || self.live.contains_key(&key)
    }

    /// Returns whether this entry hears of the live entries in the data centre of another.
    fn sees_data_centre_of(&self, now: Time, key: u32) -> bool {
        let Some(entry) = self.registry.get(key) else {
            return false;
        };
        match self.role {
            Role::Direct => true,
            Role::Follower if self.best_view(now).is_some() => true,
            Role::Follower => entry.data_centre == *self.own_data_centre() && self.is_alone(now),
            Role::Hub if entry.data_centre == *self.own_data_centre() => {
                now.since(self.started) >= DISCOVERY_TIME * 2
            }
            Role::Hub => self.best_summary(&entry.data_centre).is_some(),
        }
    }

    /// Chooses the hubs to report to, and gives up those that return no digests.
    pub(super) fn update_contacts(&mut self, now: Time) {
        for contact in &self.contacts {
            let heard = self.views.get(&contact.key).map(|v| v.at);
            let heard = heard.unwrap_or(contact.since).max(contact.since);
            if !self.is_recent(now, heard, HUB_TIMEOUT) {
                self.unresponsive.insert(contact.key, now + HUB_BACKOFF);
            }
        }
        let own = self.registry.own_key();
        let ranked = self.registry.in_data_centre(self.own_data_centre());
        let others = || ranked.iter().copied().filter(|k| *k != own);
        let mut available: Vec<u32> = others().filter(|k| self.is_available(now, *k)).collect();
        if self.is_searching(now) {
            available.sort_by_key(|k| !self.is_heard(*k));
        }
        let mut chosen: SmallVec<[u32; HUBS]> = available.into_iter().take(HUBS).collect();
        if chosen.is_empty() {
            // Without an answer from any entry of the data centre, they are tried in turn.
            let count = others().count().max(1);
            let turn = (self.ticks / u64::from(DIRECT_MISSED_REPORTS)) as usize % count;
            chosen = others().cycle().skip(turn).take(HUBS).collect();
        }
        let old = std::mem::take(&mut self.contacts);
        let since = |key| old.iter().find(|c| c.key == key).map_or(now, |c| c.since);
        let contacts = chosen.into_iter().map(|key| Contact {
            key,
            since: since(key),
        });
        self.contacts = contacts.collect();
    }

    pub(super) fn reports_to_hubs(&self) -> Vec<Recipient> {
        let rates = [DigestRate::Full, DigestRate::Reduced];
        let contacts = self.contacts.iter().zip(rates);
        let recipient = |(contact, digests): (&Contact, DigestRate)| {
            let view = self.views.get(&contact.key);
            Some(Recipient {
                address: self.registry.get(contact.key)?.peers,
                digests,
                known_entries: view.map_or(0, |v| entries_hash(&v.entries)),
            })
        };
        contacts.filter_map(recipient).collect()
    }

    pub(super) fn due_digests(&self) -> Vec<(u32, SocketAddr)> {
        let reduced = self.ticks.is_multiple_of(REDUCED_RATE_TICKS);
        let is_due = |r: &Report| match r.digests {
            DigestRate::None => false,
            DigestRate::Reduced => reduced,
            DigestRate::Full => true,
        };
        let due = self.reports.iter().filter(|(_, r)| is_due(&r.message));
        due.filter_map(|(key, _)| Some((*key, self.registry.get(*key)?.peers)))
            .collect()
    }

    /// Returns the hubs of the other data centres. Where none is heard, the entries there
    /// are also tried in turn, because the hubs may be dead.
    pub(super) fn due_summaries(&self, now: Time) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        let own = self.own_data_centre();
        for data_centre in self.registry.data_centres().filter(|d| *d != own) {
            let ranked = self.registry.in_data_centre(data_centre);
            let available = ranked.iter().filter(|k| self.is_available(now, **k));
            let available_hubs: SmallVec<[u32; HUBS]> = available.take(HUBS).copied().collect();
            let mut hubs: SmallVec<[u32; 4]> = SmallVec::from_slice(&available_hubs);
            if self.best_summary(data_centre).is_none() {
                let candidates = self.summary_candidates(now, ranked);
                let more = candidates
                    .into_iter()
                    .filter(|k| !available_hubs.contains(k));
                hubs.extend(more);
            }
            let entries = hubs.iter().filter_map(|k| self.registry.get(*k));
            addresses.extend(entries.map(|e| e.peers));
        }
        addresses
    }
}
