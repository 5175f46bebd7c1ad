//! Orders to endpoints, from what differs between allocation and reports.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::Planner;
use super::input::{PlanInput, has_weights};
use crate::allocation::{Group, GroupNumber, GroupPhase, Member, Replacement};
use crate::ids::{FencingToken, VersionName, VmName, WorkloadName};
use crate::time::Time;
use crate::vm::VmPhase;

/// What an endpoint is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum OrderKind {
    /// Load the weights of one rank.
    Load {
        /// Workload to load.
        workload: WorkloadName,
        /// Version to load.
        version: VersionName,
        /// Place within the group.
        rank: u32,
    },
    /// Become a member of a group, with the weights that are loaded.
    Join {
        /// Group to join.
        group: GroupNumber,
        /// Composition of the group that the members form.
        composition: FencingToken,
        /// Place within the group.
        rank: u32,
        /// Every member by rank.
        members: SmallVec<[Member; 4]>,
    },
    /// Unload everything.
    Release,
}

/// An order to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Order {
    /// VM that the order is for.
    pub vm: VmName,
    /// Fencing number: endpoints that check it refuse lower ones.
    pub fencing: FencingToken,
    /// What to do.
    #[serde(flatten)]
    pub kind: OrderKind,
}

impl Planner {
    /// Derives orders from what differs between the allocation and the reports.
    pub(super) fn orders(&mut self, situation: &PlanInput<'_>) -> Vec<(Member, Order)> {
        let allocation = situation.allocation;
        let mut orders = Vec::new();
        let mut loads = Vec::new();
        for group in &allocation.groups {
            if group.phase == GroupPhase::Draining {
                continue;
            }
            for (rank, member) in (0u32..).zip(&group.members) {
                match member_order(situation, group, rank, member) {
                    Some(kind @ OrderKind::Load { .. }) => {
                        loads.push((missing(situation, group), member.clone(), kind));
                    }
                    Some(kind) => orders.push((member.clone(), kind)),
                    None => {}
                }
            }
            for Replacement { rank, member } in &group.replacements {
                if let Some(kind) = load_order(situation, group, *rank, member) {
                    loads.push((missing(situation, group), member.clone(), kind));
                }
            }
        }
        let loading = situation
            .vms
            .iter()
            .filter_map(|r| situation.status(&r.vm))
            .filter(|s| s.phase == VmPhase::Loading)
            .count();
        loads.sort_by_key(|(missing, member, _)| (*missing, member.vm.clone()));
        let room = self.settings.max_loads.saturating_sub(loading);
        let chosen = loads.into_iter().take(room);
        orders.extend(chosen.map(|(_, member, kind)| (member, kind)));
        orders.extend(releases(situation));
        self.due(situation.now, allocation.fencing, orders)
    }

    /// Leaves out orders that were given a moment ago.
    fn due(
        &mut self,
        now: Time,
        fencing: FencingToken,
        orders: Vec<(Member, OrderKind)>,
    ) -> Vec<(Member, Order)> {
        let mut due = Vec::new();
        for (member, kind) in orders {
            let recent = self
                .ordered
                .get(&member.vm)
                .is_some_and(|at| now.since(*at) < self.settings.repeat_interval);
            if recent {
                continue;
            }
            self.ordered.insert(member.vm.clone(), now);
            let vm = member.vm.clone();
            due.push((member, Order { vm, fencing, kind }));
        }
        due
    }

    /// Allows the next order to a VM at once, since it answered the last one.
    pub fn on_order_done(&mut self, vm: &VmName) {
        self.ordered.remove(vm);
    }
}

/// Members of a group that have not loaded their weights.
fn missing(situation: &PlanInput<'_>, group: &Group) -> usize {
    group
        .members
        .iter()
        .filter(|m| !situation.is_loaded(&m.vm, group))
        .count()
}

fn member_order(
    situation: &PlanInput<'_>,
    group: &Group,
    rank: u32,
    member: &Member,
) -> Option<OrderKind> {
    let status = situation.status(&member.vm)?;
    if let Some(load) = load_order(situation, group, rank, member) {
        return Some(load);
    }
    let joined = status.phase == VmPhase::Ready
        && status.group == Some(group.number)
        && status.composition == group.composition
        && status.rank == rank;
    if joined || status.phase == VmPhase::Loading {
        return None;
    }
    let (composition, members) = (group.composition, group.members.clone());
    Some(OrderKind::Join {
        group: group.number,
        composition,
        rank,
        members,
    })
}

fn load_order(
    situation: &PlanInput<'_>,
    group: &Group,
    rank: u32,
    member: &Member,
) -> Option<OrderKind> {
    let status = situation.status(&member.vm)?;
    if has_weights(status, group) && status.phase != VmPhase::Empty {
        return None;
    }
    let (workload, version) = (group.workload.clone(), group.version.clone());
    Some(OrderKind::Load {
        workload,
        version,
        rank,
    })
}

/// Orders to VMs that hold weights without belonging to a group.
fn releases(situation: &PlanInput<'_>) -> Vec<(Member, OrderKind)> {
    let allocation = situation.allocation;
    let held: HashSet<&VmName> = allocation
        .groups
        .iter()
        .flat_map(Group::vms)
        .map(|m| &m.vm)
        .collect();
    situation
        .vms
        .iter()
        .filter(|r| r.data_centre == allocation.data_centre && !held.contains(&r.vm))
        .filter(|r| {
            situation
                .status(&r.vm)
                .is_some_and(|s| s.phase != VmPhase::Empty)
        })
        .map(|r| {
            let member = Member {
                vm: r.vm.clone(),
                address: r.address,
            };
            (member, OrderKind::Release)
        })
        .collect()
}
