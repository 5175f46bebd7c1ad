//! Endpoints that the store lists, and the data centres out of service.
//!
//! Records that expired during an outage of the store are written again shortly after
//! its return. So a removal that is seen during or just after an outage takes effect
//! only after a grace period. A removal at any other time takes effect at once.
//!
//! Records may arrive late, and a store that returns from a copy has old ones. An older
//! record says nothing, and an endpoint that has said that it leaves says so until its
//! incarnation ends. A record that was removed and is in the copy again may be that of an
//! endpoint that has left: it counts once its endpoint writes, or once it has outlived the
//! lease of an endpoint that doesn't. One that comes back at another time is mostly that of an
//! endpoint that was cut off from the store, so it only counts as less certain than others. See
//! `docs/decisions/0017-eras-of-the-store.md`.

mod index;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use bulrushhoist_core::Time;
use smallvec::SmallVec;

use crate::Name;
use crate::endpoint::{Endpoint, EndpointPhase};
use crate::membership::Departure;
use index::Index;

/// Time after the store's return within which endpoints renew expired records.
const RETURN_GRACE: Duration = Duration::from_millis(2_200);

/// Time after the store's return from a copy within which the records of ended endpoints
/// expire there.
const RESTORED_LEASE: Duration = Duration::from_secs(5);

/// Time after the removal of a record within which a write of before may bring it back, and
/// the record expires again: 6 s for the write and the lease of an endpoint that doesn't write.
const LATE_RECORD_TIME: Duration = Duration::from_secs(11);

/// Time for which an endpoint without a record may go on as a member of its group.
const UNLISTED_TTL: Duration = Duration::from_secs(30);

/// Number of leaving endpoints from which on those without a record are forgotten.
const MAX_LEAVING: usize = 1_024;

/// What a new record changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum RosterChange {
    /// The endpoint wasn't known.
    Added,
    /// The record is of another incarnation of the endpoint.
    #[display("reborn")]
    Restarted,
    /// The record of the same incarnation differs.
    Updated,
    /// The record is the same.
    Same,
    /// A newer record is known.
    Outdated,
}

/// The last known record of every endpoint.
#[derive(Debug, Default)]
pub struct Roster {
    endpoints: HashMap<Name, Endpoint>,
    /// When the removals were seen that haven't taken effect yet.
    removals: HashMap<Name, Time>,
    /// Endpoints that were removed and are in a copy again, and until when they may have left.
    doubted: HashMap<Name, Time>,
    /// Endpoints whose record was removed, and when. One that is only cut off from the
    /// store goes on as a member of its group.
    unlisted: HashMap<Name, (Endpoint, Time)>,
    /// Endpoints whose record has come back after its removal, and until when that may be a
    /// late write of one that has left.
    returned: HashMap<Name, Time>,
    evacuated: BTreeSet<Name>,
    /// Data centres that are out of service in a restored store, which take effect after the
    /// grace period.
    restored_evacuated: Option<BTreeSet<Name>>,
    /// Newest incarnation of each endpoint that has said that it leaves.
    leaving: HashMap<Name, u64>,
    index: Index,
    store_lost: bool,
    /// When the store last answered again after an outage or after the start.
    store_back: Option<Time>,
}

impl Roster {
    /// Adds an endpoint's record of the copy from which the store has returned.
    pub fn put_restored(&mut self, now: Time, endpoint: Endpoint) -> RosterChange {
        let id = endpoint.id.clone();
        let removed = self.unlisted.contains_key(&id) || self.removals.contains_key(&id);
        let known = self.get_or_unlisted(&id);
        let known = known.filter(|k| removed && k.incarnation == endpoint.incarnation);
        let Some(known) = known.cloned() else {
            return self.put(endpoint);
        };
        let latest = match endpoint.is_older_than(&known) {
            true => known,
            false => endpoint,
        };
        let change = self.put(latest);
        self.doubted.insert(id, now + RESTORED_LEASE);
        change
    }

