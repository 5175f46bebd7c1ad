//! Simulation of replica groups: controllers, endpoints, a platform and entries.
//!
//! The oracle requires that no VM is in two groups, that an entry uses a group
//! only if every member was up and reported the group's composition within the
//! evidence window, and that every declared replica serves again once all
//! faults have ended.

mod actions;
mod check;
mod pulls;

use std::time::Duration;

use bulrushhoist_core::{
    Allocation, Deployment, EvidenceTable, Fencing, FencingToken, Group, Incarnation, Lease,
    LeaseSettings, LeaseStep, LeaseTracker, Member, MemberId, Order, PlacementSettings, Plan,
    PlanInput, Planner, ReplicaKey, Time, VmName, VmPhase, VmRecord, VmStatus,
};
use proptest::sample::Index;

pub use actions::{GroupAction, group_actions};

use crate::endpoint::{OrderResult, apply_order, reset_status};
use crate::fixtures::ModelFixture;

/// Age up to which a report of a VM counts as evidence.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(2);
/// Time from an order to load until the weights are loaded.
const LOAD_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a delayed order is dropped.
const ORDER_TTL: Duration = Duration::from_secs(5);
/// Number of fabric domains.
const DOMAINS: usize = 3;
/// Number of VMs in each fabric domain.
const VMS_PER_DOMAIN: usize = 6;
/// Number of declared replicas; each has two VMs.
const REPLICAS: usize = 4;
/// Number of controllers that compete for the lease.
const CONTROLLERS: usize = 2;
/// Time within which every replica must serve once all faults have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(90);
/// Interval of the periodic work of controllers and entries.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

const MODEL: ModelFixture<'_> = ModelFixture {
    vms: 2,
    cold_limit: 3,
    warm_limit: 40,
    ramp_requests: 8,
    replicas: &[("east", 4)],
    team_limit: 1000,
};

/// Whether a VM answers; a frozen one keeps its state, one that is off has lost it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PowerState {
    Up,
    Frozen,
    Off,
}

/// A simulated VM with its endpoint.
struct Vm {
    record: VmRecord,
    status: VmStatus,
    power: PowerState,
    load_started: Time,
    last_up: Time,
    /// Reports that the first entry received, with their times, newest last.
    history: Vec<(Time, VmStatus)>,
}

/// A daemon that may hold the lease and then plans the groups.
struct Controller {
    lease: LeaseTracker,
    planner: Planner,
    evidence: EvidenceTable,
    partitioned: bool,
}

/// An order that has been sent but has not arrived.
struct DelayedOrder {
    sent: Time,
    member: Member,
    order: Order,
}

/// A pull of evidence by the second entry, with the answer once there is one:
/// the composition of each usable group and the age of its evidence.
struct Pull {
    sent: Time,
    evidence: Option<Vec<(ReplicaKey, FencingToken, Duration)>>,
}

/// A conditional update of the allocation that has not reached the platform.
struct DelayedWrite {
    expected_version: u64,
    next: Allocation,
}

/// Simulated platform, VMs, controllers and entries, with the ledger of what
/// each VM reported.
pub struct GroupSimulation {
    now: Time,
    fencing: Fencing,
    deployment: Deployment,
    vms: Vec<Vm>,
    controllers: Vec<Controller>,
    first_entry: EvidenceTable,
    second_entry: EvidenceTable,
    pulls: Vec<Pull>,
    allocation: Allocation,
    /// Version of the stored allocation, which conditional updates must match.
    version: u64,
    lease: Option<Lease>,
    platform_up: bool,
    delayed_orders: Vec<DelayedOrder>,
    delayed_writes: Vec<DelayedWrite>,
    next_incarnation: u128,
    composition_changes: usize,
}

impl GroupSimulation {
    /// Creates a simulation of VMs without weights.
    ///
    /// `fencing` says whether the endpoints refuse outdated fencing tokens.
    #[must_use]
    pub fn new(fencing: Fencing) -> Self {
        let deployment = MODEL.deployment();
        let data_centre = "east".parse().expect("the name is valid");
        let mut simulation = Self {
            now: Time::from_millis(100_000),
            fencing,
            deployment,
            vms: Vec::new(),
            controllers: Vec::new(),
            first_entry: EvidenceTable::new(EVIDENCE_WINDOW),
            second_entry: EvidenceTable::new(EVIDENCE_WINDOW),
            pulls: Vec::new(),
            allocation: Allocation::empty(data_centre),
            version: 0,
            lease: None,
            platform_up: true,
            delayed_orders: Vec::new(),
            delayed_writes: Vec::new(),
            next_incarnation: 1,
            composition_changes: 0,
        };
        for index in 0..DOMAINS * VMS_PER_DOMAIN {
            let vm = simulation.new_vm(index);
            simulation.vms.push(vm);
        }
        for index in 0..CONTROLLERS {
            let controller = simulation.new_controller(index);
            simulation.controllers.push(controller);
        }
        simulation
    }

