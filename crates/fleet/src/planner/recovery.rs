//! Recovers a plan that the store has lost.
//!
//! Load pattern: the store returns from a copy that lacks the latest plans, while the groups
//! that they formed go on serving. The plan of the copy must neither give them up nor draw
//! their epochs again. What the VMs report decides: a planned group whose members have moved
//! on is dropped, and a complete group that serves is planned as it is.
//! See `docs/decisions/0017-eras-of-the-store.md`.

use std::collections::BTreeMap;

use super::free::member;
use super::{VmView, Vms};
use crate::catalog::Service;
use crate::endpoint::GroupState;
use crate::plan::{GroupPlan, Plan};

/// Largest distance to the plan's epoch at which the epoch of a group counts. Another writer
/// may leave any number in a record.
const MAX_LOST_EPOCHS: u64 = 1_000_000;

/// Returns the plan with the groups of a service as its VMs report them.
#[must_use]
pub fn recover(plan: &Plan, service: &Service, views: &[VmView<'_>]) -> Plan {
    let mut next = plan.clone();
    let latest = plan.epoch.saturating_add(MAX_LOST_EPOCHS);
    let own = views.iter().filter(|v| v.endpoint.service == service.name);
    let own = own.filter(|v| v.membership().is_none_or(|m| m.epoch <= latest));
    let vms: Vms<'_> = own.map(|v| (&*v.endpoint.id, *v)).collect();
    let epochs = vms.values().filter_map(VmView::membership).map(|m| m.epoch);
    next.epoch = epochs.fold(plan.epoch, u64::max);
    next.groups
        .retain(|g| *g.service != *service.name || is_current(&vms, g));
    for group in serving_groups(service, &vms) {
        let planned = |g: &GroupPlan| g.name == group.name && g.epoch == group.epoch;
        if next.groups.iter().any(planned) {
            continue;
        }
        let taken = group.members.iter().any(|m| next.group_of(&m.id).is_some());
        if taken {
            continue;
        }
        next.remove_standby(&group.members);
        next.groups.push(group);
    }
    next
}

/// Returns whether a planned group is the latest one of its members, and some of them are in
/// it.
fn is_current(vms: &Vms<'_>, group: &GroupPlan) -> bool {
    let members = group.members.iter();
    let members: Vec<&VmView<'_>> = members.filter_map(|m| vms.get(m.id.as_str())).collect();
    let moved = |v: &&VmView<'_>| v.membership().is_some_and(|m| m.epoch > group.epoch);
    !members.iter().any(moved) && members.iter().any(|v| v.is_in(group))
}

/// Returns the groups whose leader is open and whose members are all present.
fn serving_groups(service: &Service, vms: &Vms<'_>) -> Vec<GroupPlan> {
    let mut members: BTreeMap<(&str, u64), BTreeMap<u32, &VmView<'_>>> = BTreeMap::new();
    for vm in vms.values().filter(|v| !v.is_lost()) {
        if let Some(m) = vm.membership() {
            let group = members.entry((&*m.group, m.epoch)).or_default();
            group.insert(m.rank, vm);
        }
    }
    let groups = members.into_iter();
    let groups = groups.filter_map(|((name, epoch), members)| {
        let leader = members.get(&0)?;
        let model = leader.endpoint.model.as_deref()?;
        let models = &service.engine.as_ref()?.models;
        let size = models.iter().find(|m| *m.name == *model)?.group_size;
        let ranks = members.keys().copied();
        let whole = members.len() == size && ranks.eq(0..u32::try_from(size).ok()?);
        let open = leader.membership()?.state == GroupState::Open;
        (whole && open).then(|| GroupPlan {
            name: name.to_owned(),
            service: service.name.to_string(),
            model: model.to_owned(),
            epoch,
            members: members.values().map(member).collect(),
            standby: false,
            surge: false,
        })
    });
    groups.collect()
}
