//! The controller of one data centre: groups, spares and orders.
//!
//! The planner compares the declared deployment with the allocation object and
//! with what the endpoints report, and returns a new allocation or orders. A
//! new allocation is written before any order that depends on it is given, so
//! the allocation's conditional update decides every race between
//! controllers. Orders are derived from the difference between the allocation
//! and the reports each time, so a lost or late order is repaired by the next
//! pass. See `docs/decisions/0003-groups.md`.

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

/// Durations and bounds of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Silence after which a member is replaced.
    pub dead_after: Duration,
    /// Time that a freed VM stays unused; longer than an order can live.
    pub settling_time: Duration,
    /// Time after which every entry has stopped sending to a group that takes
    /// no new work.
    pub quiet_period: Duration,
    /// VMs that load weights at a time, by the weight store's rate.
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

/// What a pass of the planner wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Store this allocation by a conditional update, then plan again.
    Write(Box<Allocation>),
    /// Give these orders; the allocation is as it should be.
    Orders(Vec<(Member, Order)>),
}

/// The planner's memory, which a new controller may lack: every wait then
/// starts over, which delays a change but never hastens one.
#[derive(Debug)]
pub struct Planner {
    settings: PlacementSettings,
    incarnation: Incarnation,
    seen: HashMap<VmName, Time>,
    freed: HashMap<VmName, Time>,
    quiet: HashMap<(GroupNumber, FencingToken), Time>,
    ordered: HashMap<VmName, Time>,
    /// VMs that the platform lists as leaving.
    leaving: HashSet<VmName>,
}

impl Planner {
    /// A planner without memory.
    #[must_use]
    pub fn new(settings: PlacementSettings, incarnation: Incarnation) -> Self {
        Self {
            settings,
            incarnation,
            seen: HashMap::new(),
            freed: HashMap::new(),
            quiet: HashMap::new(),
            ordered: HashMap::new(),
            leaving: HashSet::new(),
        }
    }

    /// Decides what to do next.
    pub fn plan(&mut self, situation: &PlanInput<'_>) -> Plan {
        self.note_reports(situation);
        let mut next = situation.allocation.clone();
        self.leaving = situation
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
        self.release_settled(situation, &mut next);
        self.dissolve(situation, &mut next);
        self.commit_swaps(situation, &mut next);
        self.stop_leaving(&mut next);
        if !self.is_blind(situation.now) {
            let mut spares = self.spares(situation, &next);
            self.replace_members(situation, &mut next, &mut spares);
            if self.is_surveyed(situation) {
                self.scale(situation, &mut next, &mut spares);
            }
        }
        if next != *situation.allocation {
            return Plan::Write(Box::new(next));
        }
        Plan::Orders(self.orders(situation))
    }

    fn note_reports(&mut self, situation: &PlanInput<'_>) {
        let held = situation
            .allocation
            .groups
            .iter()
            .flat_map(Group::vms)
            .map(|m| &m.vm);
        let settling = situation.allocation.settling.iter().map(|s| &s.vm);
        let listed = situation.vms.iter().map(|r| &r.vm);
        let known: HashSet<&VmName> = held.chain(settling).chain(listed).collect();
        self.seen.retain(|vm, _| known.contains(vm));
        self.ordered.retain(|vm, _| known.contains(vm));
        self.freed.retain(|vm, _| known.contains(vm));
        for vm in known {
            let first = self.seen.entry(vm.clone()).or_insert(situation.now);
            if let Some((sent, _)) = situation.evidence.latest(vm) {
                *first = (*first).max(sent);
            }
        }
        let live: HashSet<_> = situation
            .allocation
            .groups
            .iter()
            .map(|g| (g.number, g.composition))
            .collect();
        self.quiet.retain(|key, _| live.contains(key));
    }

    fn is_dead(&self, now: Time, vm: &VmName) -> bool {
        self.seen
            .get(vm)
            .is_some_and(|at| now.since(*at) >= self.settings.dead_after)
    }

    /// Whether most VMs are silent, so that the fault may lie with the
    /// controller's own network. Nothing is replaced then.
    fn is_blind(&self, now: Time) -> bool {
        let dead = self.seen.keys().filter(|vm| self.is_dead(now, vm)).count();
        2 * dead > self.seen.len()
    }

    /// Whether every listed VM has reported or had time to. Groups that were
    /// formed from the first few reports would span domains for no reason.
    fn is_surveyed(&self, situation: &PlanInput<'_>) -> bool {
        situation.vms.iter().all(|r| {
            situation.evidence.latest(&r.vm).is_some() || self.is_dead(situation.now, &r.vm)
        })
    }

    fn settle(&mut self, now: Time, next: &mut Allocation, vm: &VmName) {
        self.freed.insert(vm.clone(), now);
        next.settling.push(SettlingVm {
            vm: vm.clone(),
            freed: next.fencing,
        });
    }

    /// Makes VMs usable once no late order can reach them any more.
    fn release_settled(&mut self, situation: &PlanInput<'_>, next: &mut Allocation) {
        let now = situation.now;
        let listed: HashSet<&VmName> = situation.vms.iter().map(|r| &r.vm).collect();
        next.settling.retain(|settling| {
            let freed = *self.freed.entry(settling.vm.clone()).or_insert(now);
            let waited = now.since(freed) >= self.settings.settling_time;
            let listed = listed.contains(&settling.vm);
            let empty = situation
                .status(&settling.vm)
                .is_some_and(|s| s.phase == VmPhase::Empty);
            let gone = !listed && situation.status(&settling.vm).is_none();
            !(waited && (empty || gone))
        });
    }

    /// Removes draining groups that no entry sends to and that are idle.
    fn dissolve(&mut self, situation: &PlanInput<'_>, next: &mut Allocation) {
        let mut kept = Vec::with_capacity(next.groups.len());
        for group in std::mem::take(&mut next.groups) {
            let draining = group.phase == GroupPhase::Draining;
            if draining && self.is_idle(situation, &group) {
                for member in group.vms() {
                    self.settle(situation.now, next, &member.vm);
                }
            } else {
                kept.push(group);
            }
        }
        next.groups = kept;
    }

    /// Whether a group that takes no new work has finished what it had.
    fn is_idle(&mut self, situation: &PlanInput<'_>, group: &Group) -> bool {
        let now = situation.now;
        let since = *self
            .quiet
            .entry((group.number, group.composition))
            .or_insert(now);
        let Some(leader) = group.members.first() else {
            return true;
        };
        if self.is_dead(now, &leader.vm) {
            return true;
        }
        let idle = situation.status(&leader.vm).is_some_and(|s| s.running == 0);
        idle && now.since(since) >= self.settings.quiet_period
    }
}
