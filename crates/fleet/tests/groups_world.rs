//! Groups under failure: a small world of VMs that follow orders as the platform
//! does, two planners with stale views, and an oracle that sees every VM.
//!
//! Promises: no VM joins another group while the head of its group is open, and a
//! head serves only if every member was ready for that epoch.

mod support;
#[path = "groups_world/vm.rs"]
mod vm;

use std::collections::{BTreeMap, BTreeSet};

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{
    EndpointPhase, GroupState, LoadLimits, Membership, Name, Order, OrderAnswer, OrderKind, Plan,
    PlannerAction, vm_views,
};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use support::{endpoint, ms, service};
use vm::{Entry, Vm};

/// Length of one step of the world.
const TICK_MS: u64 = 50;
/// Steps of one run.
const TICKS: u64 = 900;
/// Time after which the record of a silent VM is removed.
const LAPSE_MS: u64 = 3_600;
/// Time that a leaving VM goes on after its record is removed.
const LINGER_MS: u64 = 2_500;

struct World {
    rng: SmallRng,
    now: u64,
    vms: BTreeMap<Name, Vm>,
    entries: Vec<Entry>,
    stored: (Plan, u64),
    late: Vec<(u64, Order)>,
    /// Members that were ready, by group and epoch.
    ready: BTreeMap<(Name, u64), BTreeSet<Name>>,
    opened: u64,
    /// The entry that plans.
    leader: usize,
    /// What happened, to explain a broken promise.
    trace: Vec<String>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut vms = BTreeMap::new();
        for i in 0..16 {
            let domain = if i < 8 { "d1" } else { "d2" };
            let record = endpoint(&format!("vm-{i:02}"), domain);
            vms.insert(record.id.clone(), Vm::new(record));
        }
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            vms,
            entries: (0..2).map(|_| Entry::new()).collect(),
            stored: (Plan::default(), 1),
            late: Vec::new(),
            ready: BTreeMap::new(),
            opened: 0,
            leader: 0,
            trace: Vec::new(),
        }
    }

    fn note(&mut self, what: String) {
        self.trace.push(format!("{} ms: {what}", self.now));
    }

    /// Returns what happened to some VMs last.
    fn story(&self, ids: &[&Name]) -> String {
        let about = |line: &&String| ids.iter().any(|id| line.contains(&***id));
        let lines: Vec<&String> = self.trace.iter().filter(about).collect();
        let last = lines.len().saturating_sub(40);
        let mut story = String::new();
        for line in &lines[last..] {
            story.push('\n');
            story.push_str(line);
        }
        story
    }

    fn time(&self) -> Time {
        ms(self.now)
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        self.disturb();
        let due: Vec<Order> = {
            let now = self.now;
            let (due, later) = self.late.drain(..).partition(|(at, _)| *at <= now);
            self.late = later;
            due.into_iter()
                .map(|(_, order): (u64, Order)| order)
                .collect()
        };
        for order in due {
            let label = order.kind.label();
            self.note(format!(
                "late: {label} {}/{} to {}",
                order.group, order.epoch, order.endpoint
            ));
            self.carry_out(&order);
        }
        self.progress();
        for i in 0..self.entries.len() {
            if self.now >= self.entries[i].paused {
                self.watch(i);
            }
        }
        if self.now < self.entries[self.leader].paused {
            self.leader = 1 - self.leader;
            let entry = &mut self.entries[self.leader];
            entry.plan = None;
            entry.planner.reset();
        }
        if self.now >= self.entries[self.leader].paused {
            self.plan(self.leader);
        }
    }

    fn disturb(&mut self) {
        let ids: Vec<Name> = self.vms.keys().cloned().collect();
        let id = ids[self.rng.random_range(0..ids.len())].clone();
        let now = self.now;
        let what = self.rng.random_range(0..400);
        let vm = self.vms.get_mut(&id).unwrap();
        match what {
            0..4 => vm.alive = false,
            4..8 if vm.alive => vm.restart(),
            8..12 => vm.store_cut = true,
            12..16 => vm.store_cut = false,
            16..19 if vm.alive && vm.ends.is_none() => {
                vm.listening = false;
                vm.registers = false;
                vm.stored = None;
                vm.ends = Some(now + LINGER_MS);
            }
            19..21 if vm.alive && vm.ends.is_none() => {
                vm.record.phase = EndpointPhase::Draining;
                vm.ends = Some(now + 6_000);
            }
            21..25 => {
                let i = self.rng.random_range(0..2);
                self.entries[i].paused = now + self.rng.random_range(500..6_000);
            }
            25..27 => {
                let i = self.rng.random_range(0..2);
                self.entries[i] = Entry::new();
            }
            _ => {}
        }
        if what < 27 {
            self.note(format!("disturbance {what} at {id}"));
        }
        for vm in self.vms.values_mut() {
            if vm.ends.is_some_and(|at| at <= now) {
                vm.alive = false;
                vm.ends = None;
            }
            if !vm.alive && self.rng.random_range(0..200) == 0 {
                vm.alive = true;
                vm.restart();
            }
        }
    }

    /// Lets loads end and records lapse.
    fn progress(&mut self) {
        let now = self.now;
        for vm in self.vms.values_mut() {
            let ready_at = vm.ready_at;
            let Some(membership) = vm.record.membership.as_mut().filter(|_| vm.alive) else {
                continue;
            };
            if membership.state == GroupState::Joining && ready_at <= now {
                membership.state = GroupState::Ready;
                let model = vm.record.model.clone().unwrap();
                vm.record.staged = [model].into_iter().collect();
                let key = (membership.group.clone(), membership.epoch);
                self.ready
                    .entry(key)
                    .or_default()
                    .insert(vm.record.id.clone());
            }
        }
        for vm in self.vms.values_mut() {
            if vm.alive && !vm.store_cut && vm.registers {
                vm.beat = now;
                vm.stored = Some(vm.record.clone());
            }
            if now - vm.beat > LAPSE_MS {
                vm.stored = None;
            }
        }
    }

    /// Brings what the store holds to an entry.
    fn watch(&mut self, i: usize) {
        let now = self.time();
        let entry = &mut self.entries[i];
        entry.roster.on_store_back(now);
        for vm in self.vms.values() {
            let known = entry.seen.get(&vm.record.id);
            if let Some(stored) = &vm.stored {
                if known != Some(stored) {
                    entry.roster.put(stored.clone());
                    entry.seen.insert(vm.record.id.clone(), stored.clone());
                }
            } else if known.is_some() {
                entry.roster.remove(now, &vm.record.id);
                entry.seen.remove(&vm.record.id);
                entry.monitor.forget(&vm.record.id);
            }
        }
        entry.roster.apply_removals(now);
        if self.now.is_multiple_of(500) {
            for vm in self.vms.values() {
                let (id, born) = (&vm.record.id, vm.record.born);
                let Some(known) = entry.roster.get_or_unlisted(id).cloned() else {
                    continue;
                };
                if !vm.alive {
                    entry.monitor.on_probe_timeout(now, id, known.born);
                } else if !vm.listening {
                    entry.monitor.on_refused(now, id, known.born);
                } else if known.born == born {
                    entry.monitor.on_probe_answer(id, born);
                }
            }
        }
    }

    fn plan(&mut self, i: usize) {
        let now = self.time();
        let entry = &mut self.entries[i];
        let (plan, revision) = entry.plan.take().unwrap_or_else(|| self.stored.clone());
        if entry.roster.is_incomplete(now) && !plan.groups.is_empty() {
            entry.plan = Some((plan, revision));
            return;
        }
        let limits = LoadLimits {
            traffic_seen: self.now > 5_000,
            rate_fraction: 0.9,
        };
        let views = vm_views(now, "engines", &entry.roster, &entry.monitor);
        let step = entry.planner.step(now, &service(), &plan, &views, limits);
        match step {
            PlannerAction::Store(next) => {
                self.trace.push(format!(
                    "{} ms: entry {i} stores, epoch {}",
                    self.now, next.epoch
                ));
                // A planner that was overtaken reads the plan again.
                if revision == self.stored.1 {
                    self.stored = (next, revision + 1);
                }
                entry.plan = None;
            }
            PlannerAction::Reread => {}
            PlannerAction::Orders(orders) => {
                entry.plan = Some((plan, revision));
                for order in orders {
                    self.deliver(i, order);
                }
            }
        }
    }

    fn deliver(&mut self, i: usize, order: Order) {
        self.note(format!(
            "entry {i} gives {} to {}",
            order.kind.label(),
            order.endpoint
        ));
        let is_late = self.rng.random_range(0..10) == 0;
        let vm = &self.vms[&order.endpoint];
        let answer = if !vm.alive {
            OrderAnswer::Unknown
        } else if !vm.listening {
            OrderAnswer::NotListening
        } else if is_late {
            let delay = self.rng.random_range(2_000..12_000);
            self.late.push((self.now + delay, order.clone()));
            OrderAnswer::Unknown
        } else {
            self.carry_out(&order)
        };
        let label = order.kind.label();
        self.note(format!(
            "entry {i}: {label} {}/{} to {}: {answer}",
            order.group, order.epoch, order.endpoint
        ));
        let born = self.vms[&order.endpoint].record.born;
        self.entries[i].planner.on_answer(&order, born, answer);
    }

    /// Carries out an order as the platform's VMs do.
    fn carry_out(&mut self, order: &Order) -> OrderAnswer {
        let vm = &self.vms[&order.endpoint];
        if !vm.alive {
            return OrderAnswer::Unknown;
        }
        let concerned = vm.record.membership.as_ref();
        let concerned = concerned.filter(|m| m.group == order.group && m.epoch == order.epoch);
        match &order.kind {
            OrderKind::Join { model, members } => self.join(order, model, members),
            OrderKind::Open => match concerned.map(|m| (m.is_leader(), m.state)) {
                Some((true, GroupState::Ready)) => {
                    self.check_open(order);
                    self.set_state(&order.endpoint, GroupState::Open);
                    OrderAnswer::Begun
                }
                Some((true, GroupState::Open)) => OrderAnswer::Done,
                _ => OrderAnswer::Conflict,
            },
            OrderKind::Close => match concerned.map(|m| m.state) {
                Some(GroupState::Open) => {
                    self.set_state(&order.endpoint, GroupState::Ready);
                    OrderAnswer::Done
                }
                _ => OrderAnswer::Conflict,
            },
            OrderKind::Leave => match concerned {
                Some(_) => {
                    let vm = self.vms.get_mut(&order.endpoint).unwrap();
                    vm.record.membership = None;
                    vm.record.model = None;
                    OrderAnswer::Done
                }
                None => OrderAnswer::Conflict,
            },
            OrderKind::Stage { .. } => OrderAnswer::Done,
        }
    }

    fn set_state(&mut self, id: &Name, state: GroupState) {
        let vm = self.vms.get_mut(id).unwrap();
        vm.record.membership.as_mut().unwrap().state = state;
    }

    fn join(&mut self, order: &Order, model: &Name, members: &[Name]) -> OrderAnswer {
        let now = self.now;
        let vm = &self.vms[&order.endpoint];
        if order.epoch < vm.highest {
            return OrderAnswer::Outdated;
        }
        if let Some(old) = &vm.record.membership {
            if old.group == order.group && old.epoch == order.epoch {
                return OrderAnswer::Done;
            }
            self.check_join(order, vm, old);
        }
        let vm = self.vms.get_mut(&order.endpoint).unwrap();
        let takes = if vm.last_model.as_ref() == Some(model) {
            200
        } else if vm.record.staged.contains(model) {
            1_600
        } else {
            6_000
        };
        let rank = members.iter().position(|m| *m == order.endpoint).unwrap();
        vm.highest = order.epoch;
        vm.ready_at = now + takes;
        vm.members = members.to_vec();
        vm.last_model = Some(model.clone());
        vm.record.model = Some(model.clone());
        vm.record.membership = Some(Membership {
            group: order.group.clone(),
            epoch: order.epoch,
            rank: u32::try_from(rank).unwrap(),
            state: GroupState::Joining,
        });
        OrderAnswer::Begun
    }

    /// Checks that the head of a VM's former group isn't open.
    fn check_join(&self, order: &Order, vm: &Vm, old: &Membership) {
        let head = &self.vms[&vm.members[0]];
        let serving =
            head.alive
                && head.record.membership.as_ref().is_some_and(|m| {
                    m.group == old.group && m.epoch == old.epoch && m.is_serving()
                });
        assert!(
            !serving,
            "{} ms: {} joins {}/{} while {}/{} is open at {}{}",
            self.now,
            order.endpoint,
            order.group,
            order.epoch,
            old.group,
            old.epoch,
            head.record.id,
            self.story(&[&order.endpoint, &head.record.id])
        );
    }

    /// Checks that every member of a group that opens was ready.
    fn check_open(&mut self, order: &Order) {
        self.opened += 1;
        let members: BTreeSet<Name> = self.vms[&order.endpoint].members.iter().cloned().collect();
        let key = (order.group.clone(), order.epoch);
        let ready = self.ready.get(&key).cloned().unwrap_or_default();
        assert!(
            members.is_subset(&ready),
            "{} ms: {}/{} opens, ready {ready:?} of {members:?}",
            self.now,
            order.group,
            order.epoch
        );
    }
}

fn run(seed: u64) -> World {
    let mut world = World::new(seed);
    for _ in 0..TICKS {
        world.tick();
    }
    world
}

#[test]
fn no_vm_leaves_an_open_group_and_no_group_opens_with_a_member_missing() {
    let cases = std::env::var("BULRUSHHOIST_FUZZ_CASES");
    let cases = cases.ok().and_then(|n| n.parse().ok()).unwrap_or(120);
    let mut opened = 0;
    for seed in 0..cases {
        let result = std::panic::catch_unwind(|| run(seed).opened);
        opened += result.unwrap_or_else(|_| panic!("seed {seed}"));
    }
    assert!(
        opened > cases * 5,
        "groups must come up: {opened} in {cases} runs"
    );
}
