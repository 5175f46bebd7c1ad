//! The VMs that the planner may still assign, indexed by fabric domain.
//!
//! Formation, repair, consolidation and standby all draw from these, so the index and
//! the small helpers that they share are below them. Building it costs one pass over the
//! VMs and the plan's members; a plan of hundreds of groups is formed from one index.

use std::collections::{BTreeMap, HashSet};

use super::{VmView, Vms};
use crate::catalog::Model;
use crate::plan::{GroupPlan, MemberPlan, Plan};

/// The usable VMs that are in no group, or only on standby.
pub(super) struct FreeVms<'a, 'v> {
    by_domain: BTreeMap<&'a str, Vec<&'a VmView<'v>>>,
}

impl<'a, 'v> FreeVms<'a, 'v> {
    /// Finds the VMs that a plan leaves free, those of each domain by name.
    pub(super) fn find(vms: &'a Vms<'v>, plan: &Plan) -> Self {
        let taken = member_ids(plan.groups.iter().filter(|g| !g.standby));
        let mut by_domain: BTreeMap<&str, Vec<&VmView<'_>>> = BTreeMap::new();
        for vm in vms.values() {
            if vm.is_usable() && !taken.contains(&*vm.endpoint.id) {
                by_domain.entry(&vm.endpoint.domain).or_default().push(vm);
            }
        }
        Self { by_domain }
    }

    /// Returns every free VM, domain by domain.
    pub(super) fn iter(&self) -> impl Iterator<Item = &'a VmView<'v>> {
        self.by_domain.values().flatten().copied()
    }

    /// Returns the free VMs of each domain that has any.
    pub(super) fn domains(&self) -> impl Iterator<Item = (&'a str, &[&'a VmView<'v>])> {
        self.by_domain.iter().map(|(d, vms)| (*d, vms.as_slice()))
    }

    /// Returns the free VMs of a domain.
    pub(super) fn in_domain(&self, domain: &str) -> &[&'a VmView<'v>] {
        self.by_domain.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Removes VMs that became members of a group.
    pub(super) fn take(&mut self, vms: &Vms<'_>, members: &[MemberPlan]) {
        for member in members {
            let Some(vm) = vms.get(member.id.as_str()) else {
                continue;
            };
            if let Some(free) = self.by_domain.get_mut(&*vm.endpoint.domain) {
                free.retain(|v| *v.endpoint.id != *member.id);
            }
        }
    }
}

/// Returns the names of all members of these groups.
pub(super) fn member_ids<'p>(groups: impl Iterator<Item = &'p GroupPlan>) -> HashSet<&'p str> {
    let members = groups.flat_map(|g| &g.members);
    members.map(|m| m.id.as_str()).collect()
}

/// Returns a VM as a member of a planned group.
pub(super) fn member(vm: &&VmView<'_>) -> MemberPlan {
    MemberPlan {
        id: vm.endpoint.id.to_string(),
        incarnation: vm.endpoint.incarnation,
    }
}

/// Returns the number of a model's wanted groups that are missing. Groups in data
/// centres that are out of service count as missing.
pub(super) fn missing_groups(model: &Model, vms: &Vms<'_>, plan: &Plan) -> usize {
    wanted_groups(model, plan).saturating_sub(present_groups(model, vms, plan))
}

/// Returns the number of a model's groups that count as wanted ones and are in service.
pub(super) fn present_groups(model: &Model, vms: &Vms<'_>, plan: &Plan) -> usize {
    let in_service = |g: &&GroupPlan| {
        let mut members = g.members.iter().filter_map(|m| vms.get(m.id.as_str()));
        g.is_wanted() && *g.model == *model.name && members.all(|v| !v.evacuated)
    };
    plan.groups.iter().filter(in_service).count()
}

/// Returns the number of groups that a model should have.
pub(super) fn wanted_groups(model: &Model, plan: &Plan) -> usize {
    plan.wanted.get(&*model.name).copied().unwrap_or_default()
}
