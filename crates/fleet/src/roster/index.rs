//! What requests look up in the roster.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use smallvec::SmallVec;

use crate::Name;
use crate::endpoint::{Endpoint, GroupState};

/// Number of members by fabric domain.
type DomainCounts = SmallVec<[(Name, usize); 2]>;

/// What requests look up, changed with each record: a decision must not cost a pass over
/// all endpoints.
#[derive(Debug, Default)]
pub(super) struct Index {
    pub(super) by_service: HashMap<Name, HashSet<Name>>,
    pub(super) by_address: HashMap<SocketAddr, SmallVec<[Name; 1]>>,
    /// Leaders of open groups by service and model.
    pub(super) leaders: HashMap<Name, HashMap<Name, HashSet<Name>>>,
    /// Number of members by group, with its epoch, and fabric domain.
    pub(super) domains: HashMap<(Name, u64), DomainCounts>,
}

impl Index {
    pub(super) fn insert(&mut self, endpoint: &Endpoint) {
        let service = self.by_service.entry(endpoint.service.clone());
        service.or_default().insert(endpoint.id.clone());
        let address = self.by_address.entry(endpoint.address).or_default();
        address.push(endpoint.id.clone());
        if let Some(model) = led_model(endpoint) {
            let service = self.leaders.entry(endpoint.service.clone()).or_default();
            let leaders = service.entry(model.clone()).or_default();
            leaders.insert(endpoint.id.clone());
        }
        let Some(membership) = &endpoint.membership else {
            return;
        };
        let group = (membership.group.clone(), membership.epoch);
        let domains = self.domains.entry(group).or_default();
        match domains.iter_mut().find(|(d, _)| *d == endpoint.domain) {
            Some((_, count)) => *count += 1,
            None => domains.push((endpoint.domain.clone(), 1)),
        }
    }

    pub(super) fn remove(&mut self, endpoint: &Endpoint) {
        if let Some(service) = self.by_service.get_mut(&endpoint.service) {
            service.remove(&endpoint.id);
        }
        if let Some(address) = self.by_address.get_mut(&endpoint.address) {
            address.retain(|id| *id != endpoint.id);
            if address.is_empty() {
                self.by_address.remove(&endpoint.address);
            }
        }
        if let Some(model) = led_model(endpoint)
            && let Some(service) = self.leaders.get_mut(&endpoint.service)
            && let Some(leaders) = service.get_mut(model)
        {
            leaders.remove(&endpoint.id);
        }
        let Some(membership) = &endpoint.membership else {
            return;
        };
        let group = (membership.group.clone(), membership.epoch);
        let Some(domains) = self.domains.get_mut(&group) else {
            return;
        };
        for (domain, count) in domains.iter_mut() {
            if *domain == endpoint.domain {
                *count -= 1;
            }
        }
        domains.retain(|(_, count)| *count > 0);
        if domains.is_empty() {
            self.domains.remove(&group);
        }
    }
}

/// Returns the model whose requests an endpoint accepts as the leader of an open group.
fn led_model(endpoint: &Endpoint) -> Option<&Name> {
    let membership = endpoint.membership.as_ref()?;
    let open = membership.is_leader() && membership.state == GroupState::Open;
    endpoint.model.as_ref().filter(|_| open)
}
