//! Replica groups: controllers, endpoints, a platform and an entry.
//!
//! The oracle: no VM is in two groups; the entry sends to a group only if every
//! member was up and reported the group's composition at most the evidence
//! bound ago; and once faults end, every declared replica serves again.

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

use crate::endpoint::{Obeyed, obey, restart};
use crate::fixtures::ModelFixture;

/// Time for which a report counts.
const EVIDENCE: Duration = Duration::from_secs(2);
/// Time that weights take to load.
const LOAD: Duration = Duration::from_millis(1_500);
/// Longest life of an order.
const ORDER_LIFE: Duration = Duration::from_secs(5);
/// Fabric domains.
const DOMAINS: usize = 3;
/// VMs in each domain.
const VMS_PER_DOMAIN: usize = 6;
/// Declared replicas, of two VMs each.
const REPLICAS: usize = 4;
/// Controllers that stand by.
const CONTROLLERS: usize = 2;
/// Time to recover once every fault has ended.
const RECOVERY: Duration = Duration::from_secs(90);
/// Period of the regular work.
const ROUND: Duration = Duration::from_millis(500);

const MODEL: ModelFixture<'_> = ModelFixture {
    vms: 2,
    cold: 3,
    warm: 40,
    ramp: 8,
    replicas: &[("east", 4)],
    team_limit: 1000,
};

#[derive(Clone, Copy, PartialEq, Eq)]
enum Power {
    Up,
    Frozen,
    Dead,
}

struct Vm {
    record: VmRecord,
    status: VmStatus,
    power: Power,
    loaded_at: Time,
    last_up: Time,
    /// What the VM reported and when, newest last.
    history: Vec<(Time, VmStatus)>,
}

struct Controller {
    lease: LeaseTracker,
    planner: Planner,
    evidence: EvidenceTable,
    partitioned: bool,
}

struct LateOrder {
    sent: Time,
    member: Member,
    order: Order,
}

/// A question for findings, and what was answered: compositions with ages.
struct Pull {
    sent: Time,
    findings: Option<Vec<(ReplicaKey, FencingToken, Duration)>>,
}

struct LateWrite {
    expected: u64,
    next: Allocation,
}

/// The world and its ledger.
pub struct GroupWorld {
    now: Time,
    fencing: Fencing,
    deployment: Deployment,
    vms: Vec<Vm>,
    controllers: Vec<Controller>,
    entry: EvidenceTable,
    second: EvidenceTable,
    pulls: Vec<Pull>,
    allocation: Allocation,
    version: u64,
    lease: Option<Lease>,
    up: bool,
    late_orders: Vec<LateOrder>,
    late_writes: Vec<LateWrite>,
    next_incarnation: u128,
    swaps: usize,
}

impl GroupWorld {
    /// A world of empty VMs, whose endpoints check fencing numbers or not.
    #[must_use]
    pub fn new(fencing: Fencing) -> Self {
        let deployment = MODEL.deployment();
        let home = "east".parse().expect("a sound name");
        let mut world = Self {
            now: Time::from_millis(100_000),
            fencing,
            deployment,
            vms: Vec::new(),
            controllers: Vec::new(),
            entry: EvidenceTable::new(EVIDENCE),
            second: EvidenceTable::new(EVIDENCE),
            pulls: Vec::new(),
            allocation: Allocation::empty(home),
            version: 0,
            lease: None,
            up: true,
            late_orders: Vec::new(),
            late_writes: Vec::new(),
            next_incarnation: 1,
            swaps: 0,
        };
        for at in 0..DOMAINS * VMS_PER_DOMAIN {
            let vm = world.fresh_vm(at);
            world.vms.push(vm);
        }
        for at in 0..CONTROLLERS {
            let controller = world.fresh_controller(at);
            world.controllers.push(controller);
        }
        world
    }

