//! Orders to endpoints, derived from the difference between the allocation and
//! the endpoints' reports.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::Planner;
use super::input::{PlanInput, has_weights};
use crate::allocation::{Group, GroupNumber, GroupPhase, Member, Replacement};
use crate::ids::{FencingToken, VersionName, VmName, WorkloadName};
use crate::time::Time;
use crate::vm::VmPhase;

/// Command of an order to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum OrderKind {
    /// Load the weights of one rank.
    Load {
        /// Workload to load.
        workload: WorkloadName,
        /// Version to load.
        version: VersionName,
        /// Rank within the group.
        rank: u32,
    },
    /// Become a member of a group with the weights that are loaded.
    Join {
        /// Group to join.
        group: GroupNumber,
        /// Composition that the members form.
        composition: FencingToken,
        /// Rank within the group.
        rank: u32,
        /// All members, by rank.
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
    /// Fencing token; endpoints that check it refuse orders with a lower one
    /// than the highest that they have seen.
    pub fencing: FencingToken,
    /// Command of the order.
    #[serde(flatten)]
    pub kind: OrderKind,
}

impl Planner {
    /// Derives the orders that are due from the difference between the
    /// allocation and the reports.
    ///
    /// Loads are limited in number; the groups that need the fewest come first.
    pub(super) fn orders(&mut self, input: &PlanInput<'_>) -> Vec<(Member, Order)> {
        let allocation = input.allocation;
        let mut orders = Vec::new();
        let mut loads = Vec::new();
        for group in &allocation.groups {
            if group.phase == GroupPhase::Draining {
                continue;
            }
            for (rank, member) in (0u32..).zip(&group.members) {
                match member_order(input, group, rank, member) {
                    Some(kind @ OrderKind::Load { .. }) => {
                        loads.push((unloaded(input, group), member.clone(), kind));
                    }
                    Some(kind) => orders.push((member.clone(), kind)),
                    None => {}
                }
            }
            for Replacement { rank, member } in &group.replacements {
                if let Some(kind) = load_order(input, group, *rank, member) {
                    loads.push((unloaded(input, group), member.clone(), kind));
                }
            }
        }
        let loading = input
            .vms
            .iter()
            .filter_map(|r| input.status(&r.vm))
            .filter(|s| s.phase == VmPhase::Loading)
            .count();
        loads.sort_by_key(|(unloaded, member, _)| (*unloaded, member.vm.clone()));
        let remaining = self.settings.max_loads.saturating_sub(loading);
        let chosen = loads.into_iter().take(remaining);
        orders.extend(chosen.map(|(_, member, kind)| (member, kind)));
        orders.extend(releases(input));
        self.due(input.now, allocation.fencing, orders)
    }

    /// Drops the orders to VMs that may still be executing an earlier one, and
    /// adds the fencing token to the others.
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

    /// Records that a VM has answered its last order, so that the next one may
    /// follow at once.
    pub fn on_order_done(&mut self, vm: &VmName) {
        self.ordered.remove(vm);
    }
}

/// Returns the number of members of a group that have not loaded their weights.
fn unloaded(input: &PlanInput<'_>, group: &Group) -> usize {
    group
        .members
        .iter()
        .filter(|m| !input.is_loaded(&m.vm, group))
        .count()
}

fn member_order(
    input: &PlanInput<'_>,
    group: &Group,
    rank: u32,
    member: &Member,
) -> Option<OrderKind> {
    let status = input.status(&member.vm)?;
    if let Some(load) = load_order(input, group, rank, member) {
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
    input: &PlanInput<'_>,
    group: &Group,
    rank: u32,
    member: &Member,
) -> Option<OrderKind> {
    let status = input.status(&member.vm)?;
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

/// Returns orders to VMs that hold weights without belonging to a group.
fn releases(input: &PlanInput<'_>) -> Vec<(Member, OrderKind)> {
    let allocation = input.allocation;
    let held: HashSet<&VmName> = allocation
        .groups
        .iter()
        .flat_map(Group::vms)
        .map(|m| &m.vm)
        .collect();
    input
        .vms
        .iter()
        .filter(|r| r.data_centre == allocation.data_centre && !held.contains(&r.vm))
        .filter(|r| {
            input
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
