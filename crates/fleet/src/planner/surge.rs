//! Forms groups of spares, in addition to the wanted groups, while demand is high.
//!
//! Invariants:
//!
//! - A surge group is in one fabric domain, and its members had the weights when it was
//!   formed, so that it opens as fast as spares join.
//! - It leaves two spares for each other model with a group in its domain, unless that model
//!   has none there anyway. It may take all of its own model, for which it stands in itself.
//! - It isn't wanted: it doesn't count as missing when it is lost, and it is given up when
//!   it loses a member.
//! - It stays when demand falls, until a wanted group needs it. So demand that swings
//!   changes no group.
//!
//! A model's share of the VMs is fixed by configuration, and the spares of each domain
//! would idle through the bursts of `docs/HARD-LOAD.md`. See `docs/design/demand.md`.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::consolidate::is_open;
use super::free::{FreeVms, member, missing_groups, present_groups, wanted_groups};
use super::{VmView, Vms};
use crate::catalog::{Engine, Model};
use crate::demand::Demand;
use crate::endpoint::EndpointPhase;
use crate::plan::{GroupPlan, MemberPlan, Plan};

/// Fraction of the slots of a model's open groups that demand may use before a surge group
/// is formed. Bursts of the deployments are up to 1.8 times the mean, which fits then.
const SURGE_DEMAND: f64 = 0.5;

/// Spares of a domain that stay loaded for each other model with a group there. Two members
/// may be lost before a new VM has loaded weights, and a large group that can't replace one
/// loses more slots than a surge group adds.
const RESERVED_SPARES: usize = 2;

/// Removes the surge groups that lost a member. Their other members become spares: a wanted
/// group may need these more.
pub(super) fn give_up_broken(engine: &Engine, service: &str, vms: &Vms<'_>, plan: &mut Plan) {
    let is_broken = |g: &GroupPlan| {
        let known = engine.models.iter().any(|m| *m.name == *g.model);
        !known || !is_whole(vms, g)
    };
    plan.groups
        .retain(|g| !g.surge || g.service != service || !is_broken(g));
}

/// Removes the surge groups whose members a missing wanted group of another model needs: those
/// of a domain that has too few free VMs for it, but enough with the members of surge groups.
pub(super) fn make_way(engine: &Engine, service: &str, vms: &Vms<'_>, plan: &mut Plan) {
    if !plan.groups.iter().any(|g| g.surge) {
        return;
    }
    for model in &engine.models {
        let is_other = |g: &GroupPlan| g.surge && g.service == service && *g.model != *model.name;
        for _ in 0..missing_groups(model, vms, plan) {
            let free = FreeVms::find(vms, plan);
            if free
                .domains()
                .any(|(_, free)| free.len() >= model.group_size)
            {
                break;
            }
            let mut members: BTreeMap<&str, usize> = BTreeMap::new();
            for group in plan.groups.iter().filter(|g| is_other(g)) {
                let leader = group.members.first().and_then(|m| vms.get(m.id.as_str()));
                if let Some(leader) = leader {
                    *members.entry(&*leader.endpoint.domain).or_default() += group.members.len();
                }
            }
            let sums = members.into_iter();
            let sums = sums.map(|(domain, count)| (count + free.in_domain(domain).len(), domain));
            let Some((_, domain)) = sums.max().filter(|(sum, _)| *sum >= model.group_size) else {
                break;
            };
            let mut needed = model.group_size - free.in_domain(domain).len();
            while needed > 0 {
                let newest = plan
                    .groups
                    .iter()
                    .rposition(|g| is_other(g) && is_in_domain(vms, g, domain));
                let Some(newest) = newest else {
                    break;
                };
                let removed = plan.groups.remove(newest);
                needed = needed.saturating_sub(removed.members.len());
            }
        }
    }
}

