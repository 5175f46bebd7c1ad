//! Which VMs form which groups.

use std::collections::{BTreeMap, BTreeSet};

use super::{GroupSettings, STANDBY_MARK, VmView, Vms, Weights};
use crate::catalog::{Engine, Model};
use crate::endpoint::{EndpointPhase, Membership};
use crate::plan::{GroupPlan, MemberPlan, Plan};

/// Returns a better plan, or `None` if the present one needs no change.
pub(super) fn revise(
    settings: GroupSettings,
    engine: &Engine,
    service: &str,
    plan: &Plan,
    vms: &Vms<'_>,
    weights: Weights,
) -> Option<Plan> {
    let mut next = plan.clone();
    set_wanted(settings, engine, vms, &mut next);
    repair(engine, service, vms, &mut next, weights);
    form(engine, service, vms, &mut next, weights);
    stand_by(engine, service, vms, &mut next);
    if next == *plan {
        return None;
    }
    // Each plan has an epoch of its own, also one that only gives groups up.
    if next.epoch == plan.epoch {
        next.draw_epoch();
    }
    Some(next)
}

/// Sets the number of groups of each model from its share of the work. The number
/// only grows: the loss of VMs makes no group superfluous.
fn set_wanted(settings: GroupSettings, engine: &Engine, vms: &Vms<'_>, plan: &mut Plan) {
    let usable = vms.values().filter(|v| !v.is_lost()).count();
    let domains: BTreeSet<&str> = vms.values().map(|v| &*v.endpoint.domain).collect();
    let spares = domains.len() * engine.models.len() * settings.spares;
    // Small domains can't afford a spare for each model.
    let spares = spares.min(usable / 4);
    let total: f64 = engine.models.iter().map(|m| m.share).sum();
    for model in &engine.models {
        let part = model.share / if total > 0.0 { total } else { 1.0 };
        let serving = (usable - spares) as f64 * part;
        let groups = (serving / model.size.max(1) as f64).round().max(1.0) as usize;
        let wanted = plan.wanted.entry(model.name.to_string()).or_default();
        *wanted = (*wanted).max(groups);
    }
}

/// Replaces lost and leaving members, or gives up groups that can't be mended.
fn repair(engine: &Engine, service: &str, vms: &Vms<'_>, plan: &mut Plan, weights: Weights) {
    let mut index = 0;
    while index < plan.groups.len() {
        if plan.groups[index].service != service || plan.groups[index].standby {
            index += 1;
            continue;
        }
        match mend(engine, vms, plan, index, weights) {
            Mended::Kept => index += 1,
            Mended::Replaced(members) => {
                let epoch = plan.draw_epoch();
                let group = &mut plan.groups[index];
                group.epoch = epoch;
                group.members.clone_from(&members);
                plan.end_standby(&members);
                index = 0;
            }
            Mended::Hopeless => {
                plan.groups.remove(index);
            }
        }
    }
}

enum Mended {
    Kept,
    Replaced(Vec<MemberPlan>),
    Hopeless,
}

fn mend(engine: &Engine, vms: &Vms<'_>, plan: &Plan, index: usize, weights: Weights) -> Mended {
    let group = &plan.groups[index];
    if !engine.models.iter().any(|m| *m.name == *group.model) {
        return Mended::Hopeless;
    }
    let present = |m: &&MemberPlan| {
        let vm = vms.get(m.id.as_str());
        vm.is_some_and(|v| v.endpoint.born == m.born && !v.is_lost())
    };
    let stays = |m: &&MemberPlan| {
        let vm = vms.get(m.id.as_str());
        present(m) && vm.is_some_and(|v| v.endpoint.phase == EndpointPhase::Ready)
    };
    let lost = group.members.iter().filter(|m| !present(m)).count();
    let kept: Vec<&MemberPlan> = group.members.iter().filter(stays).collect();
    let missing = group.members.len() - kept.len();
    if missing == 0 {
        return match gathered(vms, plan, group) {
            Some(members) => Mended::Replaced(members),
            None => Mended::Kept,
        };
    }
    let evacuated = kept.iter().any(|m| vms[m.id.as_str()].evacuated);
    let Some(anchor) = kept.first().filter(|_| !evacuated) else {
        return if lost > 0 {
            Mended::Hopeless
        } else {
            Mended::Kept
        };
    };
    let domain = &vms[anchor.id.as_str()].endpoint.domain;
    let spares = spares_for(vms, plan, domain, &group.model, weights);
    if spares.len() < missing {
        let head_leaves = group.members[0].id != anchor.id;
        let goes_on = lost == 0 && !head_leaves;
        return if goes_on {
            Mended::Kept
        } else {
            Mended::Hopeless
        };
    }
    let mut members: Vec<MemberPlan> = kept.into_iter().cloned().collect();
    members.extend(spares.iter().take(missing).map(member));
    Mended::Replaced(members)
}

