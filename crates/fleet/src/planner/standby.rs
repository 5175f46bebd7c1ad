//! What the VMs that no group has keep loaded.

use std::collections::BTreeMap;

use super::consolidate::Gathered;
use super::formation::{self, member};
use super::{STANDBY_MARK, VmView, Vms};
use crate::catalog::{Engine, Model};
use crate::plan::{GroupPlan, MemberPlan, Plan};

/// Lets every spare VM keep a model loaded: one that a group needs in this domain, else
/// the one that its host has, else the one with the most members for each spare of the
/// domain. While groups can be put together anew, nothing is loaded for them.
pub(super) fn stand_by(
    engine: &Engine,
    service: &str,
    vms: &Vms<'_>,
    plan: &mut Plan,
    gathered: Gathered,
) {
    let usable = |m: &MemberPlan| {
        let vm = vms.get(m.id.as_str());
        vm.is_some_and(|v| v.is_usable() && v.endpoint.born == m.born)
    };
    let own = |g: &GroupPlan| g.standby && g.service == service;
    plan.groups
        .retain(|g| !own(g) || g.members.iter().all(usable));
    let needs = Needs::find(engine, service, vms, plan, gathered);
    release_for_needs(engine, service, vms, plan, &needs);
    let mut stock = Stock::count(service, vms, plan);
    let in_none = |v: &&VmView<'_>| {
        v.is_usable() && !plan.groups.iter().any(|g| g.has_member(&v.endpoint.id))
    };
    let idle: Vec<&VmView<'_>> = vms.values().filter(in_none).collect();
    for vm in idle {
        let domain = &*vm.endpoint.domain;
        let need = |m: &&Model| {
            (
                needs.unmet(&stock, domain, &m.name),
                vm.has_staged(&m.name),
                stock.members_per_spare(domain, &m.name),
            )
        };
        let Some(model) = engine.models.iter().max_by_key(need) else {
            return;
        };
        stock.add_spare(domain, &model.name);
        let epoch = plan.next_epoch();
        plan.groups.push(GroupPlan {
            name: format!("{service}{STANDBY_MARK}{epoch}"),
            service: service.to_owned(),
            model: model.name.to_string(),
            epoch,
            members: vec![member(&vm)],
            standby: true,
        });
    }
}

/// Takes spares off standby that another model needs more in their domain: a load
/// takes long, but nobody else would ever load the weights there.
fn release_for_needs(
    engine: &Engine,
    service: &str,
    vms: &Vms<'_>,
    plan: &mut Plan,
    needs: &Needs,
) {
    if needs.0.is_empty() {
        return;
    }
    loop {
        let stock = Stock::count(service, vms, plan);
        let idle = |domain: &str| {
            let usable = vms.values().filter(|v| v.is_usable());
            let here = usable.filter(|v| *v.endpoint.domain == *domain);
            here.filter(|v| !plan.groups.iter().any(|g| g.has_member(&v.endpoint.id)))
                .count()
        };
        let dispensable = |g: &GroupPlan| {
            let vm = vms.get(g.members[0].id.as_str());
            let domain = vm.map(|v| &*v.endpoint.domain).unwrap_or_default();
            let others = engine.models.iter().filter(|m| *m.name != *g.model);
            let unmet = others.map(|m| needs.unmet(&stock, domain, &m.name)).max();
            g.standby
                && g.service == service
                && unmet.unwrap_or(0) > idle(domain)
                && stock.spares(domain, &g.model) > needs.of(domain, &g.model)
        };
        let Some(index) = plan.groups.iter().position(dispensable) else {
            return;
        };
        plan.groups.remove(index);
    }
}

/// Spares that certain domains must have before a group can be in one domain.
#[derive(Default)]
struct Needs(BTreeMap<(String, String), usize>);

impl Needs {
    fn find(
        engine: &Engine,
        service: &str,
        vms: &Vms<'_>,
        plan: &Plan,
        gathered: Gathered,
    ) -> Self {
        let mut needs = Self::default();
        if gathered == Gathered::Found {
            return needs;
        }
        let own = plan
            .groups
            .iter()
            .filter(|g| !g.standby && g.service == service);
        for group in own {
            let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
            for member in &group.members {
                if let Some(vm) = vms.get(member.id.as_str()) {
                    *counts.entry(&vm.endpoint.domain).or_default() += 1;
                }
            }
            let home = counts.iter().max_by_key(|(_, count)| **count);
            if let Some((domain, count)) = home.filter(|_| counts.len() > 1) {
                needs.add(domain, &group.model, group.members.len() - count);
            }
        }
        for model in &engine.models {
            let missing = formation::missing_groups(model, vms, plan);
            for domain in roomiest(vms, plan, model.group_size, missing) {
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

    fn unmet(&self, stock: &Stock, domain: &str, model: &str) -> usize {
        let spares = stock.spares(domain, model);
        self.of(domain, model).saturating_sub(spares)
    }
}

/// Returns the domains whose spares, of any model, could make up a whole group.
fn roomiest<'v>(vms: &Vms<'v>, plan: &Plan, size: usize, most: usize) -> Vec<&'v str> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for vm in formation::free(vms, plan) {
        *counts.entry(&vm.endpoint.domain).or_default() += 1;
    }
    let mut domains: Vec<(usize, &str)> = counts.into_iter().map(|(d, n)| (n, d)).collect();
    domains.retain(|(count, _)| *count >= size);
    domains.sort_unstable_by(|a, b| b.cmp(a));
    domains.into_iter().take(most).map(|(_, d)| d).collect()
}

/// How many members and spares there are of each model in each domain.
struct Stock {
    members: BTreeMap<(String, String), usize>,
    spares: BTreeMap<(String, String), usize>,
}

impl Stock {
    fn count(service: &str, vms: &Vms<'_>, plan: &Plan) -> Self {
        let mut stock = Self {
            members: BTreeMap::new(),
            spares: BTreeMap::new(),
        };
        for group in plan.groups.iter().filter(|g| g.service == service) {
            for member in &group.members {
                let Some(vm) = vms.get(member.id.as_str()) else {
                    continue;
                };
                let counts = if group.standby {
                    &mut stock.spares
                } else {
                    &mut stock.members
                };
                let key = (vm.endpoint.domain.to_string(), group.model.clone());
                *counts.entry(key).or_default() += 1;
            }
        }
        stock
    }

    fn add_spare(&mut self, domain: &str, model: &str) {
        let key = (domain.to_owned(), model.to_owned());
        *self.spares.entry(key).or_default() += 1;
    }

    fn spares(&self, domain: &str, model: &str) -> usize {
        let key = (domain.to_owned(), model.to_owned());
        self.spares.get(&key).copied().unwrap_or(0)
    }

    /// Returns a hundred times the members for each spare of a domain, counting one
    /// more spare.
    fn members_per_spare(&self, domain: &str, model: &str) -> usize {
        let key = (domain.to_owned(), model.to_owned());
        let members = self.members.get(&key).copied().unwrap_or(0);
        let spares = self.spares.get(&key).copied().unwrap_or(0);
        members * 100 / (spares + 1)
    }
}
