//! The controller of one data centre: groups, spares and orders.
//!
//! The planner compares the declared deployment with the allocation object and
//! with what the endpoints report, and returns a new allocation or orders. A
//! new allocation is written before any order that depends on it is given, so
//! the allocation's conditional update decides every race between
//! controllers. Orders are derived from the difference between the allocation
//! and the reports each time, so a lost or late order is repaired by the next
//! pass. See `docs/decisions/0003-groups.md`.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::allocation::{
    Allocation, Group, GroupNumber, GroupPhase, Member, Replacement, SettlingVm,
};
use crate::deployment::{Deployment, Workload};
use crate::evidence::EvidenceBook;
use crate::ids::{DomainName, FencingNumber, Incarnation, VersionName, VmName, WorkloadName};
use crate::time::Time;
use crate::vm::{VmPhase, VmRecord, VmStatus};

/// Durations and bounds of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Silence after which a member is replaced.
    pub dead_after: Duration,
    /// Time that a freed VM stays unused; longer than an order can live.
    pub settling: Duration,
    /// Time after which every entry has stopped sending to a group that takes
    /// no new work.
    pub quiet: Duration,
    /// VMs that load weights at a time, by the weight store's rate.
    pub loads: usize,
    /// Time after which an unanswered order is repeated.
    pub repeat: Duration,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            dead_after: Duration::from_secs(2),
            settling: Duration::from_secs(10),
            quiet: Duration::from_secs(5),
            loads: 16,
            repeat: Duration::from_secs(2),
        }
    }
}

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
        composition: FencingNumber,
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
    pub fencing: FencingNumber,
    /// What to do.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// What a pass of the planner wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Store this allocation by a conditional update, then plan again.
    Write(Box<Allocation>),
    /// Give these orders; the allocation is as it should be.
    Orders(Vec<(Member, Order)>),
}

/// Everything that a pass of the planner looks at.
#[derive(Clone, Copy)]
pub struct Situation<'a> {
    /// Time of the pass.
    pub now: Time,
    /// Declared deployment.
    pub deployment: &'a Deployment,
    /// The platform's VM list, of which the planner takes its data centre's.
    pub vms: &'a [VmRecord],
    /// Reports of the endpoints.
    pub evidence: &'a EvidenceBook,
    /// Stored allocation.
    pub allocation: &'a Allocation,
}

impl Situation<'_> {
    fn status(&self, vm: &VmName) -> Option<&VmStatus> {
        self.evidence.fresh(self.now, vm)
    }

    fn is_loaded(&self, vm: &VmName, group: &Group) -> bool {
        self.status(vm).is_some_and(|s| {
            matches!(s.phase, VmPhase::Preloaded | VmPhase::Ready) && has_weights(s, group)
        })
    }

    fn is_serving(&self, group: &Group) -> bool {
        self.evidence.serving_until(self.now, group).is_ok()
    }
}

fn has_weights(status: &VmStatus, group: &Group) -> bool {
    status.workload.as_ref() == Some(&group.workload)
        && status.version.as_ref() == Some(&group.version)
}

/// A VM that belongs to no group and may be used.
#[derive(Clone, Debug)]
struct Spare {
    member: Member,
    domain: DomainName,
}

/// The planner's memory, which a new controller may lack: every wait then
/// starts over, which delays a change but never hastens one.
#[derive(Debug)]
pub struct Planner {
    settings: PlacementSettings,
    incarnation: Incarnation,
    seen: HashMap<VmName, Time>,
    freed: HashMap<VmName, Time>,
    quiet: HashMap<(GroupNumber, FencingNumber), Time>,
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
    pub fn plan(&mut self, situation: &Situation<'_>) -> Plan {
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
            next.draw_fencing();
            return Plan::Write(Box::new(next));
        }
        self.release_settled(situation, &mut next);
        self.dissolve(situation, &mut next);
        self.commit_swaps(situation, &mut next);
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

