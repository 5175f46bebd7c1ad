//! Forms groups out of free VMs, and decides how many groups each model should have.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::free::{FreeVms, member, missing_groups, wanted_groups};
use super::{Eligibility, PlannerSettings, VmView, Vms, consolidate, repair, standby, surge};
use crate::catalog::{Engine, Model};
use crate::demand::Demand;
use crate::plan::{GroupPlan, MemberPlan, Plan};

/// Returns a revised plan, or `None` if the current one needs no change.
pub(super) fn revise(
    settings: PlannerSettings,
    engine: &Engine,
    service: &str,
    plan: &Plan,
    vms: &Vms<'_>,
    eligibility: Eligibility,
    demand: Option<&Demand>,
) -> Option<Plan> {
    let mut next = plan.clone();
    set_wanted(settings, engine, vms, &mut next);
    surge::give_up_broken(engine, service, vms, &mut next);
    repair::repair(engine, service, vms, &mut next, eligibility);
    surge::adopt(engine, service, vms, &mut next);
    surge::make_way(engine, service, vms, &mut next);
    form(engine, service, vms, &mut next, eligibility);
    let consolidation = consolidate::consolidate(engine, service, vms, &mut next);
    let mut targets = surge::SpareTargets::default();
    if let Some(demand) = demand {
        surge::mark_excess(engine, service, vms, &mut next);
        // Groups that are about to be consolidated need the spares.
        if consolidation == consolidate::Consolidation::Nothing {
            surge::form(engine, service, vms, &mut next, demand);
        }
        targets = surge::SpareTargets::find(engine, service, vms, &next);
    }
    let preload = standby::Preload {
        targets,
        eligibility,
    };
    standby::assign_standby(engine, service, vms, &mut next, consolidation, &preload);
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
    let mut shortages: Vec<Shortage<'_>> = engine
        .models
        .iter()
        .map(|m| Shortage::find(m, vms, plan))
        .collect();
    if shortages.iter().all(|s| s.missing == 0) {
        return;
    }
    let mut formation = Formation {
        vms,
        free: FreeVms::find(vms, plan),
        eligibility,
    };
    loop {
        let mut missing: Vec<&mut Shortage<'_>> =
            shortages.iter_mut().filter(|s| s.missing > 0).collect();
        missing.sort_by(|a, b| b.fraction().total_cmp(&a.fraction()));
        let found = missing.into_iter().find_map(|s| {
            let members = formation.members_for(s)?;
            Some((s, members))
        });
        let Some((shortage, members)) = found else {
            return;
        };
        shortage.add_group(vms, &members);
        formation.free.take(vms, &members);
        let epoch = plan.next_epoch();
        plan.remove_standby(&members);
        plan.groups.push(GroupPlan {
            name: format!("{service}-{epoch}"),
            service: service.to_owned(),
            model: shortage.model.name.to_string(),
            epoch,
            members,
            standby: false,
            surge: false,
        });
    }
}

/// The groups that a model has and lacks.
struct Shortage<'v> {
    model: &'v Model,
    wanted: usize,
    missing: usize,
    /// Groups by the data centre of their leader.
    per_data_centre: BTreeMap<String, usize>,
    /// Groups by the fabric domain of their leader.
    per_domain: BTreeMap<String, usize>,
}

impl<'v> Shortage<'v> {
    fn find(model: &'v Model, vms: &Vms<'_>, plan: &Plan) -> Self {
        let mut found = Self {
            model,
            wanted: wanted_groups(model, plan),
            missing: missing_groups(model, vms, plan),
            per_data_centre: BTreeMap::new(),
            per_domain: BTreeMap::new(),
        };
        let own = plan.groups.iter();
        for group in own.filter(|g| g.is_wanted() && *g.model == *model.name) {
            found.count_leader(vms, &group.members);
        }
        found
    }

    fn count_leader(&mut self, vms: &Vms<'_>, members: &[MemberPlan]) {
        let Some(leader) = members.first().and_then(|m| vms.get(m.id.as_str())) else {
            return;
        };
        let data_centre = leader.endpoint.data_centre.to_string();
        *self.per_data_centre.entry(data_centre).or_default() += 1;
        let domain = leader.endpoint.domain.to_string();
        *self.per_domain.entry(domain).or_default() += 1;
    }

