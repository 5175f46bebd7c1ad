//! Which VMs form which groups.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::{PlannerSettings, VmView, Vms, Weights, consolidate, repair, standby};
use crate::catalog::{Engine, Model};
use crate::plan::{GroupPlan, MemberPlan, Plan};

/// Returns a better plan, or `None` if the present one needs no change.
pub(super) fn revise(
    settings: PlannerSettings,
    engine: &Engine,
    service: &str,
    plan: &Plan,
    vms: &Vms<'_>,
    weights: Weights,
) -> Option<Plan> {
    let mut next = plan.clone();
    set_wanted(settings, engine, vms, &mut next);
    repair::repair(engine, service, vms, &mut next, weights);
    form(engine, service, vms, &mut next, weights);
    let gathered = consolidate::gather(engine, service, vms, &mut next);
    standby::stand_by(engine, service, vms, &mut next, gathered);
    if next == *plan {
        return None;
    }
    // Each plan has an epoch of its own, also one that only gives groups up.
    if next.epoch == plan.epoch {
        next.next_epoch();
    }
    Some(next)
}

/// Part by which a model may get more VMs than its share where nothing else fits.
const SHARE_EXCESS: f64 = 1.3;

/// Sets the number of groups of each model: as many as the domains hold side by side
/// with a reserve of spares in each, by the models' shares of the work. The number
/// only grows: the loss of VMs makes no group superfluous.
fn set_wanted(settings: PlannerSettings, engine: &Engine, vms: &Vms<'_>, plan: &mut Plan) {
    let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
    for vm in vms.values().filter(|v| v.listed && !v.is_lost()) {
        *sizes.entry(&vm.endpoint.domain).or_default() += 1;
    }
    let spares = engine.models.len() * settings.spares;
    // Small domains can't afford a spare for each model.
    let room = sizes.values().map(|size| size - spares.min(size / 4));
    let packed = pack(engine, room.collect());
    for (model, groups) in engine.models.iter().zip(packed) {
        let wanted = plan.wanted.entry(model.name.to_string()).or_default();
        *wanted = (*wanted).max(groups);
    }
}

/// Returns how many groups of each model fit into domains with this room, each group
/// in one domain.
fn pack(engine: &Engine, mut room: Vec<usize>) -> SmallVec<[usize; 4]> {
    let all: f64 = engine.models.iter().map(|m| m.share).sum();
    let total: usize = room.iter().sum();
    let part = |model: &Model| model.share / if all > 0.0 { all } else { 1.0 };
    let mut groups: SmallVec<[usize; 4]> = SmallVec::from_elem(0, engine.models.len());
    loop {
        let widest = room.iter().copied().max().unwrap_or(0);
        let fits = |(i, model): &(usize, &Model)| {
            let vms = (groups[*i] + 1) * model.group_size;
            let most = part(model) * total as f64 * SHARE_EXCESS;
            model.group_size <= widest && (groups[*i] == 0 || vms as f64 <= most)
        };
        let served = |(i, model): &(usize, &Model)| {
            (groups[*i] * model.group_size) as f64 / part(model).max(f64::EPSILON)
        };
        let open = engine.models.iter().enumerate().filter(fits);
        let Some((i, model)) = open.min_by(|a, b| served(a).total_cmp(&served(b))) else {
            break;
        };
        // The tightest domain that holds it leaves room for larger groups.
        let holding = room.iter_mut().filter(|r| **r >= model.group_size);
        let Some(tightest) = holding.min() else {
            break;
        };
        *tightest -= model.group_size;
        groups[i] += 1;
    }
    // A model that fits into no domain has a group over several.
    groups.iter_mut().for_each(|g| *g = (*g).max(1));
    groups
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

/// Returns the missing part of a model's wanted groups. Groups in data centres
/// out of service don't count.
pub(super) fn shortage(model: &Model, vms: &Vms<'_>, plan: &Plan) -> f64 {
    let wanted = plan.wanted.get(&*model.name).copied().unwrap_or_default();
    missing_groups(model, vms, plan) as f64 / wanted.max(1) as f64
}

/// Returns how many of a model's wanted groups are missing.
pub(super) fn missing_groups(model: &Model, vms: &Vms<'_>, plan: &Plan) -> usize {
    let wanted = plan.wanted.get(&*model.name).copied().unwrap_or_default();
    let in_service = |g: &&GroupPlan| {
        let mut members = g.members.iter().filter_map(|m| vms.get(m.id.as_str()));
        !g.standby && *g.model == *model.name && members.all(|v| !v.evacuated)
    };
    let present = plan.groups.iter().filter(in_service).count();
    wanted.saturating_sub(present)
}

/// Returns members for a new group: of one domain if they have the weights or there is
/// time to load them; else of several if the model lacks many groups. A group over
/// several domains is slow, and its VMs are missing as spares of all of them.
fn members_for(
    model: &Model,
    vms: &Vms<'_>,
    plan: &Plan,
    weights: Weights,
) -> Option<Vec<MemberPlan>> {
    let near = best_members(model, vms, plan);
    let has_weights = |m: &MemberPlan| vms[m.id.as_str()].has_staged(&model.name);
    let loaded = |members: &Vec<MemberPlan>| members.iter().all(has_weights);
    let near = near.filter(|members| weights == Weights::Any || loaded(members));
    near.or_else(|| match lacks_many(model, vms, plan) {
        true => scattered_members(model, vms, plan),
        false => None,
    })
}

/// Returns whether a model has less than two thirds of its wanted groups.
pub(super) fn lacks_many(model: &Model, vms: &Vms<'_>, plan: &Plan) -> bool {
    shortage(model, vms, plan) > 1.0 / 3.0
}

/// Returns members with the weights from as few domains as possible.
fn scattered_members(model: &Model, vms: &Vms<'_>, plan: &Plan) -> Option<Vec<MemberPlan>> {
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
            v.distance_to(&model.name),
        )
    });
    Some(staged.iter().take(model.group_size).map(member).collect())
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
        if free.len() < model.group_size {
            continue;
        }
        free.sort_by_key(|v| (v.distance_to(&model.name), v.endpoint.id.clone()));
        let chosen = &free[..model.group_size];
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

pub(super) fn member(vm: &&VmView<'_>) -> MemberPlan {
    MemberPlan {
        id: vm.endpoint.id.to_string(),
        born: vm.endpoint.born,
    }
}

/// Returns the VMs of a domain that no group has and that can be used.
pub(super) fn free_in<'a, 'v>(vms: &'a Vms<'v>, plan: &Plan, domain: &str) -> Vec<&'a VmView<'v>> {
    let all = free(vms, plan).into_iter();
    all.filter(|v| *v.endpoint.domain == *domain).collect()
}

/// Returns the VMs that no group has and that can be used.
pub(super) fn free<'a, 'v>(vms: &'a Vms<'v>, plan: &Plan) -> Vec<&'a VmView<'v>> {
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