    /// Adds or replaces an endpoint's record, unless a newer one is known.
    pub fn put(&mut self, mut endpoint: Endpoint) -> RosterChange {
        if let Some(known) = self.get_or_unlisted(&endpoint.id) {
            if endpoint.is_older_than(known) {
                return RosterChange::Outdated;
            }
            if known.is_older_than(&endpoint) {
                self.doubted.remove(&endpoint.id);
                self.returned.remove(&endpoint.id);
            }
        }
        let removed = self.unlisted.get(&endpoint.id);
        if let Some((_, since)) = removed.filter(|(e, _)| e.incarnation == endpoint.incarnation) {
            let until = *since + LATE_RECORD_TIME;
            self.returned.insert(endpoint.id.clone(), until);
        }
        if self.is_leaving(&endpoint.id, endpoint.incarnation) {
            endpoint.phase = EndpointPhase::Draining;
        }
        self.removals.remove(&endpoint.id);
        self.unlisted.remove(&endpoint.id);
        if let Some(old) = self.endpoints.get(&endpoint.id) {
            self.index.remove(old);
        }
        self.index.insert(&endpoint);
        let id = endpoint.id.clone();
        let Some(old) = self.endpoints.insert(id, endpoint) else {
            return RosterChange::Added;
        };
        let new = &self.endpoints[&old.id];
        if new.incarnation != old.incarnation {
            RosterChange::Restarted
        } else if new.says_same(&old) {
            RosterChange::Same
        } else {
            RosterChange::Updated
        }
    }

    /// Returns the records of the endpoint runs that have ended if `new` runs: earlier ones of
    /// the same endpoint, and others at its address.
    #[must_use]
    pub fn ended_by(&self, new: &Endpoint) -> SmallVec<[Endpoint; 1]> {
        let known = self.endpoints.get(&new.id);
        if known.is_some_and(|e| e.incarnation >= new.incarnation) {
            return SmallVec::new();
        }
        let here = self.index.by_address.get(&new.address);
        let here = here.into_iter().flatten().filter(|id| **id != new.id);
        let listed = here.filter_map(|id| self.endpoints.get(id)).chain(known);
        let unlisted = self.unlisted.values().map(|(e, _)| e);
        let unlisted = unlisted.filter(|old| old.id == new.id || old.address == new.address);
        let ended = listed.chain(unlisted);
        let ended = ended.filter(|old| old.incarnation < new.incarnation);
        ended.cloned().collect()
    }

    /// Records that an incarnation of an endpoint has said that it leaves. Its records can't
    /// bring it back, because they may be older; a later incarnation starts anew. Returns
    /// whether that is news, which it is also if only its record has said so.
    pub fn set_leaving(&mut self, id: &Name, incarnation: u64) -> bool {
        let known = self.leaving.get(id);
        if known.is_some_and(|i| incarnation <= *i) {
            return false;
        }
        if self.leaving.len() >= MAX_LEAVING {
            self.leaving.retain(|id, _| self.endpoints.contains_key(id));
        }
        self.leaving.insert(id.clone(), incarnation);
        if let Some(endpoint) = self.endpoints.get_mut(id)
            && endpoint.incarnation <= incarnation
        {
            endpoint.phase = EndpointPhase::Draining;
        }
        true
    }

    /// Returns whether an incarnation of an endpoint has said that it leaves, in its record or
    /// in an answer.
    #[must_use]
    pub fn is_leaving(&self, id: &str, incarnation: u64) -> bool {
        let known = self.get_or_unlisted(id);
        let known = known.filter(|e| e.phase == EndpointPhase::Draining);
        let announced = known.map(|e| e.incarnation);
        let noticed = self.leaving.get(id).copied();
        announced.max(noticed).is_some_and(|i| incarnation <= i)
    }

