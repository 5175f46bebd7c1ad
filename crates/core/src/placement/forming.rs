//! Forming, scaling and repair of groups from spare VMs.

use std::collections::{BTreeMap, HashSet};

use smallvec::SmallVec;

use super::Planner;
use super::input::PlanInput;
use crate::allocation::{Allocation, Group, GroupNumber, GroupPhase, Member, Replacement};
use crate::deployment::Workload;
use crate::ids::{DomainName, VmName};
use crate::vm::{VmPhase, VmRecord};

/// An empty VM that belongs to no group and may be used.
#[derive(Clone, Debug)]
pub(super) struct Spare {
    member: Member,
    domain: DomainName,
}

impl Planner {
    /// Returns the spare VMs of the data centre.
    pub(super) fn spares(&self, input: &PlanInput<'_>, next: &Allocation) -> Vec<Spare> {
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
                && input
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
        input.vms.iter().filter(usable).map(spare).collect()
    }

    /// Picks a spare as replacement for each dead or leaving member.
    ///
    /// Dead members come first. A group with dead or leaving members takes no
    /// requests until they have been replaced. A group whose own domain has no
    /// spare left is drained if another domain has enough spares to form it
    /// anew.
    pub(super) fn replace_members(
        &self,
        input: &PlanInput<'_>,
        next: &mut Allocation,
        spares: &mut Vec<Spare>,
    ) {
        for replace_dead in [true, false] {
            for group in &mut next.groups {
                if group.phase == GroupPhase::Draining {
                    continue;
                }
                let needs_replacement = |m: &Member| match replace_dead {
                    true => self.is_dead(input.now, &m.vm),
                    false => self.leaving.contains(&m.vm),
                };
                for rank in 0..group.members.len() {
                    let replaced = group.replacements.iter().any(|r| r.rank as usize == rank);
                    if replaced || !needs_replacement(&group.members[rank]) {
                        continue;
                    }
                    if let Some(member) = take_spare(spares, group.domain.as_ref()) {
                        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
                        group.replacements.push(Replacement { rank, member });
                    } else if fits_other_domain(spares, group) {
                        begin_draining(group);
                        break;
                    }
                }
            }
        }
    }

    /// Adjusts the number and the version of the groups of each workload to the
    /// declared ones.
    pub(super) fn scale(
        &self,
        input: &PlanInput<'_>,
        next: &mut Allocation,
        spares: &mut Vec<Spare>,
    ) {
        for group in &mut next.groups {
            if !input.deployment.workloads.contains_key(&group.workload) {
                begin_draining(group);
            }
        }
        for workload in input.deployment.workloads.values() {
            self.scale_workload(input, next, spares, workload);
        }
    }

    /// Forms or drains groups of one workload.
    ///
    /// A new version is rolled out one group at a time: a group of the new
    /// version is formed first and must serve before an old one is drained. If
    /// there are not enough spares for it, an old group is drained first.
    fn scale_workload(
        &self,
        input: &PlanInput<'_>,
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
            .any(|g| !input.is_serving(g));
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
                drain_one(input, next, workload);
            }
            return;
        }
        let may_roll = old > 0 && !forming && !draining && total == wanted;
        if may_roll && !form_group(next, spares, workload) {
            drain_one(input, next, workload);
        }
    }
}

fn begin_draining(group: &mut Group) {
    group.phase = GroupPhase::Draining;
}

/// Removes and returns a spare, of the given fabric domain if one is given.
fn take_spare(spares: &mut Vec<Spare>, domain: Option<&DomainName>) -> Option<Member> {
    let at = match domain {
        Some(domain) => spares.iter().position(|s| s.domain == *domain)?,
        None => (!spares.is_empty()).then_some(0)?,
    };
    Some(spares.remove(at).member)
}

/// Returns whether a fabric domain other than the group's own has enough spares
/// for a group of the same size.
fn fits_other_domain(spares: &[Spare], group: &Group) -> bool {
    let count = |domain: &DomainName| spares.iter().filter(|s| s.domain == *domain).count();
    let others = spares
        .iter()
        .filter(|s| group.domain.as_ref() != Some(&s.domain));
    others
        .map(|s| &s.domain)
        .any(|domain| count(domain) >= group.members.len())
}

/// Forms a group in the domain that it fits best, or across domains if no
/// domain has enough spares; returns whether there were enough in all.
///
/// The best domain is the one with the fewest sufficient spares, which leaves
/// larger domains for larger groups.
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

/// Drains the least useful group of a workload: one of an old version first,
/// then one that does not serve, then the newest.
fn drain_one(input: &PlanInput<'_>, next: &mut Allocation, workload: &Workload) {
    let candidates = next
        .groups
        .iter_mut()
        .filter(|g| g.workload == workload.name && g.phase != GroupPhase::Draining);
    let least_useful = candidates.min_by_key(|g| {
        let current = g.version == workload.version;
        (current, input.is_serving(g), std::cmp::Reverse(g.number))
    });
    if let Some(group) = least_useful {
        begin_draining(group);
    }
}
