//! Repairs groups that lose members.

use super::free::{FreeVms, member};
use super::{Eligibility, VmView, Vms, surge};
use crate::catalog::Engine;
use crate::endpoint::EndpointPhase;
use crate::plan::{GroupPlan, MemberPlan, Plan};

/// Replaces lost, draining and slow members, and removes groups that can't be repaired.
pub(super) fn repair(
    engine: &Engine,
    service: &str,
    vms: &Vms<'_>,
    plan: &mut Plan,
    eligibility: Eligibility,
) {
    let mut index = 0;
    while index < plan.groups.len() {
        if plan.groups[index].service != service || !plan.groups[index].is_wanted() {
            index += 1;
            continue;
        }
        match find_repair(engine, vms, plan, index, eligibility) {
            Repair::Keep => index += 1,
            Repair::Replace(members) => {
                let epoch = plan.next_epoch();
                let group = &mut plan.groups[index];
                group.epoch = epoch;
                group.members.clone_from(&members);
                plan.remove_standby(&members);
                index = 0;
            }
            Repair::Remove => {
                plan.groups.remove(index);
            }
            Repair::Substitute(surge) => {
                plan.groups[surge].surge = false;
                plan.groups.remove(index);
            }
        }
    }
}

/// What happens to a group.
enum Repair {
    /// It stays as it is.
    Keep,
    /// It gets these members.
    Replace(Vec<MemberPlan>),
    /// It is removed from the plan.
    Remove,
    /// The surge group at this index takes its place, and its members become spares.
    Substitute(usize),
}

/// Decides how to repair the group at this index of the plan.
fn find_repair(
    engine: &Engine,
    vms: &Vms<'_>,
    plan: &Plan,
    index: usize,
    eligibility: Eligibility,
) -> Repair {
    let group = &plan.groups[index];
    if !engine.models.iter().any(|m| *m.name == *group.model) {
        return Repair::Remove;
    }
    let present = |m: &&MemberPlan| {
        let vm = vms.get(m.id.as_str());
        vm.is_some_and(|v| v.endpoint.incarnation == m.incarnation && !v.is_lost())
    };
    let stays = |m: &&MemberPlan| {
        let vm = vms.get(m.id.as_str());
        present(m) && vm.is_some_and(|v| v.endpoint.phase == EndpointPhase::Ready)
    };
    let listed = |m: &&MemberPlan| vms[m.id.as_str()].listed;
    let lost = group.members.iter().filter(|m| !present(m)).count();
    let mut kept: Vec<&MemberPlan> = group.members.iter().filter(stays).collect();
    // Only the leader gets requests, so the other members need no record while they answer.
    if kept.len() == group.members.len() && listed(&kept[0]) {
        return match without_slow(vms, plan, group) {
            Some(members) => Repair::Replace(members),
            None => Repair::Keep,
        };
    }
    // The planner can't see a VM without a record join the changed group.
    kept.retain(listed);
    let missing = group.members.len() - kept.len();
    let evacuated = kept.iter().any(|m| vms[m.id.as_str()].evacuated);
    let Some(anchor) = kept.first().filter(|_| !evacuated) else {
        return if lost > 0 {
            Repair::Remove
        } else {
            Repair::Keep
        };
    };
    let domain = &vms[anchor.id.as_str()].endpoint.domain;
    let spares = spares_for(vms, plan, domain, &group.model, eligibility);
    let nearby = |v: &&&VmView<'_>| v.endpoint.domain == *domain && v.has_staged(&group.model);
    if spares.iter().filter(nearby).count() < missing
        && let Some(substitute) = surge::find_complete(vms, plan, group, domain)
    {
        return Repair::Substitute(substitute);
    }
    if spares.len() < missing {
        let leader_leaves = group.members[0].id != anchor.id;
        let may_stay = lost == 0 && !leader_leaves;
        return if may_stay {
            Repair::Keep
        } else {
            Repair::Remove
        };
    }
    let mut members: Vec<MemberPlan> = kept.into_iter().cloned().collect();
    members.extend(spares.iter().take(missing).map(member));
    Repair::Replace(members)
}

/// Returns the members with spares in place of the slow ones, or `None` if no member is
/// slow or the domain has too few spares that aren't slow themselves.
fn without_slow(vms: &Vms<'_>, plan: &Plan, group: &GroupPlan) -> Option<Vec<MemberPlan>> {
    let is_slow = |m: &&MemberPlan| vms[m.id.as_str()].is_slow();
    let slow = group.members.iter().filter(is_slow).count();
    if slow == 0 {
        return None;
    }
    let mut members: Vec<MemberPlan> = group
        .members
        .iter()
        .filter(|m| !is_slow(m))
        .cloned()
        .collect();
    let domain = &vms[members.first()?.id.as_str()].endpoint.domain;
    let mut spares = spares_for(vms, plan, domain, &group.model, Eligibility::Staged);
    spares.retain(|v| v.endpoint.domain == *domain && !v.is_slow() && !v.is_loading());
    if spares.len() < slow || members.iter().any(|m| !vms[m.id.as_str()].listed) {
        return None;
    }
    members.extend(spares.iter().take(slow).map(member));
    Some(members)
}

/// Returns the VMs that can replace a member, best first.
///
/// VMs of the domain that have the weights go first, then VMs of other domains that have
/// them, then the rest of the domain. A cross-domain group is slower, but a load takes
/// longer than most interruptions may last. Slow VMs go last.
fn spares_for<'a, 'v>(
    vms: &'a Vms<'v>,
    plan: &Plan,
    domain: &str,
    model: &str,
    eligibility: Eligibility,
) -> Vec<&'a VmView<'v>> {
    let rank = |v: &&VmView<'_>| {
        let other_domain = *v.endpoint.domain != *domain;
        let unstaged = !v.has_staged(model);
        (
            v.is_slow(),
            unstaged,
            v.is_loading(),
            other_domain,
            v.load_rank(model),
            !v.endpoint.cold_remaining.is_zero(),
            v.endpoint.id.clone(),
        )
    };
    let may_load =
        |v: &VmView<'_>| eligibility == Eligibility::Any && *v.endpoint.domain == *domain;
    let fits = |v: &&VmView<'_>| v.has_staged(model) || may_load(v);
    let free = FreeVms::find(vms, plan);
    let mut spares: Vec<&VmView<'_>> = free.iter().filter(fits).collect();
    spares.sort_by_key(rank);
    spares
}
