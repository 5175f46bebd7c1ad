//! Placement of groups in one data centre: reconciles the allocation with the
//! declared deployment.
//!
//! The planner compares the declared deployment with the allocation object and
//! the endpoints' reports, and returns either a new allocation or orders. A new
//! allocation is stored before any order that depends on it is given, so that
//! the conditional update of the allocation resolves every race between
//! controllers. Each pass derives the orders anew from the difference between
//! the allocation and the reports, so that the next pass repairs the effects of
//! a lost or late order. See `docs/decisions/0003-groups.md`.

mod forming;
mod input;
mod orders;
mod swaps;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

pub use input::PlanInput;
pub use orders::{Order, OrderKind};

use crate::allocation::{Allocation, Group, GroupNumber, GroupPhase, Member, SettlingVm};
use crate::ids::{FencingToken, Incarnation, VmName};
use crate::time::Time;
use crate::vm::VmPhase;

/// Durations and limits of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Time without a report after which a VM counts as dead.
    pub dead_after: Duration,
    /// Time for which a freed VM stays unused, which must exceed the time that
    /// an order can be under way.
    pub settling_time: Duration,
    /// Time after which every entry has stopped sending to a group that takes
    /// no new requests.
    pub quiet_period: Duration,
    /// Maximum number of VMs that load weights at the same time, which is
    /// bounded by the throughput of the weight store.
    pub max_loads: usize,
    /// Time after which an unanswered order is repeated.
    pub repeat_interval: Duration,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            dead_after: Duration::from_secs(2),
            settling_time: Duration::from_secs(10),
            quiet_period: Duration::from_secs(5),
            max_loads: 16,
            repeat_interval: Duration::from_secs(2),
        }
    }
}

/// Result of a pass of the planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Store this allocation with a conditional update, then plan again.
    Write(Box<Allocation>),
    /// Give these orders, since the allocation needs no change.
    Orders(Vec<(Member, Order)>),
}

/// Plans the groups of one data centre.
///
/// The planner keeps only the times at which its waits began. A new controller
/// starts without them, so that every wait starts over: this can delay a
/// change, but never cause one too early.
#[derive(Debug)]
pub struct Planner {
    settings: PlacementSettings,
    incarnation: Incarnation,
    /// Time of the last report of each VM, or of its first listing.
    last_seen: HashMap<VmName, Time>,
    /// Time at which each settling VM was freed.
    freed: HashMap<VmName, Time>,
    /// Time at which each group was first seen to take no new requests.
    quiet_since: HashMap<(GroupNumber, FencingToken), Time>,
    /// Time of the last unanswered order to each VM.
    ordered: HashMap<VmName, Time>,
    /// VMs that the platform lists as leaving.
    leaving: HashSet<VmName>,
}

impl Planner {
    /// Creates a planner for the controller of this incarnation.
    #[must_use]
    pub fn new(settings: PlacementSettings, incarnation: Incarnation) -> Self {
        Self {
            settings,
            incarnation,
            last_seen: HashMap::new(),
            freed: HashMap::new(),
            quiet_since: HashMap::new(),
            ordered: HashMap::new(),
            leaving: HashSet::new(),
        }
    }

    /// Returns the next allocation or the orders that are due.
    pub fn plan(&mut self, input: &PlanInput<'_>) -> Plan {
        self.update_history(input);
        let mut next = input.allocation.clone();
        self.leaving = input
            .vms
            .iter()
            .filter(|r| r.leaving)
            .map(|r| r.vm.clone())
            .collect();
        if next.controller != Some(self.incarnation) {
            next.controller = Some(self.incarnation);
            next.next_fencing_token();
            return Plan::Write(Box::new(next));
        }
        self.release_settled(input, &mut next);
        self.remove_drained(input, &mut next);
        self.commit_swaps(input, &mut next);
        self.pause_leaving(&mut next);
        if !self.may_be_partitioned(input.now) {
            let mut spares = self.spares(input, &next);
            self.replace_members(input, &mut next, &mut spares);
            if self.knows_all_vms(input) {
                self.scale(input, &mut next, &mut spares);
            }
        }
        if next != *input.allocation {
            return Plan::Write(Box::new(next));
        }
        Plan::Orders(self.orders(input))
    }