    /// Returns the incarnations of endpoints that are known to leave.
    pub fn departures(&self, now: Time) -> impl Iterator<Item = Departure> {
        let listed = self.endpoints.values().chain(self.unlisted(now));
        let announced = listed.filter(|e| e.phase == EndpointPhase::Draining);
        let announced = announced.map(|e| (&e.id, e.incarnation));
        let noticed = self.leaving.iter().map(|(id, i)| (id, *i));
        let unlisted = noticed.filter(|(id, _)| self.get_or_unlisted(id).is_none());
        let all = announced.chain(unlisted);
        all.map(|(endpoint, incarnation)| Departure {
            endpoint: endpoint.clone(),
            incarnation,
        })
    }

    /// Returns whether a leader's group has members in several fabric domains.
    #[must_use]
    pub fn spans_domains(&self, leader: &Endpoint) -> bool {
        let Some(membership) = &leader.membership else {
            return false;
        };
        let group = (membership.group.clone(), membership.epoch);
        let domains = self.index.domains.get(&group);
        domains.is_some_and(|domains| domains.len() > 1)
    }

    /// Handles the removal of an endpoint's record from the store. Returns whether it
    /// took effect at once.
    pub fn remove(&mut self, now: Time, id: &str) -> bool {
        let Some((name, _)) = self.endpoints.get_key_value(id) else {
            return false;
        };
        if self.is_incomplete(now) {
            self.removals.entry(name.clone()).or_insert(now);
            return false;
        }
        self.unlist(now, id);
        true
    }

    fn unlist(&mut self, now: Time, id: &str) {
        self.unlisted
            .retain(|_, (_, since)| now.since(*since) < UNLISTED_TTL);
        self.doubted.remove(id);
        if let Some((name, endpoint)) = self.endpoints.remove_entry(id) {
            self.index.remove(&endpoint);
            self.unlisted.insert(name, (endpoint, now));
        }
    }

    /// Handles a complete list of the endpoints in the store: the others were removed.
    /// Returns those whose removal took effect at once.
    pub fn retain(&mut self, now: Time, listed: &BTreeSet<Name>) -> Vec<Name> {
        let missing = self.endpoints.keys().filter(|id| !listed.contains(*id));
        let missing: Vec<Name> = missing.cloned().collect();
        missing
            .into_iter()
            .filter(|id| self.remove(now, id))
            .collect()
    }

    /// Records that the store doesn't answer.
    pub fn on_store_lost(&mut self) {
        self.store_lost = true;
    }

    /// Records that the store answers. The first answer after the start counts as the
    /// end of an outage, because a new process doesn't know whether there was one.
    pub fn on_store_back(&mut self, now: Time) {
        if self.store_lost || self.store_back.is_none() {
            self.store_lost = false;
            self.store_back = Some(now);
        }
    }

    /// Records that the store has returned from a copy. Its records are as incomplete as
    /// after an outage, also if no call has failed.
    pub fn on_store_restored(&mut self, now: Time) {
        self.store_lost = false;
        self.store_back = Some(now);
    }

    /// Applies the delayed removals once the grace period is over. Returns the removed
    /// endpoints.
    pub fn apply_removals(&mut self, now: Time) -> Vec<Name> {
        self.doubted.retain(|_, until| now < *until);
        self.returned.retain(|_, until| now < *until);
        if self.is_incomplete(now) || self.removals.is_empty() {
            return Vec::new();
        }
        let gone: Vec<Name> = self.removals.drain().map(|(id, _)| id).collect();
        for id in &gone {
            self.unlist(now, id);
        }
        gone
    }

    /// Returns whether the store may lack records that endpoints are about to renew.
    #[must_use]
    pub fn is_incomplete(&self, now: Time) -> bool {
        self.store_lost
            || self
                .store_back
                .is_some_and(|back| now.since(back) < RETURN_GRACE)
    }

    /// Sets the data centres that are out of service.
    pub fn set_evacuated(&mut self, data_centres: BTreeSet<Name>) {
        self.restored_evacuated = None;
        self.evacuated = data_centres;
    }