    fn note_reports(&mut self, situation: &Situation<'_>) {
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
    fn is_surveyed(&self, situation: &Situation<'_>) -> bool {
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
    fn release_settled(&mut self, situation: &Situation<'_>, next: &mut Allocation) {
        let now = situation.now;
        let listed: HashSet<&VmName> = situation.vms.iter().map(|r| &r.vm).collect();
        next.settling.retain(|settling| {
            let freed = *self.freed.entry(settling.vm.clone()).or_insert(now);
            let waited = now.since(freed) >= self.settings.settling;
            let listed = listed.contains(&settling.vm);
            let empty = situation
                .status(&settling.vm)
                .is_some_and(|s| s.phase == VmPhase::Empty);
            let gone = !listed && situation.status(&settling.vm).is_none();
            !(waited && (empty || gone))
        });
    }

    /// Removes draining groups that no entry sends to and that are idle.
    fn dissolve(&mut self, situation: &Situation<'_>, next: &mut Allocation) {
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
    fn is_idle(&mut self, situation: &Situation<'_>, group: &Group) -> bool {
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
        idle && now.since(since) >= self.settings.quiet
    }

    /// Puts loaded replacements into the places they were loaded for.
    fn commit_swaps(&mut self, situation: &Situation<'_>, next: &mut Allocation) {
        for at in 0..next.groups.len() {
            let group = &next.groups[at];
            if group.phase == GroupPhase::Draining || group.replacements.is_empty() {
                continue;
            }
            self.drop_needless(situation, next, at);
            let group = &next.groups[at];
            let loaded = |r: &&Replacement| situation.is_loaded(&r.member.vm, group);
            let lost = |r: &Replacement| {
                group
                    .members
                    .get(r.rank as usize)
                    .is_some_and(|m| self.is_dead(situation.now, &m.vm))
            };
            let any_lost = group.replacements.iter().filter(loaded).any(lost);
            let all_loaded = group.replacements.iter().filter(loaded).count()
                == group.replacements.len()
                && !group.replacements.is_empty();
            if any_lost {
                self.commit_loaded(situation, next, at);
            } else if all_loaded && group.phase == GroupPhase::Active {
                next.groups[at].phase = GroupPhase::Swapping;
            } else if all_loaded && self.is_idle(situation, &next.groups[at].clone()) {
                self.commit_loaded(situation, next, at);
            }
        }
    }

    /// Gives up replacements that died, or whose member works again.
    fn drop_needless(&mut self, situation: &Situation<'_>, next: &mut Allocation, at: usize) {
        let group = &mut next.groups[at];
        let replacements = std::mem::take(&mut group.replacements);
        let (kept, dropped): (Vec<_>, Vec<_>) = replacements.into_iter().partition(|r| {
            let member = group.members.get(r.rank as usize);
            let works = member.is_some_and(|m| {
                situation.is_loaded(&m.vm, group) && !self.leaving.contains(&m.vm)
            });
            !works && !self.is_dead(situation.now, &r.member.vm)
        });
        group.replacements = kept.into();
        if group.replacements.is_empty() {
            group.phase = GroupPhase::Active;
            self.quiet.remove(&(group.number, group.composition));
        }
        for replacement in dropped {
            self.settle(situation.now, next, &replacement.member.vm);
        }
    }

    fn commit_loaded(&mut self, situation: &Situation<'_>, next: &mut Allocation, at: usize) {
        let composition = next.draw_fencing();
        let group = &mut next.groups[at];
        let replacements = std::mem::take(&mut group.replacements);
        let (loaded, waiting): (Vec<_>, Vec<_>) = replacements
            .into_iter()
            .partition(|r| situation.is_loaded(&r.member.vm, group));
        group.replacements = waiting.into();
        group.composition = composition;
        group.phase = GroupPhase::Active;
        for Replacement { rank, member } in loaded {
            let place = &mut next.groups[at].members[rank as usize];
            let outgoing = std::mem::replace(place, member);
            self.settle(situation.now, next, &outgoing.vm);
        }
    }

    fn spares(&self, situation: &Situation<'_>, next: &Allocation) -> Vec<Spare> {
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

    /// Picks a spare for each dead or leaving member, for groups that are down
    /// before groups that still serve.
    fn replace_members(
        &self,
        situation: &Situation<'_>,
        next: &mut Allocation,
        spares: &mut Vec<Spare>,
    ) {
        for dead_first in [true, false] {
            for group in &mut next.groups {
                if group.phase != GroupPhase::Active {
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
                    } else if dead_first && fits_elsewhere(spares, group) {
                        // Its domain cannot mend it, another can form it anew.
                        begin_draining(group);
                        break;
                    }
                }
            }
        }
    }

    /// Brings the number of groups of each workload to what is declared.
    fn scale(&self, situation: &Situation<'_>, next: &mut Allocation, spares: &mut Vec<Spare>) {
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
        situation: &Situation<'_>,
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

    /// Derives orders from what differs between the allocation and the reports.
    fn orders(&mut self, situation: &Situation<'_>) -> Vec<(Member, Order)> {
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
        let room = self.settings.loads.saturating_sub(loading);
        let chosen = loads.into_iter().take(room);
        orders.extend(chosen.map(|(_, member, kind)| (member, kind)));
        orders.extend(releases(situation));
        self.due(situation.now, allocation.fencing, orders)
    }

    /// Leaves out orders that were given a moment ago.
    fn due(
        &mut self,
        now: Time,
        fencing: FencingNumber,
        orders: Vec<(Member, OrderKind)>,
    ) -> Vec<(Member, Order)> {
        let mut due = Vec::new();
        for (member, kind) in orders {
            let recent = self
                .ordered
                .get(&member.vm)
                .is_some_and(|at| now.since(*at) < self.settings.repeat);
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
fn missing(situation: &Situation<'_>, group: &Group) -> usize {
    group
        .members
        .iter()
        .filter(|m| !situation.is_loaded(&m.vm, group))
        .count()
}

fn member_order(
    situation: &Situation<'_>,
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
    situation: &Situation<'_>,
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
fn releases(situation: &Situation<'_>) -> Vec<(Member, OrderKind)> {
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
    let composition = next.draw_fencing();
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
fn drain_one(situation: &Situation<'_>, next: &mut Allocation, workload: &Workload) {
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