    fn update_history(&mut self, input: &PlanInput<'_>) {
        let held = input
            .allocation
            .groups
            .iter()
            .flat_map(Group::vms)
            .map(|m| &m.vm);
        let settling = input.allocation.settling.iter().map(|s| &s.vm);
        let listed = input.vms.iter().map(|r| &r.vm);
        let known: HashSet<&VmName> = held.chain(settling).chain(listed).collect();
        self.last_seen.retain(|vm, _| known.contains(vm));
        self.ordered.retain(|vm, _| known.contains(vm));
        self.freed.retain(|vm, _| known.contains(vm));
        for vm in known {
            let last = self.last_seen.entry(vm.clone()).or_insert(input.now);
            if let Some((sent, _)) = input.evidence.latest(vm) {
                *last = (*last).max(sent);
            }
        }
        let live: HashSet<_> = input
            .allocation
            .groups
            .iter()
            .map(|g| (g.number, g.composition))
            .collect();
        self.quiet_since.retain(|key, _| live.contains(key));
    }

    /// Returns whether a VM has not reported for [`PlacementSettings::dead_after`].
    fn is_dead(&self, now: Time, vm: &VmName) -> bool {
        self.last_seen
            .get(vm)
            .is_some_and(|at| now.since(*at) >= self.settings.dead_after)
    }

    /// Returns whether more than half of the VMs seem dead.
    ///
    /// The cause may then be the controller's own network, so nothing is
    /// replaced.
    fn may_be_partitioned(&self, now: Time) -> bool {
        let dead = self
            .last_seen
            .keys()
            .filter(|vm| self.is_dead(now, vm))
            .count();
        2 * dead > self.last_seen.len()
    }

    /// Returns whether every listed VM has reported or had the time to.
    ///
    /// Groups formed from the first few reports alone could span several
    /// domains without need.
    fn knows_all_vms(&self, input: &PlanInput<'_>) -> bool {
        input
            .vms
            .iter()
            .all(|r| input.evidence.latest(&r.vm).is_some() || self.is_dead(input.now, &r.vm))
    }

    /// Starts the settling time of a VM that has left its group.
    fn settle(&mut self, now: Time, next: &mut Allocation, vm: &VmName) {
        self.freed.insert(vm.clone(), now);
        next.settling.push(SettlingVm {
            vm: vm.clone(),
            freed: next.fencing,
        });
    }

    /// Makes VMs usable again once no late order can reach them any more and
    /// they are empty or gone.
    fn release_settled(&mut self, input: &PlanInput<'_>, next: &mut Allocation) {
        let now = input.now;
        let listed: HashSet<&VmName> = input.vms.iter().map(|r| &r.vm).collect();
        next.settling.retain(|settling| {
            let freed = *self.freed.entry(settling.vm.clone()).or_insert(now);
            let waited = now.since(freed) >= self.settings.settling_time;
            let listed = listed.contains(&settling.vm);
            let empty = input
                .status(&settling.vm)
                .is_some_and(|s| s.phase == VmPhase::Empty);
            let gone = !listed && input.status(&settling.vm).is_none();
            !(waited && (empty || gone))
        });
    }

    /// Removes draining groups that are idle and to which no entry sends.
    fn remove_drained(&mut self, input: &PlanInput<'_>, next: &mut Allocation) {
        let mut kept = Vec::with_capacity(next.groups.len());
        for group in std::mem::take(&mut next.groups) {
            let draining = group.phase == GroupPhase::Draining;
            if draining && self.is_idle(input, &group) {
                for member in group.vms() {
                    self.settle(input.now, next, &member.vm);
                }
            } else {
                kept.push(group);
            }
        }
        next.groups = kept;
    }

    /// Returns whether a group that takes no new requests has finished those it
    /// had, or has lost its leader.
    fn is_idle(&mut self, input: &PlanInput<'_>, group: &Group) -> bool {
        let now = input.now;
        let since = *self
            .quiet_since
            .entry((group.number, group.composition))
            .or_insert(now);
        let Some(leader) = group.members.first() else {
            return true;
        };
        if self.is_dead(now, &leader.vm) {
            return true;
        }
        let idle = input.status(&leader.vm).is_some_and(|s| s.running == 0);
        idle && now.since(since) >= self.settings.quiet_period
    }
}