    fn add_group(&mut self, vms: &Vms<'_>, members: &[MemberPlan]) {
        self.missing = self.missing.saturating_sub(1);
        self.count_leader(vms, members);
    }

    /// Returns the fraction of the wanted groups that is missing.
    fn fraction(&self) -> f64 {
        self.missing as f64 / self.wanted.max(1) as f64
    }
}

/// Fraction of a model's wanted groups that must be missing before a group may span
/// domains: such a group is slow, and takes spares from each of its domains.
const CROSS_DOMAIN_SHORTAGE: f64 = 1.0 / 3.0;

/// The VMs from which groups are formed.
struct Formation<'a, 'v> {
    vms: &'a Vms<'v>,
    free: FreeVms<'a, 'v>,
    eligibility: Eligibility,
}

impl Formation<'_, '_> {
    /// Returns members for a new group.
    ///
    /// They are in one domain if they have the weights or may load them. Otherwise they are
    /// in several domains, but only if the model lacks many groups.
    fn members_for(&self, shortage: &Shortage<'_>) -> Option<Vec<MemberPlan>> {
        let model = shortage.model;
        let has_weights = |m: &MemberPlan| self.vms[m.id.as_str()].has_staged(&model.name);
        let may_load = self.eligibility == Eligibility::Any;
        let in_domain = self.single_domain_members(shortage);
        let in_domain = in_domain.filter(|members| may_load || members.iter().all(has_weights));
        in_domain.or_else(|| match shortage.fraction() > CROSS_DOMAIN_SHORTAGE {
            true => self.cross_domain_members(model),
            false => None,
        })
    }

    /// Returns members that have the weights, starting with the domains that have the most.
    fn cross_domain_members(&self, model: &Model) -> Option<Vec<MemberPlan>> {
        let staged = self.free.iter().filter(|v| v.has_staged(&model.name));
        let mut staged: Vec<&VmView<'_>> = staged.collect();
        if staged.len() < model.group_size {
            return None;
        }
        let mut per_domain: BTreeMap<&str, usize> = BTreeMap::new();
        for vm in &staged {
            *per_domain.entry(&vm.endpoint.domain).or_default() += 1;
        }
        staged.sort_by_cached_key(|v| {
            let domain = &v.endpoint.domain;
            let count = per_domain[&**domain];
            (Reverse(count), domain.clone(), v.load_rank(&model.name))
        });
        Some(staged.iter().take(model.group_size).map(member).collect())
    }

    /// Returns members in one domain for a new group.
    ///
    /// Domains in which no host has to load the weights go first, then the domain and the
    /// data centre with the fewest groups of the model, so that few groups are lost with a
    /// domain.
    fn single_domain_members(&self, shortage: &Shortage<'_>) -> Option<Vec<MemberPlan>> {
        let model = shortage.model;
        let large_enough = self.free.domains();
        let large_enough = large_enough.filter(|(_, free)| free.len() >= model.group_size);
        let best = large_enough.min_by_key(|(domain, free)| {
            let staged = free.iter().filter(|v| v.has_staged(&model.name)).count();
            let unstaged = model.group_size.saturating_sub(staged);
            let data_centre = &*free[0].endpoint.data_centre;
            let groups = shortage.per_domain.get(*domain).copied().unwrap_or(0);
            let nearby = shortage.per_data_centre.get(data_centre).copied();
            (
                unstaged > 0,
                groups,
                nearby.unwrap_or(0),
                unstaged,
                Reverse(free.len()),
            )
        });
        let (domain, _) = best?;
        let mut free = self.free.in_domain(domain).to_vec();
        free.sort_by_key(|v| (v.load_rank(&model.name), &v.endpoint.id));
        Some(free[..model.group_size].iter().map(member).collect())
    }
}

/// Sorts groups by the number of members that still have to load the weights, surge groups
/// after wanted ones and standby groups last. As only few loads run at a time, groups become complete one after the other.
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
    sorted.sort_by_key(|g| (g.standby, g.surge, unstaged(g), g.epoch));
    sorted
}
