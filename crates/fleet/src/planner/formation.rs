//! Forms groups out of free VMs, and decides how many groups each model should have.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::{Eligibility, PlannerSettings, VmView, Vms, consolidate, repair, standby};
use crate::catalog::{Engine, Model};
use crate::plan::{GroupPlan, MemberPlan, Plan};

/// Returns a revised plan, or `None` if the current one needs no change.
pub(super) fn revise(
    settings: PlannerSettings,
    engine: &Engine,
    service: &str,
    plan: &Plan,
    vms: &Vms<'_>,
    eligibility: Eligibility,
) -> Option<Plan> {
    let mut next = plan.clone();
    set_wanted(settings, engine, vms, &mut next);
    repair::repair(engine, service, vms, &mut next, eligibility);
    form(engine, service, vms, &mut next, eligibility);
    let consolidation = consolidate::consolidate(engine, service, vms, &mut next);
    standby::assign_standby(engine, service, vms, &mut next, consolidation);
    if next == *plan {
        return None;
    }
    // Each plan has an epoch of its own, even one that only removes groups.
    if next.epoch == plan.epoch {
        next.next_epoch();
    }
    Some(next)
}

/// Maximum factor by which the VMs of a model may exceed its share where the groups of no
/// other model fit.
const MAX_SHARE_FACTOR: f64 = 1.3;

/// Sets the wanted number of groups of each model.
///
/// Together they are as many as fit into single domains beside a reserve of spares in
/// each, in proportion to the models' shares of the work. A number never decreases,
/// because the loss of VMs makes no group unnecessary.
fn set_wanted(settings: PlannerSettings, engine: &Engine, vms: &Vms<'_>, plan: &mut Plan) {
    let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
    for vm in vms.values().filter(|v| v.listed && !v.is_lost()) {
        *sizes.entry(&vm.endpoint.domain).or_default() += 1;
    }
    let spares = engine.models.len() * settings.spares;
    // A small domain has too few VMs for a spare for each model.
    let free = sizes.values().map(|size| size - spares.min(size / 4));
    let packed = pack(engine, free.collect());
    for (model, groups) in engine.models.iter().zip(packed) {
        let wanted = plan.wanted.entry(model.name.to_string()).or_default();
        *wanted = (*wanted).max(groups);
    }
}

/// Returns how many groups of each model fit into domains with this many free VMs, each
/// group in one domain.
fn pack(engine: &Engine, mut free: Vec<usize>) -> SmallVec<[usize; 4]> {
    let total_share: f64 = engine.models.iter().map(|m| m.share).sum();
    let total: usize = free.iter().sum();
    let share = |model: &Model| model.share / if total_share > 0.0 { total_share } else { 1.0 };
    let mut groups: SmallVec<[usize; 4]> = SmallVec::from_elem(0, engine.models.len());
    loop {
        let largest = free.iter().copied().max().unwrap_or(0);
        let may_grow = |(i, model): &(usize, &Model)| {
            let vms = (groups[*i] + 1) * model.group_size;
            let max_vms = share(model) * total as f64 * MAX_SHARE_FACTOR;
            model.group_size <= largest && (groups[*i] == 0 || vms as f64 <= max_vms)
        };
        let filled = |(i, model): &(usize, &Model)| {
            (groups[*i] * model.group_size) as f64 / share(model).max(f64::EPSILON)
        };
        let fitting = engine.models.iter().enumerate().filter(may_grow);
        let Some((i, model)) = fitting.min_by(|a, b| filled(a).total_cmp(&filled(b))) else {
            break;
        };
        // Best fit: the domain with the fewest sufficient VMs leaves others for larger
        // groups.
        let sufficient = free.iter_mut().filter(|f| **f >= model.group_size);
        let Some(tightest) = sufficient.min() else {
            break;
        };
        *tightest -= model.group_size;
        groups[i] += 1;
    }
    // A model that fits into no domain still gets one group, which spans several.
    groups.iter_mut().for_each(|g| *g = (*g).max(1));
    groups
}

