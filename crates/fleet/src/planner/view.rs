//! The planner's view of the VMs of a service.

use std::collections::BTreeMap;

use bulrushhoist_core::Time;

use crate::endpoint::{Endpoint, EndpointPhase, GroupMembership, GroupState};
use crate::health::{Health, HealthMonitor};
use crate::plan::GroupPlan;
use crate::roster::Roster;

/// Views by the name of the VM.
pub(crate) type Vms<'a> = BTreeMap<&'a str, VmView<'a>>;

/// What the planner knows of a VM.
#[derive(Clone, Copy, Debug)]
pub struct VmView<'a> {
    /// Its record.
    pub endpoint: &'a Endpoint,
    /// Health of this incarnation.
    pub health: Health,
    /// Whether its data centre is out of service.
    pub evacuated: bool,
    /// Whether the store has its record. A VM without one gets no requests and joins no
    /// group, but may stay a member of its group.
    pub listed: bool,
    /// Factor by which it is slower than published.
    pub slowdown: f64,
}

impl VmView<'_> {
    /// Returns whether it counts as lost: it is dead or doesn't answer.
    pub(super) fn is_lost(&self) -> bool {
        matches!(self.health, Health::Dead | Health::Silent)
    }

    /// Returns whether it may be a member of a new group.
    pub(super) fn is_usable(&self) -> bool {
        self.listed
            && !self.is_lost()
            && !self.evacuated
            && self.endpoint.phase == EndpointPhase::Ready
    }

    /// Returns whether it is so slow that it should be replaced.
    pub(super) fn is_slow(&self) -> bool {
        self.slowdown >= MIN_SLOW_FACTOR
    }

    pub(super) fn membership(&self) -> Option<&GroupMembership> {
        self.endpoint.membership.as_ref()
    }

    /// Returns whether it is joining a group. Weights that it had before may be replaced
    /// soon.
    pub(super) fn is_loading(&self) -> bool {
        self.membership()
            .is_some_and(|m| m.state == GroupState::Joining)
    }

    pub(super) fn is_in(&self, group: &GroupPlan) -> bool {
        self.membership()
            .is_some_and(|m| *m.group == *group.name && m.epoch == group.epoch)
    }

    /// Returns how far the VM is from having a model loaded: 0 if it has it loaded, 1 if its
    /// host has the weights, 2 if its host has no weights, 3 if it has only those of other
    /// models.
    pub(super) fn load_rank(&self, model: &str) -> u8 {
        if self.endpoint.model.as_deref() == Some(model) {
            0
        } else if self.has_staged(model) {
            1
        } else if self.endpoint.staged.is_empty() {
            2
        } else {
            3
        }
    }

    /// Returns whether its host has the weights of a model.
    pub(super) fn has_staged(&self, model: &str) -> bool {
        self.endpoint.staged.iter().any(|m| &**m == model)
    }
}

/// Slowdown from which a member is replaced, because it slows its whole group down.
const MIN_SLOW_FACTOR: f64 = 2.5;

/// Fraction of silent VMs above which an entry assumes that it is cut off itself, and takes
/// none of them for lost.
const CUT_OFF_FRACTION: f64 = 0.4;

/// Returns the planner's views of the VMs of a service.
#[must_use]
pub fn vm_views<'a>(
    now: Time,
    service: &str,
    roster: &'a Roster,
    monitor: &HealthMonitor,
) -> Vec<VmView<'a>> {
    let own = roster.iter().filter(|e| *e.service == *service);
    let unlisted = roster.unlisted(now).filter(|e| *e.service == *service);
    let own = own.map(|e| (e, !roster.is_doubted(&e.id)));
    let all = own.chain(unlisted.map(|e| (e, false)));
    let mut views: Vec<VmView<'_>> = all
        .map(|(endpoint, listed)| VmView {
            endpoint,
            health: monitor.health(now, &endpoint.id, endpoint.incarnation),
            evacuated: roster.is_evacuated(&endpoint.data_centre),
            listed,
            slowdown: monitor.slowdown(now, &endpoint.id, endpoint.incarnation),
        })
        .collect();
    let silent = views.iter().filter(|v| v.health == Health::Silent).count();
    if silent as f64 > views.len() as f64 * CUT_OFF_FRACTION {
        for view in views.iter_mut().filter(|v| v.health == Health::Silent) {
            view.health = Health::Suspect;
        }
    }
    views
}