/// Returns whether every planned group of a model serves.
fn all_open(vms: &Vms<'_>, plan: &Plan, model: &str) -> bool {
    let is_open = |g: &GroupPlan| {
        let head = vms.get(g.members[0].id.as_str());
        head.is_some_and(|v| v.is_in(g) && v.membership().is_some_and(Membership::is_serving))
    };
    let mut groups = plan
        .groups
        .iter()
        .filter(|g| !g.standby && g.model == model);
    groups.all(is_open)
}

/// Returns members of one domain for a group over several, once enough VMs of the
/// domain that most members are in have the model loaded. One group of a model at a
/// time is moved, since it doesn't serve meanwhile.
fn gathered(vms: &Vms<'_>, plan: &Plan, group: &GroupPlan) -> Option<Vec<MemberPlan>> {
    let domain_of = |m: &MemberPlan| &*vms[m.id.as_str()].endpoint.domain;
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for member in &group.members {
        *counts.entry(domain_of(member)).or_default() += 1;
    }
    if counts.len() < 2 {
        return None;
    }
    let home = counts
        .iter()
        .max_by_key(|(_, count)| **count)
        .map(|(domain, _)| *domain)?;
    let mut members: Vec<MemberPlan> = Vec::new();
    members.extend(
        group
            .members
            .iter()
            .filter(|m| domain_of(m) == home)
            .cloned(),
    );
    let missing = group.members.len() - members.len();
    let mut spares = free_in(vms, plan, home);
    spares.retain(|v| v.distance_to(&group.model) == 0);
    if spares.len() < missing || !all_open(vms, plan, &group.model) {
        return None;
    }
    members.extend(spares.iter().take(missing).map(member));
    Some(members)
}

/// Returns the VMs that can take a lost member's place, the best first: those of
/// the domain that have the weights, then such of other domains, then the rest of
/// the domain. A group over several domains is slower, but a load takes longer
/// than most gaps may last.
fn spares_for<'a, 'v>(
    vms: &'a Vms<'v>,
    plan: &Plan,
    domain: &str,
    model: &str,
    weights: Weights,
) -> Vec<&'a VmView<'v>> {
    let rank = |v: &&VmView<'_>| {
        let far = *v.endpoint.domain != *domain;
        let unstaged = !v.has_staged(model);
        (
            unstaged,
            far,
            v.distance_to(model),
            !v.endpoint.cold.is_zero(),
        )
    };
    let may_load = |v: &VmView<'_>| weights == Weights::Any && *v.endpoint.domain == *domain;
    let fits = |v: &&VmView<'_>| v.has_staged(model) || may_load(v);
    let mut spares: Vec<&VmView<'_>> = free(vms, plan).into_iter().filter(fits).collect();
    spares.sort_by_key(rank);
    spares
}

/// Forms the groups that are wanted and missing.
fn form(engine: &Engine, service: &str, vms: &Vms<'_>, plan: &mut Plan, weights: Weights) {
    loop {
        let mut models: Vec<(&Model, f64)> = engine
            .models
            .iter()
            .map(|m| (m, shortage(m, vms, plan)))
            .filter(|(_, shortage)| *shortage > 0.0)
            .collect();
        models.sort_by(|a, b| b.1.total_cmp(&a.1));
        let found = models
            .iter()
            .find_map(|(m, _)| members_for(m, vms, plan, weights).map(|members| (*m, members)));
        let Some((model, members)) = found else {
            return;
        };
        let epoch = plan.draw_epoch();
        plan.end_standby(&members);
        plan.groups.push(GroupPlan {
            name: format!("{service}-{epoch}"),
            service: service.to_owned(),
            model: model.name.to_string(),
            epoch,
            members,
            standby: false,
        });
    }
}