/// Returns whether every member of a group works and its leader gets requests.
fn is_whole(vms: &Vms<'_>, group: &GroupPlan) -> bool {
    let works = |m: &MemberPlan| {
        vms.get(m.id.as_str()).is_some_and(|v| {
            v.endpoint.incarnation == m.incarnation
                && !v.is_lost()
                && v.endpoint.phase == EndpointPhase::Ready
        })
    };
    let listed = |m: &MemberPlan| vms.get(m.id.as_str()).is_some_and(|v| v.listed);
    group.members.iter().all(works) && group.members.first().is_some_and(listed)
}

fn is_evacuated(vms: &Vms<'_>, group: &GroupPlan) -> bool {
    let mut members = group.members.iter();
    members.any(|m| vms.get(m.id.as_str()).is_some_and(|v| v.evacuated))
}

/// Returns whether a group spans no other domain than this one.
fn is_in_domain(vms: &Vms<'_>, group: &GroupPlan, domain: &str) -> bool {
    let mut members = group.members.iter();
    members.all(|m| {
        vms.get(m.id.as_str())
            .is_some_and(|v| *v.endpoint.domain == *domain)
    })
}

/// Returns the index in the plan of a surge group in a domain that can take the place of
/// `group`.
///
/// Exchanging the two needs no order to the surge group, and leaves the other members of
/// `group` as spares. A member that is taken out of the surge group instead would join
/// only after the surge group has finished its requests, and both would be closed meanwhile.
pub(super) fn find_complete(
    vms: &Vms<'_>,
    plan: &Plan,
    group: &GroupPlan,
    domain: &str,
) -> Option<usize> {
    plan.groups.iter().position(|g| {
        g.surge
            && g.service == group.service
            && g.model == group.model
            && is_whole(vms, g)
            && is_in_domain(vms, g, domain)
    })
}

/// Makes surge groups wanted ones where wanted groups are missing, the oldest first. Their
/// VMs need no order for it.
pub(super) fn adopt(engine: &Engine, service: &str, vms: &Vms<'_>, plan: &mut Plan) {
    if !plan.groups.iter().any(|g| g.surge) {
        return;
    }
    for model in &engine.models {
        let missing = missing_groups(model, vms, plan);
        let complete = plan.groups.iter_mut().filter(|g| {
            g.surge
                && g.service == service
                && *g.model == *model.name
                && is_whole(vms, g)
                && !is_evacuated(vms, g)
        });
        complete.take(missing).for_each(|g| g.surge = false);
    }
}

/// Makes the groups of a model in excess of its wanted number surge groups. They took the
/// place of groups in a data centre that is back in service, and hold the spares that the
/// groups of their domains need for repairs. Those in the domains with the most groups of
/// the model go first.
pub(super) fn mark_excess(engine: &Engine, service: &str, vms: &Vms<'_>, plan: &mut Plan) {
    for model in &engine.models {
        let present = present_groups(model, vms, plan);
        for _ in wanted_groups(model, plan)..present {
            let own =
                |g: &&GroupPlan| g.is_wanted() && g.service == service && *g.model == *model.name;
            let domain_of = |g: &GroupPlan| {
                let leader = vms.get(g.members[0].id.as_str());
                let domain = leader.map(|v| &*v.endpoint.domain)?;
                let usable = is_whole(vms, g) && !is_evacuated(vms, g);
                (usable && is_in_domain(vms, g, domain)).then_some(domain)
            };
            let mut per_domain: BTreeMap<&str, usize> = BTreeMap::new();
            for domain in plan.groups.iter().filter(own).filter_map(domain_of) {
                *per_domain.entry(domain).or_default() += 1;
            }
            let groups = plan.groups.iter().enumerate().filter(|(_, g)| own(g));
            let groups = groups.filter_map(|(i, g)| Some((per_domain[domain_of(g)?], g.epoch, i)));
            let Some((.., excess)) = groups.max() else {
                break;
            };
            plan.groups[excess].surge = true;
        }
    }
}

