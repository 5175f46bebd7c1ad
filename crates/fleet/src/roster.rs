//! The endpoints that the store names, and the data centres out of service.
//!
//! Records that lapsed while the store was away come back shortly after its
//! return, so a removal that is seen around an outage takes effect only after a
//! grace period. A removal at any other time takes effect at once.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use bulrushhoist_core::Time;

use crate::Name;
use crate::endpoint::{Endpoint, EndpointPhase};

/// Time after the store's return within which lapsed records come back.
const RETURN_GRACE: Duration = Duration::from_millis(2_200);

/// Time for which an endpoint without a record may go on as a member of its group.
const UNLISTED_KEPT: Duration = Duration::from_secs(30);

/// What a new record changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum RosterChange {
    /// The endpoint wasn't known.
    Added,
    /// Another incarnation of the endpoint.
    #[display("reborn")]
    Restarted,
    /// The same incarnation says something else.
    Updated,
    /// Nothing is new.
    Same,
}

/// What is known of every endpoint.
#[derive(Debug, Default)]
pub struct Roster {
    endpoints: HashMap<Name, Endpoint>,
    removals: HashMap<Name, Time>,
    /// Endpoints whose record was removed, and when: one that is only cut off from the
    /// store goes on as a member of its group.
    unlisted: HashMap<Name, (Endpoint, Time)>,
    evacuated: BTreeSet<Name>,
    far: BTreeSet<(Name, u64)>,
    store_lost: bool,
    store_back: Option<Time>,
}

impl Roster {
    /// Takes an endpoint's record.
    pub fn put(&mut self, endpoint: Endpoint) -> RosterChange {
        self.removals.remove(&endpoint.id);
        self.unlisted.remove(&endpoint.id);
        let id = endpoint.id.clone();
        let change = self.replace(id, endpoint);
        if change != RosterChange::Same {
            self.find_far_groups();
        }
        change
    }

    fn replace(&mut self, id: Name, endpoint: Endpoint) -> RosterChange {
        match self.endpoints.insert(id, endpoint) {
            None => RosterChange::Added,
            Some(old) => {
                let new = &self.endpoints[&old.id];
                if new.born != old.born {
                    RosterChange::Restarted
                } else if *new == old {
                    RosterChange::Same
                } else {
                    RosterChange::Updated
                }
            }
        }
    }

    /// Finds the groups whose members are in several domains.
    fn find_far_groups(&mut self) {
        let mut domains: HashMap<(&Name, u64), &Name> = HashMap::new();
        let mut far = BTreeSet::new();
        for endpoint in self.endpoints.values() {
            let Some(membership) = &endpoint.membership else {
                continue;
            };
            let group = (&membership.group, membership.epoch);
            let first = *domains.entry(group).or_insert(&endpoint.domain);
            if *first != endpoint.domain {
                far.insert((membership.group.clone(), membership.epoch));
            }
        }
        self.far = far;
    }

    /// Returns whether a head's group has members in several domains.
    #[must_use]
    pub fn spans_domains(&self, head: &Endpoint) -> bool {
        let group = head.membership.as_ref().map(|m| (m.group.clone(), m.epoch));
        group.is_some_and(|g| self.far.contains(&g))
    }

    /// Takes notice that the store holds no record of this endpoint any more.
    /// Returns whether it was dropped at once.
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
            .retain(|_, (_, since)| now.since(*since) < UNLISTED_KEPT);
        if let Some((name, endpoint)) = self.endpoints.remove_entry(id) {
            self.unlisted.insert(name, (endpoint, now));
        }
    }

    /// Takes a complete list of the endpoints' names: the others were removed.
    pub fn retain(&mut self, now: Time, listed: &BTreeSet<Name>) -> Vec<Name> {
        let missing = self.endpoints.keys().filter(|id| !listed.contains(*id));
        let missing: Vec<Name> = missing.cloned().collect();
        missing
            .into_iter()
            .filter(|id| self.remove(now, id))
            .collect()
    }

    /// Takes notice that the store doesn't answer.
    pub fn on_store_lost(&mut self) {
        self.store_lost = true;
    }

    /// Takes notice that the store answers. The first answer counts as a return:
    /// a process that has just started doesn't know what went before.
    pub fn on_store_back(&mut self, now: Time) {
        if self.store_lost || self.store_back.is_none() {
            self.store_lost = false;
            self.store_back = Some(now);
        }
    }

    /// Carries out the removals whose grace period is over.
    pub fn apply_removals(&mut self, now: Time) -> Vec<Name> {
        if self.is_incomplete(now) || self.removals.is_empty() {
            return Vec::new();
        }
        let gone: Vec<Name> = self.removals.drain().map(|(id, _)| id).collect();
        for id in &gone {
            self.unlist(now, id);
        }
        gone
    }

    /// Returns whether records may be missing that will be back.
    #[must_use]
    pub fn is_incomplete(&self, now: Time) -> bool {
        self.store_lost
            || self
                .store_back
                .is_some_and(|back| now.since(back) < RETURN_GRACE)
    }

    /// Takes the data centres that are out of service.
    pub fn set_evacuated(&mut self, data_centres: BTreeSet<Name>) {
        self.evacuated = data_centres;
    }

    /// Takes one data centre out of service or back.
    pub fn evacuate(&mut self, data_centre: Name, out: bool) {
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

    /// Returns the head of the group that an endpoint is in.
    #[must_use]
    pub fn leader_of(&self, endpoint: &Endpoint) -> Option<&Endpoint> {
        let own = endpoint.membership.as_ref()?;
        let same = |e: &&Endpoint| {
            let other = e.membership.as_ref();
            other.is_some_and(|m| m.is_leader() && m.group == own.group && m.epoch == own.epoch)
        };
        self.endpoints.values().find(same)
    }

    /// Returns whether an endpoint may get new work.
    #[must_use]
    pub fn accepts_work(&self, endpoint: &Endpoint) -> bool {
        endpoint.phase == EndpointPhase::Ready
            && !self.is_evacuated(&endpoint.data_centre)
            && !self.removals.contains_key(&endpoint.id)
    }

    /// Returns the last records of the endpoints that lost theirs a while ago.
    pub fn unlisted(&self, now: Time) -> impl Iterator<Item = &Endpoint> {
        let recent = move |since: Time| now.since(since) < UNLISTED_KEPT;
        let all = self.unlisted.values();
        all.filter(move |(_, since)| recent(*since)).map(|(e, _)| e)
    }

    /// Returns an endpoint's record, also if it was removed a while ago.
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

    /// Returns an endpoint's record, to merge a direct report into.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    /// Returns every endpoint.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Returns the endpoints of a service that may get new work.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Endpoint> {
        let all = self.endpoints.values();
        all.filter(move |e| &*e.service == service && self.accepts_work(e))
    }

    /// Returns the open heads of a model's groups that may get new work.
    pub fn leaders<'a>(
        &'a self,
        service: &'a str,
        model: &'a str,
    ) -> impl Iterator<Item = &'a Endpoint> {
        self.of_service(service).filter(move |e| {
            let open = e.membership.as_ref();
            let open = open.is_some_and(|m| m.is_leader() && m.state == crate::GroupState::Open);
            open && e.model.as_deref() == Some(model)
        })
    }
}
