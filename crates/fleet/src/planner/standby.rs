//! Decides which models spare VMs keep loaded on standby.

use std::collections::BTreeMap;

use super::consolidate::Consolidation;
use super::free::{FreeVms, member, member_ids, missing_groups};
use super::surge::SpareTargets;
use super::{Eligibility, VmView, Vms};
use crate::catalog::{Engine, Model};
use crate::endpoint::{Endpoint, GroupMembership};
use crate::plan::{GroupPlan, MemberPlan, Plan};

/// Which weights spares load in advance for surge groups.
pub(super) struct Preload {
    pub(super) targets: SpareTargets,
    /// Whether callers have sent requests. Before that, a target decides over the weights
    /// that a host has, because loads are short.
    pub(super) eligibility: Eligibility,
}

/// Assigns a model to every spare VM, to be kept loaded.
///
/// It is one that a group needs in this domain, else the one whose weights are on the
/// VM's host, else one that a surge group needs there, else the one with the most members
/// per spare in the domain. While groups
/// can be consolidated, the needs of groups are left out.
pub(super) fn assign_standby(
    engine: &Engine,
    service: &str,
    vms: &Vms<'_>,
    plan: &mut Plan,
    consolidation: Consolidation,
    preload: &Preload,
) {
    let usable = |m: &MemberPlan| {
        let vm = vms.get(m.id.as_str());
        vm.is_some_and(|v| v.is_usable() && v.endpoint.incarnation == m.incarnation)
    };
    let own = |g: &GroupPlan| g.standby && g.service == service;
    plan.groups
        .retain(|g| !own(g) || g.members.iter().all(usable));
    let needs = SpareNeeds::find(engine, service, vms, plan, consolidation);
    release_unneeded(engine, service, vms, plan, &needs);
    let mut counts = ModelCounts::count(service, vms, plan);
    for vm in idle_vms(vms, plan) {
        let domain = &*vm.endpoint.domain;
        let need = |m: &&Model| {
            let spares = counts.spares(domain, &m.name);
            let below_target = spares < preload.targets.of(domain, &m.name);
            let first = preload.eligibility == Eligibility::Any && below_target;
            (
                needs.unmet(&counts, domain, &m.name),
                first,
                vm.has_staged(&m.name),
                below_target,
                counts.members_per_spare(domain, &m.name),
            )
        };
        let Some(model) = engine.models.iter().max_by_key(need) else {
            return;
        };
        counts.add_spare(domain, &model.name);
        let epoch = plan.next_epoch();
        plan.groups.push(GroupPlan {
            name: group_name(service, epoch),
            service: service.to_owned(),
            model: model.name.to_string(),
            epoch,
            members: vec![member(&vm)],
            standby: true,
            surge: false,
        });
    }
}

/// Returns the usable VMs that are in no group, not even on standby.
fn idle_vms<'a, 'v>(vms: &'a Vms<'v>, plan: &Plan) -> Vec<&'a VmView<'v>> {
    let assigned = member_ids(plan.groups.iter());
    let is_idle = |v: &&VmView<'_>| v.is_usable() && !assigned.contains(&*v.endpoint.id);
    vms.values().filter(is_idle).collect()
}

/// Removes standby groups whose VM another model needs more in its domain. The load takes
/// long, but without it the weights would never be loaded there.
fn release_unneeded(
    engine: &Engine,
    service: &str,
    vms: &Vms<'_>,
    plan: &mut Plan,
    needs: &SpareNeeds,
) {
    if needs.0.is_empty() {
        return;
    }
    loop {
        let counts = ModelCounts::count(service, vms, plan);
        let mut idle: BTreeMap<&str, usize> = BTreeMap::new();
        for vm in idle_vms(vms, plan) {
            *idle.entry(&vm.endpoint.domain).or_default() += 1;
        }
        let is_dispensable = |g: &GroupPlan| {
            let vm = vms.get(g.members[0].id.as_str());
            let domain = vm.map(|v| &*v.endpoint.domain).unwrap_or_default();
            let others = engine.models.iter().filter(|m| *m.name != *g.model);
            let unmet = others.map(|m| needs.unmet(&counts, domain, &m.name)).max();
            g.standby
                && g.service == service
                && unmet.unwrap_or(0) > idle.get(domain).copied().unwrap_or(0)
                && counts.spares(domain, &g.model) > needs.of(domain, &g.model)
        };
        let Some(index) = plan.groups.iter().position(is_dispensable) else {
            return;
        };
        plan.groups.remove(index);
    }
}

/// Numbers of spares, by domain and model, that are needed before a group can be in a
/// single domain.
#[derive(Default)]
struct SpareNeeds(BTreeMap<(String, String), usize>);