/// Forms as many surge groups as the demand calls for and the spares allow, those of the
/// model with the highest demand for its slots first.
pub(super) fn form(
    engine: &Engine,
    service: &str,
    vms: &Vms<'_>,
    plan: &mut Plan,
    demand: &Demand,
) {
    let slots = f64::from(engine.slots.max(1));
    let mut calls: Vec<(f64, usize, &Model)> = Vec::new();
    for model in &engine.models {
        let own = |g: &&GroupPlan| g.service == service && *g.model == *model.name;
        let usable = |g: &&GroupPlan| is_whole(vms, g) && !is_evacuated(vms, g);
        // A surge group opens within a second. A wanted group may load weights for longer.
        let serves = |g: &&GroupPlan| !g.standby && (g.surge || is_open(vms, g));
        let groups = plan.groups.iter().filter(own).filter(serves);
        let groups = groups.filter(usable).count();
        let needed = (demand.in_flight(&model.name) / (slots * SURGE_DEMAND)).ceil() as usize;
        if needed > groups {
            calls.push((needed as f64 / groups.max(1) as f64, needed - groups, model));
        }
    }
    if calls.is_empty() {
        return;
    }
    calls.sort_by(|(a, ..), (b, ..)| b.total_cmp(a));
    let mut formation = SurgeFormation {
        engine,
        present: GroupModels::find(engine, service, vms, plan),
        free: FreeVms::find(vms, plan),
        surges: count_surges(service, vms, plan),
    };
    for (_, count, model) in calls {
        let others = engine.models.iter().filter(|m| m.name != model.name);
        let missing = others.filter(|m| missing_groups(m, vms, plan) > 0);
        let smallest_missing = missing.map(|m| m.group_size).min();
        for _ in 0..count {
            let Some((domain, members)) = formation.find_members(model, smallest_missing) else {
                break;
            };
            formation.free.take(vms, &members);
            *formation.surges.entry(domain).or_default() += 1;
            let epoch = plan.next_epoch();
            plan.remove_standby(&members);
            plan.groups.push(GroupPlan {
                name: format!("{service}-{epoch}"),
                service: service.to_owned(),
                model: model.name.to_string(),
                epoch,
                members,
                standby: false,
                surge: true,
            });
        }
    }
}

/// Returns the number of surge groups in each domain.
fn count_surges<'v>(service: &str, vms: &Vms<'v>, plan: &Plan) -> BTreeMap<&'v str, usize> {
    let mut counts = BTreeMap::new();
    let own = plan.groups.iter();
    for group in own.filter(|g| g.surge && g.service == service) {
        let leader = group.members.first().and_then(|m| vms.get(m.id.as_str()));
        if let Some(leader) = leader {
            *counts.entry(&*leader.endpoint.domain).or_default() += 1;
        }
    }
    counts
}

/// What surge groups are formed of.
struct SurgeFormation<'a, 'v> {
    engine: &'a Engine,
    present: GroupModels<'a>,
    free: FreeVms<'a, 'v>,
    /// Number of surge groups by domain.
    surges: BTreeMap<&'a str, usize>,
}