    fn fresh_vm(&self, at: usize) -> Vm {
        let name: VmName = format!("v{at}").parse().expect("a sound name");
        let port = u16::try_from(at + 1).unwrap_or(u16::MAX);
        let record = VmRecord {
            vm: name.clone(),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], port)),
            data_centre: self.allocation.data_centre.clone(),
            domain: format!("d{}", at / VMS_PER_DOMAIN)
                .parse()
                .expect("a sound name"),
            leaving: false,
        };
        let status = VmStatus::started(name);
        Vm {
            record,
            status,
            power: Power::Up,
            loaded_at: Time::ZERO,
            last_up: self.now,
            history: Vec::new(),
        }
    }

    fn fresh_controller(&mut self, at: usize) -> Controller {
        let incarnation = Incarnation::from(self.next_incarnation);
        self.next_incarnation += 1;
        let id = MemberId::new(at as u64 + 1);
        Controller {
            lease: LeaseTracker::new(LeaseSettings::default(), id, incarnation),
            planner: Planner::new(PlacementSettings::default(), incarnation),
            evidence: EvidenceTable::new(EVIDENCE),
            partitioned: false,
        }
    }

    /// Takes one step and checks the oracle; an error describes the violation.
    pub fn step(&mut self, action: &GroupAction) -> Result<(), String> {
        match *action {
            GroupAction::Advance(ms) => self.advance(Duration::from_millis(ms)),
            GroupAction::Round => self.round(),
            GroupAction::Survey(at) => self.survey(at),
            GroupAction::EntrySurvey => self.entry_survey(),
            GroupAction::PullSend => self.pulls.push(Pull {
                sent: self.now,
                findings: None,
            }),
            GroupAction::PullServe => self.serve_pull(),
            GroupAction::PullArrive => self.arrive_pull(),
            GroupAction::RenewLease(at) => self.renew_lease(at),
            GroupAction::Plan(at, late) => self.plan(at, late),
            GroupAction::LateWrite => self.late_write(),
            GroupAction::LateOrder(at) => self.late_order(at),
            GroupAction::Die(at) => self.die(at.index(self.vms.len())),
            GroupAction::Return(at) => {
                let vm = &mut self.vms[at.index(DOMAINS * VMS_PER_DOMAIN)];
                vm.power = Power::Up;
                vm.last_up = self.now;
            }
            GroupAction::Freeze(at) => {
                let vm = &mut self.vms[at.index(DOMAINS * VMS_PER_DOMAIN)];
                if vm.power == Power::Up {
                    vm.power = Power::Frozen;
                }
            }
            GroupAction::Leaving(at, leaving) => {
                self.vms[at.index(DOMAINS * VMS_PER_DOMAIN)].record.leaving = leaving;
            }
            GroupAction::Dark(domain) => {
                for at in domain * VMS_PER_DOMAIN..(domain + 1) * VMS_PER_DOMAIN {
                    self.die(at);
                }
            }
            GroupAction::Partition(at, cut) => self.controllers[at].partitioned = cut,
            GroupAction::Platform(up) => self.up = up,
            GroupAction::Replace(at) => self.controllers[at] = self.fresh_controller(at),
        }
        self.check()
    }

    /// One period of the regular work of controllers and entry.
    fn round(&mut self) {
        self.advance(ROUND);
        self.entry_survey();
        self.pulls.push(Pull {
            sent: self.now,
            findings: None,
        });
        self.serve_pull();
        self.arrive_pull();
        for at in 0..CONTROLLERS {
            self.survey(at);
            self.renew_lease(at);
            for _ in 0..4 {
                self.plan(at, false);
            }
        }
    }

    fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
        for vm in &mut self.vms {
            if vm.power == Power::Up {
                vm.last_up = self.now;
                if vm.status.phase == VmPhase::Loading && self.now.since(vm.loaded_at) >= LOAD {
                    vm.status.phase = VmPhase::Preloaded;
                }
            }
        }
        self.late_orders
            .retain(|o| self.now.since(o.sent) < ORDER_LIFE);
    }

    fn die(&mut self, at: usize) {
        let vm = &mut self.vms[at];
        vm.power = Power::Dead;
        restart(&mut vm.status);
    }

    fn place(&self, vm: &VmName) -> usize {
        self.vms
            .iter()
            .position(|v| v.record.vm == *vm)
            .expect("the VM is of this world")
    }

    /// Returns the members of the group at a place of the allocation.
    #[must_use]
    pub fn members(&self, at: usize) -> Vec<VmName> {
        self.allocation.groups[at]
            .members
            .iter()
            .map(|m| m.vm.clone())
            .collect()
    }

    /// Ends a VM, which loses everything.
    pub fn kill(&mut self, vm: &VmName) {
        let at = self.place(vm);
        self.die(at);
    }

    /// Stops a VM from answering; it keeps everything.
    pub fn freeze(&mut self, vm: &VmName) {
        let at = self.place(vm);
        self.vms[at].power = Power::Frozen;
    }

    /// Lets a VM go on.
    pub fn thaw(&mut self, vm: &VmName) {
        let at = self.place(vm);
        self.vms[at].power = Power::Up;
        self.vms[at].last_up = self.now;
    }

    /// Returns the VMs of the fabric domain that a VM is in.
    #[must_use]
    pub fn domain(&self, vm: &VmName) -> Vec<VmName> {
        let domain = &self.vms[self.place(vm)].record.domain;
        let records = self.vms.iter().map(|v| &v.record);
        let inside = records.filter(|r| r.domain == *domain);
        inside.map(|r| r.vm.clone()).collect()
    }

    /// Lists a VM as leaving, or no longer.
    pub fn list_leaving(&mut self, vm: &VmName, leaving: bool) {
        let at = self.place(vm);
        self.vms[at].record.leaving = leaving;
    }

    fn survey(&mut self, at: usize) {
        let controller = &mut self.controllers[at];
        if controller.partitioned {
            return;
        }
        for vm in self.vms.iter().filter(|v| v.power == Power::Up) {
            controller
                .evidence
                .record(&vm.record.vm, self.now, vm.status.clone());
        }
    }

    fn entry_survey(&mut self) {
        for vm in self.vms.iter_mut().filter(|v| v.power == Power::Up) {
            self.entry
                .record(&vm.record.vm, self.now, vm.status.clone());
            vm.history.push((self.now, vm.status.clone()));
        }
    }

    fn key(&self, group: &Group) -> ReplicaKey {
        ReplicaKey {
            data_centre: self.allocation.data_centre.clone(),
            number: group.number,
        }
    }

    fn renew_lease(&mut self, at: usize) {
        if !self.up {
            return;
        }
        let rank = u32::try_from(at).ok();
        let controller = &mut self.controllers[at];
        if let LeaseStep::Write(lease) = controller.lease.step(self.now, self.lease.as_ref(), rank)
        {
            self.lease = Some(lease);
            controller.lease.on_written(self.now);
        }
    }

    fn plan(&mut self, at: usize, late: bool) {
        let controller = &mut self.controllers[at];
        if !self.up || !controller.lease.is_held(self.now) {
            return;
        }
        let records: Vec<VmRecord> = self.vms.iter().map(|v| v.record.clone()).collect();
        let situation = PlanInput {
            now: self.now,
            deployment: &self.deployment,
            vms: &records,
            evidence: &controller.evidence,
            allocation: &self.allocation,
        };
        match controller.planner.plan(&situation) {
            Plan::Write(next) if late => {
                self.late_writes.push(LateWrite {
                    expected: self.version,
                    next: *next,
                });
            }
            Plan::Write(next) => self.store(*next),
            Plan::Orders(orders) => {
                for (member, order) in orders {
                    if late {
                        self.late_orders.push(LateOrder {
                            sent: self.now,
                            member,
                            order,
                        });
                    } else if !self.controllers[at].partitioned {
                        self.obey(&member, &order);
                    }
                }
            }
        }
    }

    fn late_write(&mut self) {
        let Some(write) = self.late_writes.pop() else {
            return;
        };
        if self.up && write.expected == self.version {
            self.store(write.next);
        }
    }

    fn store(&mut self, next: Allocation) {
        let composition = |allocation: &Allocation, number| {
            let group = allocation.groups.iter().find(|g| g.number == number);
            group.map(|g| g.composition)
        };
        let changed = next.groups.iter().filter(|group| {
            let before = composition(&self.allocation, group.number);
            before.is_some_and(|before| before != group.composition)
        });
        self.swaps += changed.count();
        self.allocation = next;
        self.version += 1;
    }

    fn late_order(&mut self, at: Index) {
        if self.late_orders.is_empty() {
            return;
        }
        let late = self
            .late_orders
            .swap_remove(at.index(self.late_orders.len()));
        self.obey(&late.member, &late.order);
    }

    fn obey(&mut self, member: &Member, order: &Order) {
        let Some(vm) = self.vms.iter_mut().find(|v| v.record.vm == member.vm) else {
            return;
        };
        if vm.power == Power::Up && obey(&mut vm.status, order, self.fencing) == Obeyed::Loading {
            vm.loaded_at = self.now;
        }
    }
}