/// Forms missing groups while there are VMs for them, those of the model with the largest
/// shortage first.
fn form(engine: &Engine, service: &str, vms: &Vms<'_>, plan: &mut Plan, eligibility: Eligibility) {
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
            .find_map(|(m, _)| members_for(m, vms, plan, eligibility).map(|members| (*m, members)));
        let Some((model, members)) = found else {
            return;
        };
        let epoch = plan.next_epoch();
        plan.remove_standby(&members);
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

/// Returns the fraction of a model's wanted groups that is missing. Groups in data
/// centres that are out of service count as missing.
pub(super) fn shortage(model: &Model, vms: &Vms<'_>, plan: &Plan) -> f64 {
    let wanted = plan.wanted.get(&*model.name).copied().unwrap_or_default();
    missing_groups(model, vms, plan) as f64 / wanted.max(1) as f64
}

/// Returns the number of a model's wanted groups that are missing.
pub(super) fn missing_groups(model: &Model, vms: &Vms<'_>, plan: &Plan) -> usize {
    let wanted = plan.wanted.get(&*model.name).copied().unwrap_or_default();
    let in_service = |g: &&GroupPlan| {
        let mut members = g.members.iter().filter_map(|m| vms.get(m.id.as_str()));
        !g.standby && *g.model == *model.name && members.all(|v| !v.evacuated)
    };
    let present = plan.groups.iter().filter(in_service).count();
    wanted.saturating_sub(present)
}

/// Returns members for a new group.
///
/// They are in one domain if they have the weights or may load them. Otherwise they are
/// in several domains, but only if the model lacks many groups: a cross-domain group is
/// slow, and takes spares from each of its domains.
fn members_for(
    model: &Model,
    vms: &Vms<'_>,
    plan: &Plan,
    eligibility: Eligibility,
) -> Option<Vec<MemberPlan>> {
    let in_domain = single_domain_members(model, vms, plan);
    let has_weights = |m: &MemberPlan| vms[m.id.as_str()].has_staged(&model.name);
    let loaded = |members: &Vec<MemberPlan>| members.iter().all(has_weights);
    let in_domain = in_domain.filter(|members| eligibility == Eligibility::Any || loaded(members));
    in_domain.or_else(|| match lacks_many_groups(model, vms, plan) {
        true => cross_domain_members(model, vms, plan),
        false => None,
    })
}

/// Returns whether a model lacks more than a third of its wanted groups.
pub(super) fn lacks_many_groups(model: &Model, vms: &Vms<'_>, plan: &Plan) -> bool {
    shortage(model, vms, plan) > 1.0 / 3.0
}

/// Returns members that have the weights, starting with the domains that have the most.
fn cross_domain_members(model: &Model, vms: &Vms<'_>, plan: &Plan) -> Option<Vec<MemberPlan>> {
    let staged = free(vms, plan)
        .into_iter()
        .filter(|v| v.has_staged(&model.name));
    let mut staged: Vec<&VmView<'_>> = staged.collect();
    if staged.len() < model.group_size {
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
            v.load_rank(&model.name),
        )
    });
    Some(staged.iter().take(model.group_size).map(member).collect())
}

/// Returns members in one domain for a new group.
///
/// Domains in which no host has to load the weights go first, then the domain and the
/// data centre with the fewest groups of the model, so that few groups are lost with a
/// domain.
fn single_domain_members(model: &Model, vms: &Vms<'_>, plan: &Plan) -> Option<Vec<MemberPlan>> {
    let mut per_data_centre: BTreeMap<&str, usize> = BTreeMap::new();
    let mut per_domain: BTreeMap<&str, usize> = BTreeMap::new();
    for group in plan
        .groups
        .iter()
        .filter(|g| !g.standby && *g.model == *model.name)
    {
        if let Some(leader) = vms.get(group.members[0].id.as_str()) {
            *per_data_centre
                .entry(&leader.endpoint.data_centre)
                .or_default() += 1;
            *per_domain.entry(&leader.endpoint.domain).or_default() += 1;
        }
    }
    let mut domains: Vec<&str> = vms.values().map(|v| &*v.endpoint.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    let mut best = None;
    for domain in domains {
        let mut free = free_in(vms, plan, domain);
        if free.len() < model.group_size {
            continue;
        }
        free.sort_by_key(|v| (v.load_rank(&model.name), v.endpoint.id.clone()));
        let chosen = &free[..model.group_size];
        let unstaged = chosen.iter().filter(|v| !v.has_staged(&model.name)).count();
        let data_centre = &*free[0].endpoint.data_centre;
        let rank = (
            unstaged > 0,
            per_domain.get(domain).copied().unwrap_or(0),
            per_data_centre.get(data_centre).copied().unwrap_or(0),
            unstaged,
            usize::MAX - free.len(),
        );
        if best.as_ref().is_none_or(|(old, _)| rank < *old) {
            best = Some((rank, chosen.iter().map(member).collect()));
        }
    }
    best.map(|(_, members)| members)
}

pub(super) fn member(vm: &&VmView<'_>) -> MemberPlan {
    MemberPlan {
        id: vm.endpoint.id.to_string(),
        incarnation: vm.endpoint.incarnation,
    }
}

/// Returns the usable VMs of a domain that are in no group, or only on standby.
pub(super) fn free_in<'a, 'v>(vms: &'a Vms<'v>, plan: &Plan, domain: &str) -> Vec<&'a VmView<'v>> {
    let all = free(vms, plan).into_iter();
    all.filter(|v| *v.endpoint.domain == *domain).collect()
}

/// Returns the usable VMs that are in no group, or only on standby.
pub(super) fn free<'a, 'v>(vms: &'a Vms<'v>, plan: &Plan) -> Vec<&'a VmView<'v>> {
    let free = |v: &&VmView<'_>| v.is_usable() && plan.group_of(&v.endpoint.id).is_none();
    vms.values().filter(free).collect()
}

/// Sorts groups by the number of members that still have to load the weights, standby groups
/// last. As only few loads run at a time, groups become complete one after the other.
pub(super) fn sort_by_unstaged<'p>(
    groups: impl Iterator<Item = &'p GroupPlan>,
    vms: &Vms<'_>,
) -> Vec<&'p GroupPlan> {
    let unstaged = |g: &GroupPlan| {
        let done = |v: &&VmView<'_>| v.is_in(g) || v.has_staged(&g.model);
        let members = g.members.iter().filter_map(|m| vms.get(m.id.as_str()));
        g.members.len() - members.filter(done).count()
    };
    let mut sorted: Vec<&GroupPlan> = groups.collect();
    sorted.sort_by_key(|g| (g.standby, unstaged(g), g.epoch));
    sorted
}
