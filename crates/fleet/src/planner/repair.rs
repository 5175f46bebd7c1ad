//! Groups that lose members.

use super::formation::{free, member};
use super::{VmView, Vms, Weights};
use crate::catalog::Engine;
use crate::endpoint::EndpointPhase;
use crate::plan::{GroupPlan, MemberPlan, Plan};

/// Replaces lost and leaving members, or gives up groups that can't be mended.
pub(super) fn repair(
    engine: &Engine,
    service: &str,
    vms: &Vms<'_>,
    plan: &mut Plan,
    weights: Weights,
) {
    let mut index = 0;
    while index < plan.groups.len() {
        if plan.groups[index].service != service || plan.groups[index].standby {
            index += 1;
            continue;
        }
        match mend(engine, vms, plan, index, weights) {
            Mended::Kept => index += 1,
            Mended::Replaced(members) => {
                let epoch = plan.next_epoch();
                let group = &mut plan.groups[index];
                group.epoch = epoch;
                group.members.clone_from(&members);
                plan.remove_standby(&members);
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
    let listed = |m: &&MemberPlan| vms[m.id.as_str()].listed;
    let lost = group.members.iter().filter(|m| !present(m)).count();
    let mut kept: Vec<&MemberPlan> = group.members.iter().filter(stays).collect();
    // Only the head gets requests: the others needn't have a record while they answer.
    if kept.len() == group.members.len() && listed(&kept[0]) {
        return match without_slow(vms, plan, group) {
            Some(members) => Mended::Replaced(members),
            None => Mended::Kept,
        };
    }
    // Without a record nobody sees a VM join.
    kept.retain(listed);
    let missing = group.members.len() - kept.len();
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

/// Returns members without the slow ones, if there are spares for all of them in the
/// domain that are not slow themselves.
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
    let mut spares = spares_for(vms, plan, domain, &group.model, Weights::Loaded);
    spares.retain(|v| v.endpoint.domain == *domain && !v.is_slow() && !v.is_loading());
    if spares.len() < slow || members.iter().any(|m| !vms[m.id.as_str()].listed) {
        return None;
    }
    members.extend(spares.iter().take(slow).map(member));
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
            v.is_slow(),
            unstaged,
            v.is_loading(),
            far,
            v.distance_to(model),
            !v.endpoint.cold_remaining.is_zero(),
        )
    };
    let may_load = |v: &VmView<'_>| weights == Weights::Any && *v.endpoint.domain == *domain;
    let fits = |v: &&VmView<'_>| v.has_staged(model) || may_load(v);
    let mut spares: Vec<&VmView<'_>> = free(vms, plan).into_iter().filter(fits).collect();
    spares.sort_by_key(rank);
    spares
}