impl<'a> SurgeFormation<'a, '_> {
    /// Returns members of a surge group, which are spares of one domain that have the weights.
    /// `smallest_missing` is the smallest size of another model's missing group.
    ///
    /// Domains that keep a spare of the model go first, then those with the fewest surge
    /// groups, so that few are lost with a domain.
    fn find_members(
        &self,
        model: &Model,
        smallest_missing: Option<usize>,
    ) -> Option<(&'a str, Vec<MemberPlan>)> {
        let candidates = self.free.domains().filter_map(|(domain, free)| {
            // The missing group could be formed of these.
            if smallest_missing.is_some_and(|needed| free.len() >= needed) {
                return None;
            }
            let fits = |v: &&VmView<'_>| {
                v.load_rank(&model.name) == 0
                    && v.has_staged(&model.name)
                    && !v.is_slow()
                    && !v.is_loading()
            };
            let mut spares: Vec<&VmView<'_>> = free.iter().copied().filter(fits).collect();
            spares.sort_by_key(|v| (v.endpoint.staged.len(), &v.endpoint.id));
            let (taken, kept) = spares.split_at_checked(model.group_size)?;
            let is_taken = |v: &VmView<'_>| taken.iter().any(|t| t.endpoint.id == v.endpoint.id);
            let others = self.engine.models.iter().filter(|m| m.name != model.name);
            let mut here = others.filter(|m| self.present.has(domain, &m.name));
            let lacks_reserve = here.any(|other| {
                let spares = free.iter().filter(|v| v.has_staged(&other.name));
                let left = spares.clone().filter(|v| !is_taken(v)).count();
                left < RESERVED_SPARES && spares.count() > 0
            });
            if lacks_reserve {
                return None;
            }
            let surges = self.surges.get(domain).copied().unwrap_or(0);
            let rank = (kept.is_empty(), surges, Reverse(free.len()), domain);
            Some((rank, taken.iter().map(member).collect()))
        });
        let best = candidates.min_by_key(|(rank, _)| *rank);
        best.map(|((.., domain), members)| (domain, members))
    }
}

/// The models that have a member of a wanted group in each domain.
struct GroupModels<'a>(BTreeMap<&'a str, SmallVec<[&'a str; 2]>>);

impl<'a> GroupModels<'a> {
    fn find(engine: &'a Engine, service: &str, vms: &Vms<'a>, plan: &Plan) -> Self {
        let mut models: BTreeMap<&str, SmallVec<[&str; 2]>> = BTreeMap::new();
        let wanted = plan.groups.iter();
        for group in wanted.filter(|g| g.is_wanted() && g.service == service) {
            let Some(model) = engine.models.iter().find(|m| *m.name == *group.model) else {
                continue;
            };
            for vm in group.members.iter().filter_map(|m| vms.get(m.id.as_str())) {
                let known = models.entry(&vm.endpoint.domain).or_default();
                if !known.contains(&&*model.name) {
                    known.push(&model.name);
                }
            }
        }
        Self(models)
    }

    fn has(&self, domain: &str, model: &str) -> bool {
        self.0.get(domain).is_some_and(|m| m.contains(&model))
    }
}

/// Numbers of spares, by domain and model, that leave room for a surge group.
#[derive(Default)]
pub(super) struct SpareTargets(BTreeMap<(String, String), usize>);

impl SpareTargets {
    /// Finds the targets of every domain: the rest beside [`RESERVED_SPARES`] for the model
    /// with the smallest group if it makes up a whole one, and at least one spare for each
    /// model that has a group there.
    pub(super) fn find(engine: &Engine, service: &str, vms: &Vms<'_>, plan: &Plan) -> Self {
        let mut targets = Self::default();
        let Some(smallest) = engine.models.iter().min_by_key(|m| m.group_size) else {
            return targets;
        };
        let present = GroupModels::find(engine, service, vms, plan);
        for (domain, free) in FreeVms::find(vms, plan).domains() {
            let here = engine
                .models
                .iter()
                .filter(|m| present.has(domain, &m.name));
            let others = here.clone().filter(|m| m.name != smallest.name).count();
            for model in here {
                targets.set(domain, model, 1);
            }
            let rest = free.len().saturating_sub(others * RESERVED_SPARES);
            if rest >= smallest.group_size {
                targets.set(domain, smallest, rest);
            }
        }
        targets
    }

    fn set(&mut self, domain: &str, model: &Model, count: usize) {
        let key = (domain.to_owned(), model.name.to_string());
        self.0.insert(key, count);
    }

    pub(super) fn of(&self, domain: &str, model: &str) -> usize {
        let key = (domain.to_owned(), model.to_owned());
        self.0.get(&key).copied().unwrap_or(0)
    }
}