impl SpareNeeds {
    /// Finds what cross-domain groups lack in the domain with the most of their members,
    /// and what missing groups need.
    fn find(
        engine: &Engine,
        service: &str,
        vms: &Vms<'_>,
        plan: &Plan,
        consolidation: Consolidation,
    ) -> Self {
        let mut needs = Self::default();
        if consolidation == Consolidation::Possible {
            return needs;
        }
        let own = plan
            .groups
            .iter()
            .filter(|g| g.is_wanted() && g.service == service);
        for group in own {
            let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
            for member in &group.members {
                if let Some(vm) = vms.get(member.id.as_str()) {
                    *counts.entry(&vm.endpoint.domain).or_default() += 1;
                }
            }
            let largest = counts.iter().max_by_key(|(_, count)| **count);
            if let Some((domain, count)) = largest.filter(|_| counts.len() > 1) {
                needs.add(domain, &group.model, group.members.len() - count);
            }
        }
        for model in &engine.models {
            let missing = missing_groups(model, vms, plan);
            for domain in largest_domains(vms, plan, model.group_size, missing) {
                needs.add(domain, &model.name, model.group_size);
            }
        }
        needs
    }

    fn add(&mut self, domain: &str, model: &str, count: usize) {
        *self
            .0
            .entry((domain.to_owned(), model.to_owned()))
            .or_default() += count;
    }

    fn of(&self, domain: &str, model: &str) -> usize {
        let key = (domain.to_owned(), model.to_owned());
        self.0.get(&key).copied().unwrap_or(0)
    }

    /// Returns how many spares of a model are missing in a domain.
    fn unmet(&self, counts: &ModelCounts, domain: &str, model: &str) -> usize {
        let spares = counts.spares(domain, model);
        self.of(domain, model).saturating_sub(spares)
    }
}

/// Returns the domains that have enough spares, of any model, for a complete group, the
/// ones with the most first. There are at most `limit`.
fn largest_domains<'v>(vms: &Vms<'v>, plan: &Plan, size: usize, limit: usize) -> Vec<&'v str> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for vm in FreeVms::find(vms, plan).iter() {
        *counts.entry(&vm.endpoint.domain).or_default() += 1;
    }
    let mut domains: Vec<(usize, &str)> = counts.into_iter().map(|(d, n)| (n, d)).collect();
    domains.retain(|(count, _)| *count >= size);
    domains.sort_unstable_by(|a, b| b.cmp(a));
    domains.into_iter().take(limit).map(|(_, d)| d).collect()
}

/// Numbers of members and spares by domain and model.
struct ModelCounts {
    members: BTreeMap<(String, String), usize>,
    spares: BTreeMap<(String, String), usize>,
}

impl ModelCounts {
    /// Counts the members and spares of a service.
    fn count(service: &str, vms: &Vms<'_>, plan: &Plan) -> Self {
        let mut counts = Self {
            members: BTreeMap::new(),
            spares: BTreeMap::new(),
        };
        for group in plan.groups.iter().filter(|g| g.service == service) {
            for member in &group.members {
                let Some(vm) = vms.get(member.id.as_str()) else {
                    continue;
                };
                let by_key = if group.standby {
                    &mut counts.spares
                } else {
                    &mut counts.members
                };
                let key = (vm.endpoint.domain.to_string(), group.model.clone());
                *by_key.entry(key).or_default() += 1;
            }
        }
        counts
    }

    fn add_spare(&mut self, domain: &str, model: &str) {
        let key = (domain.to_owned(), model.to_owned());
        *self.spares.entry(key).or_default() += 1;
    }

    fn spares(&self, domain: &str, model: &str) -> usize {
        let key = (domain.to_owned(), model.to_owned());
        self.spares.get(&key).copied().unwrap_or(0)
    }

    /// Returns a hundred times the number of members per spare in a domain, as if there
    /// were one more spare.
    fn members_per_spare(&self, domain: &str, model: &str) -> usize {
        let key = (domain.to_owned(), model.to_owned());
        let members = self.members.get(&key).copied().unwrap_or(0);
        let spares = self.spares.get(&key).copied().unwrap_or(0);
        members * 100 / (spares + 1)
    }
}

/// What follows the service in the name of a standby group, before the epoch.
const INFIX: &str = "-standby-";

fn group_name(service: &str, epoch: u64) -> String {
    format!("{service}{INFIX}{epoch}")
}

/// Returns whether a VM's last group was a standby group, whose leader was never told to
/// open. The VM's record has nothing of a group but its name and epoch, and the plan may no
/// longer have the group.
pub(super) fn is_on_standby(endpoint: &Endpoint, membership: &GroupMembership) -> bool {
    is_standby_name(&endpoint.service, &membership.group)
}

/// Returns whether a group of a service is a standby group. The names of services may
/// contain anything, so only a name that is built like that of a standby group counts.
fn is_standby_name(service: &str, group: &str) -> bool {
    let rest = group.strip_prefix(service);
    let epoch = rest.and_then(|rest| rest.strip_prefix(INFIX));
    epoch.is_some_and(|e| !e.is_empty() && e.bytes().all(|b| b.is_ascii_digit()))
}

#[cfg(test)]
#[path = "../../tests/unit/standby.rs"]
mod tests;