/// Returns the missing part of a model's wanted groups. Groups in data centres
/// out of service don't count.
fn shortage(model: &Model, vms: &Vms<'_>, plan: &Plan) -> f64 {
    let wanted = plan.wanted.get(&*model.name).copied().unwrap_or_default();
    missing_groups(model, vms, plan) as f64 / wanted.max(1) as f64
}

/// Returns how many of a model's wanted groups are missing.
fn missing_groups(model: &Model, vms: &Vms<'_>, plan: &Plan) -> usize {
    let wanted = plan.wanted.get(&*model.name).copied().unwrap_or_default();
    let in_service = |g: &&GroupPlan| {
        let mut members = g.members.iter().filter_map(|m| vms.get(m.id.as_str()));
        !g.standby && *g.model == *model.name && members.all(|v| !v.evacuated)
    };
    let present = plan.groups.iter().filter(in_service).count();
    wanted.saturating_sub(present)
}

/// Returns members for a new group: of one domain if they have the weights, else of
/// several if these have, else of one domain whose VMs must load them.
fn members_for(
    model: &Model,
    vms: &Vms<'_>,
    plan: &Plan,
    weights: Weights,
) -> Option<Vec<MemberPlan>> {
    let near = best_members(model, vms, plan);
    let has_weights = |m: &MemberPlan| vms[m.id.as_str()].has_staged(&model.name);
    if near
        .as_ref()
        .is_some_and(|members| members.iter().all(has_weights))
    {
        return near;
    }
    let near = near.filter(|_| weights == Weights::Any);
    scattered_members(model, vms, plan).or(near)
}

/// Returns members with the weights from as few domains as possible.
fn scattered_members(model: &Model, vms: &Vms<'_>, plan: &Plan) -> Option<Vec<MemberPlan>> {
    let staged = free(vms, plan)
        .into_iter()
        .filter(|v| v.has_staged(&model.name));
    let mut staged: Vec<&VmView<'_>> = staged.collect();
    if staged.len() < model.size {
        return None;
    }
    let mut per_domain: BTreeMap<&str, usize> = BTreeMap::new();
    for vm in &staged {
        *per_domain.entry(&vm.endpoint.domain).or_default() += 1;
    }
    staged.sort_by_key(|v| {
        let domain = &*v.endpoint.domain;
        (
            usize::MAX - per_domain[domain],
            domain.to_owned(),
            v.distance_to(&model.name),
        )
    });
    Some(staged.iter().take(model.size).map(member).collect())
}

/// Returns members of one domain for a new group: where no host has to load the
/// weights if there is such a domain, then in the domain and data centre with the
/// fewest groups of the model, so that a dark domain takes few of them along.
fn best_members(model: &Model, vms: &Vms<'_>, plan: &Plan) -> Option<Vec<MemberPlan>> {
    let mut per_centre: BTreeMap<&str, usize> = BTreeMap::new();
    let mut per_domain: BTreeMap<&str, usize> = BTreeMap::new();
    for group in plan
        .groups
        .iter()
        .filter(|g| !g.standby && *g.model == *model.name)
    {
        if let Some(head) = vms.get(group.members[0].id.as_str()) {
            *per_centre.entry(&head.endpoint.data_centre).or_default() += 1;
            *per_domain.entry(&head.endpoint.domain).or_default() += 1;
        }
    }
    let mut domains: Vec<&str> = vms.values().map(|v| &*v.endpoint.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    let mut best = None;
    for domain in domains {
        let mut free = free_in(vms, plan, domain);
        if free.len() < model.size {
            continue;
        }
        free.sort_by_key(|v| (v.distance_to(&model.name), v.endpoint.id.clone()));
        let chosen = &free[..model.size];
        let unstaged = chosen.iter().filter(|v| !v.has_staged(&model.name)).count();
        let centre = &*free[0].endpoint.data_centre;
        let rank = (
            unstaged > 0,
            per_domain.get(domain).copied().unwrap_or(0),
            per_centre.get(centre).copied().unwrap_or(0),
            unstaged,
            usize::MAX - free.len(),
        );
        if best.as_ref().is_none_or(|(old, _)| rank < *old) {
            best = Some((rank, chosen.iter().map(member).collect()));
        }
    }
    best.map(|(_, members)| members)
}

fn member(vm: &&VmView<'_>) -> MemberPlan {
    MemberPlan {
        id: vm.endpoint.id.to_string(),
        born: vm.endpoint.born,
    }
}

/// Returns the VMs of a domain that no group has and that can be used.
fn free_in<'a, 'v>(vms: &'a Vms<'v>, plan: &Plan, domain: &str) -> Vec<&'a VmView<'v>> {
    let all = free(vms, plan).into_iter();
    all.filter(|v| *v.endpoint.domain == *domain).collect()
}

/// Returns the VMs that no group has and that can be used.
fn free<'a, 'v>(vms: &'a Vms<'v>, plan: &Plan) -> Vec<&'a VmView<'v>> {
    let free = |v: &&VmView<'_>| v.is_usable() && plan.group_of(&v.endpoint.id).is_none();
    vms.values().filter(free).collect()
}

/// Orders groups by how little they lack to serve, so that few loads at a time
/// complete whole groups one after the other.
pub(super) fn by_nearness<'p>(
    groups: impl Iterator<Item = &'p GroupPlan>,
    vms: &Vms<'_>,
) -> Vec<&'p GroupPlan> {
    let lacking = |g: &GroupPlan| {
        let done = |v: &&VmView<'_>| v.is_in(g) || v.has_staged(&g.model);
        let members = g.members.iter().filter_map(|m| vms.get(m.id.as_str()));
        g.members.len() - members.filter(done).count()
    };
    let mut sorted: Vec<&GroupPlan> = groups.collect();
    sorted.sort_by_key(|g| (g.standby, lacking(g), g.epoch));
    sorted
}