    /// Records which data centres are out of service in a store that has returned from a
    /// copy. The operators write again what they have changed since the copy.
    pub fn restore_evacuated(&mut self, now: Time, data_centres: BTreeSet<Name>) {
        self.on_store_restored(now);
        self.restored_evacuated = Some(data_centres);
    }

    /// Returns the data centres whose service differs from what the restored store has, once
    /// the grace period is over, with whether they are out of service there.
    pub fn settle_evacuated(&mut self, now: Time) -> SmallVec<[(Name, bool); 2]> {
        if self.is_incomplete(now) {
            return SmallVec::new();
        }
        let Some(stored) = self.restored_evacuated.take() else {
            return SmallVec::new();
        };
        let changed = self.evacuated.symmetric_difference(&stored);
        changed
            .map(|name| (name.clone(), stored.contains(name)))
            .collect()
    }

    /// Takes one data centre out of service, or back into service if `out` is false.
    pub fn evacuate(&mut self, data_centre: Name, out: bool) {
        if let Some(stored) = &mut self.restored_evacuated {
            match out {
                true => stored.insert(data_centre.clone()),
                false => stored.remove(&data_centre),
            };
        }
        if out {
            self.evacuated.insert(data_centre);
        } else {
            self.evacuated.remove(&data_centre);
        }
    }

    /// Returns whether a data centre is out of service.
    #[must_use]
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Returns the leader of an endpoint's group.
    #[must_use]
    pub fn leader_of(&self, endpoint: &Endpoint) -> Option<&Endpoint> {
        let own = endpoint.membership.as_ref()?;
        let is_leader = |e: &&Endpoint| {
            let other = e.membership.as_ref();
            other.is_some_and(|m| m.is_leader() && m.group == own.group && m.epoch == own.epoch)
        };
        self.endpoints.values().find(is_leader)
    }

    /// Returns whether an endpoint may get new work.
    #[must_use]
    pub fn accepts_work(&self, endpoint: &Endpoint) -> bool {
        endpoint.phase == EndpointPhase::Ready
            && !self.is_evacuated(&endpoint.data_centre)
            && !self.removals.contains_key(&endpoint.id)
            && !self.is_doubted(&endpoint.id)
    }

    /// Returns whether an endpoint may have left although the store has its record.
    #[must_use]
    pub fn is_doubted(&self, id: &str) -> bool {
        self.doubted.contains_key(id)
    }

    /// Returns whether an endpoint's record has come back after its removal and may be a late
    /// write. Most such endpoints only lost the store for a while, so they may get work.
    #[must_use]
    pub fn has_returned(&self, id: &str) -> bool {
        self.returned.contains_key(id)
    }

    /// Returns the last records of the endpoints whose record was removed recently.
    pub fn unlisted(&self, now: Time) -> impl Iterator<Item = &Endpoint> {
        let recent = move |since: Time| now.since(since) < UNLISTED_TTL;
        let all = self.unlisted.values();
        all.filter(move |(_, since)| recent(*since)).map(|(e, _)| e)
    }

    /// Returns an endpoint's record, or the last one if it was removed and is still kept.
    #[must_use]
    pub fn get_or_unlisted(&self, id: &str) -> Option<&Endpoint> {
        let unlisted = || self.unlisted.get(id).map(|(e, _)| e);
        self.endpoints.get(id).or_else(unlisted)
    }

    /// Returns an endpoint's record.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Returns every listed endpoint.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Returns the endpoints of a service that may get new work.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Endpoint> {
        let ids = self.index.by_service.get(service);
        self.accepting(ids.into_iter().flatten())
    }

    /// Returns the leaders of a model's open groups that may get new work.
    pub fn leaders(&self, service: &str, model: &str) -> impl Iterator<Item = &Endpoint> {
        let ids = self.index.leaders.get(service).and_then(|m| m.get(model));
        self.accepting(ids.into_iter().flatten())
    }

    fn accepting<'a>(
        &'a self,
        ids: impl Iterator<Item = &'a Name>,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let all = ids.filter_map(|id| self.endpoints.get(id));
        all.filter(|e| self.accepts_work(e))
    }
}