    fn new_vm(&self, index: usize) -> Vm {
        let name: VmName = format!("v{index}").parse().expect("the name is valid");
        let port = u16::try_from(index + 1).unwrap_or(u16::MAX);
        let record = VmRecord {
            vm: name.clone(),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], port)),
            data_centre: self.allocation.data_centre.clone(),
            domain: format!("d{}", index / VMS_PER_DOMAIN)
                .parse()
                .expect("the name is valid"),
            leaving: false,
        };
        let status = VmStatus::started(name);
        Vm {
            record,
            status,
            power: PowerState::Up,
            load_started: Time::ZERO,
            last_up: self.now,
            history: Vec::new(),
        }
    }

    fn new_controller(&mut self, index: usize) -> Controller {
        let incarnation = Incarnation::from(self.next_incarnation);
        self.next_incarnation += 1;
        let id = MemberId::new(index as u64 + 1);
        Controller {
            lease: LeaseTracker::new(LeaseSettings::default(), id, incarnation),
            planner: Planner::new(PlacementSettings::default(), incarnation),
            evidence: EvidenceTable::new(EVIDENCE_WINDOW),
            partitioned: false,
        }
    }

    /// Applies one action and checks the oracle; an error describes the violation.
    pub fn step(&mut self, action: &GroupAction) -> Result<(), String> {
        match *action {
            GroupAction::Advance(ms) => self.advance(Duration::from_millis(ms)),
            GroupAction::Round => self.run_round(),
            GroupAction::ProbeVms(index) => self.probe_vms(index),
            GroupAction::ProbeFromEntry => self.probe_from_entry(),
            GroupAction::SendPull => self.pulls.push(Pull {
                sent: self.now,
                evidence: None,
            }),
            GroupAction::AnswerPull => self.answer_pull(),
            GroupAction::DeliverPull => self.deliver_pull(),
            GroupAction::RenewLease(index) => self.renew_lease(index),
            GroupAction::Plan(index, delayed) => self.plan(index, delayed),
            GroupAction::DeliverWrite => self.deliver_write(),
            GroupAction::DeliverOrder(pick) => self.deliver_order(pick),
            GroupAction::Crash(pick) => self.crash(pick.index(self.vms.len())),
            GroupAction::Recover(pick) => {
                let vm = &mut self.vms[pick.index(DOMAINS * VMS_PER_DOMAIN)];
                vm.power = PowerState::Up;
                vm.last_up = self.now;
            }
            GroupAction::Freeze(pick) => {
                let vm = &mut self.vms[pick.index(DOMAINS * VMS_PER_DOMAIN)];
                if vm.power == PowerState::Up {
                    vm.power = PowerState::Frozen;
                }
            }
            GroupAction::SetLeaving(pick, leaving) => {
                self.vms[pick.index(DOMAINS * VMS_PER_DOMAIN)]
                    .record
                    .leaving = leaving;
            }
            GroupAction::DomainOutage(domain) => {
                for index in domain * VMS_PER_DOMAIN..(domain + 1) * VMS_PER_DOMAIN {
                    self.crash(index);
                }
            }
            GroupAction::SetPartitioned(index, partitioned) => {
                self.controllers[index].partitioned = partitioned
            }
            GroupAction::SetPlatformUp(platform_up) => self.platform_up = platform_up,
            GroupAction::ReplaceController(index) => {
                self.controllers[index] = self.new_controller(index)
            }
        }
        self.check()
    }

    /// Runs one interval of the periodic work of controllers and entries.
    fn run_round(&mut self) {
        self.advance(ROUND_INTERVAL);
        self.probe_from_entry();
        self.pulls.push(Pull {
            sent: self.now,
            evidence: None,
        });
        self.answer_pull();
        self.deliver_pull();
        for index in 0..CONTROLLERS {
            self.probe_vms(index);
            self.renew_lease(index);
            for _ in 0..4 {
                self.plan(index, false);
            }
        }
    }

    fn advance(&mut self, elapsed: Duration) {
        self.now = self.now + elapsed;
        for vm in &mut self.vms {
            if vm.power == PowerState::Up {
                vm.last_up = self.now;
                if vm.status.phase == VmPhase::Loading
                    && self.now.since(vm.load_started) >= LOAD_TIME
                {
                    vm.status.phase = VmPhase::Preloaded;
                }
            }
        }
        self.delayed_orders
            .retain(|o| self.now.since(o.sent) < ORDER_TTL);
    }

    /// Switches a VM off and resets its status.
    fn crash(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        vm.power = PowerState::Off;
        reset_status(&mut vm.status);
    }

    fn vm_index(&self, vm: &VmName) -> usize {
        self.vms
            .iter()
            .position(|v| v.record.vm == *vm)
            .expect("the VM is part of this simulation")
    }

    /// Returns the members of the group at this index of the allocation.
    #[must_use]
    pub fn members(&self, index: usize) -> Vec<VmName> {
        self.allocation.groups[index]
            .members
            .iter()
            .map(|m| m.vm.clone())
            .collect()
    }

    /// Crashes a VM, which loses its state.
    pub fn crash_vm(&mut self, vm: &VmName) {
        let index = self.vm_index(vm);
        self.crash(index);
    }

    /// Stops a VM from answering; it keeps its state.
    pub fn freeze_vm(&mut self, vm: &VmName) {
        let index = self.vm_index(vm);
        self.vms[index].power = PowerState::Frozen;
    }

    /// Makes a frozen or crashed VM answer again.
    pub fn unfreeze_vm(&mut self, vm: &VmName) {
        let index = self.vm_index(vm);
        self.vms[index].power = PowerState::Up;
        self.vms[index].last_up = self.now;
    }

    /// Returns every VM of the fabric domain of `vm`.
    #[must_use]
    pub fn domain_vms(&self, vm: &VmName) -> Vec<VmName> {
        let domain = &self.vms[self.vm_index(vm)].record.domain;
        let records = self.vms.iter().map(|v| &v.record);
        let inside = records.filter(|r| r.domain == *domain);
        inside.map(|r| r.vm.clone()).collect()
    }

    /// Sets or clears the leaving flag of a VM in the platform's list.
    pub fn set_leaving(&mut self, vm: &VmName, leaving: bool) {
        let index = self.vm_index(vm);
        self.vms[index].record.leaving = leaving;
    }

    /// Records a report of every reachable VM in a controller's evidence.
    fn probe_vms(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        if controller.partitioned {
            return;
        }
        for vm in self.vms.iter().filter(|v| v.power == PowerState::Up) {
            controller
                .evidence
                .record(&vm.record.vm, self.now, vm.status.clone());
        }
    }

    /// Records a report of every reachable VM in the first entry's evidence and in
    /// the ledger.
    fn probe_from_entry(&mut self) {
        for vm in self.vms.iter_mut().filter(|v| v.power == PowerState::Up) {
            self.first_entry
                .record(&vm.record.vm, self.now, vm.status.clone());
            vm.history.push((self.now, vm.status.clone()));
        }
    }

    fn replica_key(&self, group: &Group) -> ReplicaKey {
        ReplicaKey {
            data_centre: self.allocation.data_centre.clone(),
            number: group.number,
        }
    }

    fn renew_lease(&mut self, index: usize) {
        if !self.platform_up {
            return;
        }
        let rank = u32::try_from(index).ok();
        let controller = &mut self.controllers[index];
        if let LeaseStep::Write(lease) = controller.lease.step(self.now, self.lease.as_ref(), rank)
        {
            self.lease = Some(lease);
            controller.lease.on_written(self.now);
        }
    }

    /// Runs one planning step of a controller that holds the lease.
    fn plan(&mut self, index: usize, delayed: bool) {
        let controller = &mut self.controllers[index];
        if !self.platform_up || !controller.lease.is_held(self.now) {
            return;
        }
        let records: Vec<VmRecord> = self.vms.iter().map(|v| v.record.clone()).collect();
        let input = PlanInput {
            now: self.now,
            deployment: &self.deployment,
            vms: &records,
            evidence: &controller.evidence,
            allocation: &self.allocation,
        };
        match controller.planner.plan(&input) {
            Plan::Write(next) if delayed => {
                self.delayed_writes.push(DelayedWrite {
                    expected_version: self.version,
                    next: *next,
                });
            }
            Plan::Write(next) => self.store(*next),
            Plan::Orders(orders) => {
                for (member, order) in orders {
                    if delayed {
                        self.delayed_orders.push(DelayedOrder {
                            sent: self.now,
                            member,
                            order,
                        });
                    } else if !self.controllers[index].partitioned {
                        self.apply_order(&member, &order);
                    }
                }
            }
        }
    }

    fn deliver_write(&mut self) {
        let Some(write) = self.delayed_writes.pop() else {
            return;
        };
        if self.platform_up && write.expected_version == self.version {
            self.store(write.next);
        }
    }

    /// Stores an allocation and counts the groups whose composition changes.
    fn store(&mut self, next: Allocation) {
        let composition = |allocation: &Allocation, number| {
            let group = allocation.groups.iter().find(|g| g.number == number);
            group.map(|g| g.composition)
        };
        let changed = next.groups.iter().filter(|group| {
            let before = composition(&self.allocation, group.number);
            before.is_some_and(|before| before != group.composition)
        });
        self.composition_changes += changed.count();
        self.allocation = next;
        self.version += 1;
    }

    fn deliver_order(&mut self, pick: Index) {
        if self.delayed_orders.is_empty() {
            return;
        }
        let delayed = self
            .delayed_orders
            .swap_remove(pick.index(self.delayed_orders.len()));
        self.apply_order(&delayed.member, &delayed.order);
    }

    fn apply_order(&mut self, member: &Member, order: &Order) {
        let Some(vm) = self.vms.iter_mut().find(|v| v.record.vm == member.vm) else {
            return;
        };
        if vm.power == PowerState::Up
            && apply_order(&mut vm.status, order, self.fencing) == OrderResult::Loading
        {
            vm.load_started = self.now;
        }
    }
}