/// Lets every spare VM keep a model loaded: one that is short of members, else the
/// one that its host has, else the one with the most members for each spare of the
/// domain.
fn stand_by(engine: &Engine, service: &str, vms: &Vms<'_>, plan: &mut Plan) {
    let usable = |m: &MemberPlan| {
        let vm = vms.get(m.id.as_str());
        vm.is_some_and(|v| v.is_usable() && v.endpoint.born == m.born)
    };
    let own = |g: &GroupPlan| g.standby && g.service == service;
    plan.groups
        .retain(|g| !own(g) || g.members.iter().all(usable));
    release_for_lacking(engine, service, vms, plan);
    let mut stock = Stock::count(service, vms, plan);
    let in_none =
        |v: &&VmView<'_>| v.is_usable() && !plan.groups.iter().any(|g| g.has(&v.endpoint.id));
    let idle: Vec<&VmView<'_>> = vms.values().filter(in_none).collect();
    for vm in idle {
        let domain = &*vm.endpoint.domain;
        let need = |m: &&Model| {
            let lacking = stock.lacking(m, vms, plan);
            (
                lacking,
                vm.has_staged(&m.name),
                stock.members_per_spare(domain, &m.name),
            )
        };
        let Some(model) = engine.models.iter().max_by_key(need) else {
            return;
        };
        stock.add_spare(domain, &model.name);
        let epoch = plan.draw_epoch();
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

/// Takes spares of models that have all groups off standby, for models that lack
/// members: a load takes long, but nobody else would ever load the weights.
fn release_for_lacking(engine: &Engine, service: &str, vms: &Vms<'_>, plan: &mut Plan) {
    loop {
        let stock = Stock::count(service, vms, plan);
        let idle = vms.values().filter(|v| v.is_usable());
        let idle = idle
            .filter(|v| !plan.groups.iter().any(|g| g.has(&v.endpoint.id)))
            .count();
        let lacks = |m: &&Model| stock.lacking(m, vms, plan) > idle;
        if !engine.models.iter().any(|m| lacks(&m)) {
            return;
        }
        let complete = |g: &GroupPlan| {
            let model = engine.models.iter().find(|m| *m.name == *g.model);
            g.standby
                && g.service == service
                && model.is_none_or(|m| missing_groups(m, vms, plan) == 0)
        };
        let Some(index) = plan.groups.iter().position(complete) else {
            return;
        };
        plan.groups.remove(index);
    }
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

    /// Returns how many VMs a model lacks for the groups that are wanted, beyond
    /// the spares that it has.
    fn lacking(&self, model: &Model, vms: &Vms<'_>, plan: &Plan) -> usize {
        let spares = self.spares.iter().filter(|((_, m), _)| **m == *model.name);
        let spares: usize = spares.map(|(_, count)| count).sum();
        (missing_groups(model, vms, plan) * model.size).saturating_sub(spares)
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
