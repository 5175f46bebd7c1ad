//! How the planner sees the VMs of a service.

use std::collections::BTreeMap;

use bulrushhoist_core::Time;

use crate::endpoint::{Endpoint, EndpointPhase, GroupState, Membership};
use crate::health::{Health, HealthMonitor};
use crate::plan::GroupPlan;
use crate::roster::Roster;

/// Views by the name of the VM.
pub(crate) type Vms<'a> = BTreeMap<&'a str, VmView<'a>>;

/// A VM as the planner sees it.
#[derive(Clone, Copy, Debug)]
pub struct VmView<'a> {
    /// Its record.
    pub endpoint: &'a Endpoint,
    /// Whether it answers.
    pub health: Health,
    /// Whether its data centre is out of service.
    pub evacuated: bool,
    /// Whether the store holds its record. One that lost it gets no requests and joins
    /// no group, but may go on as a member.
    pub listed: bool,
    /// Factor by which it is slower than published.
    pub slowdown: f64,
}

impl VmView<'_> {
    pub(super) fn is_lost(&self) -> bool {
        matches!(self.health, Health::Dead | Health::Silent)
    }

    pub(super) fn is_usable(&self) -> bool {
        self.listed
            && !self.is_lost()
            && !self.evacuated
            && self.endpoint.phase == EndpointPhase::Ready
    }

    /// Returns whether it is slow enough to be worth a replacement.
    pub(super) fn is_slow(&self) -> bool {
        self.slowdown >= SLOW
    }

    pub(super) fn membership(&self) -> Option<&Membership> {
        self.endpoint.membership.as_ref()
    }

    /// Returns whether it is joining a group: weights that it had may be gone soon.
    pub(super) fn is_loading(&self) -> bool {
        self.membership()
            .is_some_and(|m| m.state == GroupState::Joining)
    }

    pub(super) fn is_in(&self, group: &GroupPlan) -> bool {
        self.membership()
            .is_some_and(|m| *m.group == *group.name && m.epoch == group.epoch)
    }

    /// Returns how far the VM is from having a model loaded; 0 is nearest.
    pub(super) fn distance_to(&self, model: &str) -> u8 {
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

    pub(super) fn has_staged(&self, model: &str) -> bool {
        self.endpoint.staged.iter().any(|m| &**m == model)
    }
}

/// Factor from which on a slow member is replaced: its whole group goes at its pace.
const SLOW: f64 = 2.5;

/// Part of the VMs that are silent at once from which on an entry takes itself for
/// cut off and none of them for lost.
const CUT_OFF_PART: f64 = 0.4;

/// Returns how the planner sees the VMs of a service.
#[must_use]
pub fn vm_views<'a>(
    now: Time,
    service: &str,
    roster: &'a Roster,
    monitor: &HealthMonitor,
) -> Vec<VmView<'a>> {
    let own = roster.iter().filter(|e| *e.service == *service);
    let unlisted = roster.unlisted(now).filter(|e| *e.service == *service);
    let all = own.map(|e| (e, true)).chain(unlisted.map(|e| (e, false)));
    let mut views: Vec<VmView<'_>> = all
        .map(|(endpoint, listed)| VmView {
            endpoint,
            health: monitor.health(now, &endpoint.id, endpoint.born),
            evacuated: roster.is_evacuated(&endpoint.data_centre),
            listed,
            slowdown: monitor.slowdown(now, &endpoint.id, endpoint.born),
        })
        .collect();
    let silent = views.iter().filter(|v| v.health == Health::Silent).count();
    if silent as f64 > views.len() as f64 * CUT_OFF_PART {
        for view in views.iter_mut().filter(|v| v.health == Health::Silent) {
            view.health = Health::Suspect;
        }
    }
    views
}
