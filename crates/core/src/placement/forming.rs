//! Forming, scaling and mending groups from spare VMs.

use std::collections::{BTreeMap, HashSet};

use smallvec::SmallVec;

use super::Planner;
use super::input::PlanInput;
use crate::allocation::{Allocation, Group, GroupNumber, GroupPhase, Member, Replacement};
use crate::deployment::Workload;
use crate::ids::{DomainName, VmName};
use crate::vm::{VmPhase, VmRecord};

/// A VM that belongs to no group and may be used.
#[derive(Clone, Debug)]
pub(super) struct Spare {
    member: Member,
    domain: DomainName,
}

impl Planner {
    pub(super) fn spares(&self, situation: &PlanInput<'_>, next: &Allocation) -> Vec<Spare> {
        let held: HashSet<&VmName> = next
            .groups
            .iter()
            .flat_map(Group::vms)
            .map(|m| &m.vm)
            .chain(next.settling.iter().map(|s| &s.vm))
            .collect();
        let usable = |r: &&VmRecord| {
            r.data_centre == next.data_centre
                && !r.leaving
                && !held.contains(&r.vm)
                && situation
                    .status(&r.vm)
                    .is_some_and(|s| s.phase == VmPhase::Empty)
        };
        let spare = |r: &VmRecord| Spare {
            member: Member {
                vm: r.vm.clone(),
                address: r.address,
            },
            domain: r.domain.clone(),
        };
        situation.vms.iter().filter(usable).map(spare).collect()
    }

    /// Picks a spare for each dead or leaving member, for groups with dead ones
    /// first. Groups with either are out of use until they are mended.
    pub(super) fn replace_members(
        &self,
        situation: &PlanInput<'_>,
        next: &mut Allocation,
        spares: &mut Vec<Spare>,
    ) {
        for dead_first in [true, false] {
            for group in &mut next.groups {
                if group.phase == GroupPhase::Draining {
                    continue;
                }
                let must_go = |m: &Member| match dead_first {
                    true => self.is_dead(situation.now, &m.vm),
                    false => self.leaving.contains(&m.vm),
                };
                for rank in 0..group.members.len() {
                    let replaced = group.replacements.iter().any(|r| r.rank as usize == rank);
                    if replaced || !must_go(&group.members[rank]) {
                        continue;
                    }
                    if let Some(member) = take_spare(spares, group.domain.as_ref()) {
                        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
                        group.replacements.push(Replacement { rank, member });
                    } else if fits_elsewhere(spares, group) {
                        // Its domain cannot mend it, another can form it anew.
                        begin_draining(group);
                        break;
                    }
                }
            }
        }
    }

    /// Brings the number of groups of each workload to what is declared.
    pub(super) fn scale(
        &self,
        situation: &PlanInput<'_>,
        next: &mut Allocation,
        spares: &mut Vec<Spare>,
    ) {
        for group in &mut next.groups {
            if !situation.deployment.workloads.contains_key(&group.workload) {
                begin_draining(group);
            }
        }
        for workload in situation.deployment.workloads.values() {
            self.scale_workload(situation, next, spares, workload);
        }
    }

    fn scale_workload(
        &self,
        situation: &PlanInput<'_>,
        next: &mut Allocation,
        spares: &mut Vec<Spare>,
        workload: &Workload,
    ) {
        let wanted = workload
            .replicas
            .get(&next.data_centre)
            .copied()
            .unwrap_or(0) as usize;
        let kept = |g: &&Group| g.workload == workload.name && g.phase != GroupPhase::Draining;
        let total = next.groups.iter().filter(kept).count();
        let current = |g: &&Group| kept(g) && g.version == workload.version;
        let old = total - next.groups.iter().filter(current).count();
        let forming = next
            .groups
            .iter()
            .filter(current)
            .any(|g| !situation.is_serving(g));
        let draining = next
            .groups
            .iter()
            .any(|g| g.workload == workload.name && g.phase == GroupPhase::Draining);
        if total < wanted {
            for _ in total..wanted {
                if !form_group(next, spares, workload) {
                    break;
                }
            }
            return;
        }
        if total > wanted && !(old > 0 && forming) {
            for _ in wanted..total {
                drain_one(situation, next, workload);
            }
            return;
        }
        let may_roll = old > 0 && !forming && !draining && total == wanted;
        if may_roll && !form_group(next, spares, workload) {
            drain_one(situation, next, workload);
        }
    }
}

fn begin_draining(group: &mut Group) {
    group.phase = GroupPhase::Draining;
}

/// Takes a spare, from the given fabric domain if there is one.
fn take_spare(spares: &mut Vec<Spare>, domain: Option<&DomainName>) -> Option<Member> {
    let at = match domain {
        Some(domain) => spares.iter().position(|s| s.domain == *domain)?,
        None => (!spares.is_empty()).then_some(0)?,
    };
    Some(spares.remove(at).member)
}

/// Whether the spares of one fabric domain, other than the group's own, are
/// enough for a group of this size.
fn fits_elsewhere(spares: &[Spare], group: &Group) -> bool {
    let count = |domain: &DomainName| spares.iter().filter(|s| s.domain == *domain).count();
    let others = spares
        .iter()
        .filter(|s| group.domain.as_ref() != Some(&s.domain));
    others
        .map(|s| &s.domain)
        .any(|domain| count(domain) >= group.members.len())
}

/// Forms a group in the domain that it fits best, or across domains if it
/// fits in none; returns whether there were enough spares.
fn form_group(next: &mut Allocation, spares: &mut Vec<Spare>, workload: &Workload) -> bool {
    let size = workload.vms as usize;
    if spares.len() < size {
        return false;
    }
    let mut free: BTreeMap<&DomainName, usize> = BTreeMap::new();
    for spare in spares.iter() {
        *free.entry(&spare.domain).or_default() += 1;
    }
    let fitting = free.into_iter().filter(|(_, count)| *count >= size);
    let domain = fitting
        .min_by_key(|(_, count)| *count)
        .map(|(domain, _)| domain.clone());
    let members: SmallVec<[Member; 4]> = (0..size)
        .filter_map(|_| take_spare(spares, domain.as_ref()))
        .collect();
    let composition = next.next_fencing_token();
    let number = GroupNumber(next.next_group);
    next.next_group += 1;
    next.groups.push(Group {
        number,
        workload: workload.name.clone(),
        version: workload.version.clone(),
        domain,
        composition,
        members,
        phase: GroupPhase::Active,
        replacements: SmallVec::new(),
    });
    true
}

/// Drains the group that is missed least: old versions first, then groups that
/// do not serve, then the youngest.
fn drain_one(situation: &PlanInput<'_>, next: &mut Allocation, workload: &Workload) {
    let candidates = next
        .groups
        .iter_mut()
        .filter(|g| g.workload == workload.name && g.phase != GroupPhase::Draining);
    let least = candidates.min_by_key(|g| {
        let current = g.version == workload.version;
        (
            current,
            situation.is_serving(g),
            std::cmp::Reverse(g.number),
        )
    });
    if let Some(group) = least {
        begin_draining(group);
    }
}
