//! Which groups there should be, and the orders that bring them about.
//!
//! The plan is stored before any order that depends on it, and orders follow
//! from the difference between the plan and what VMs report, so a planner that
//! dies costs a takeover and no state. Invariants:
//!
//! - One list of members has one epoch, and epochs only grow. A VM refuses an
//!   epoch lower than one that it has seen, so a late order to join is harmless.
//! - A VM joins a group only after it has left its former one. A head whose
//!   members have left stands still, and a late order to open it finds no group.
//! - A head is opened only after every member reported ready for that epoch.
//!
//! Answers the loss of single members under load: a spare VM whose host has the
//! weights takes the place of a lost one. See `docs/SYSTEM.md`.

mod consolidate;
mod formation;
mod repair;
mod standby;
mod view;

use std::collections::HashMap;
use std::time::Duration;

use bulrushhoist_core::Time;
use smallvec::SmallVec;

use crate::Name;
use crate::catalog::{Engine, Model, Service};
use crate::endpoint::{Endpoint, GroupState, Membership};
use crate::orders::{Order, OrderAnswer, OrderKind};
use crate::plan::{GroupPlan, Plan};

pub(crate) use view::Vms;
pub use view::{VmView, vm_views};

/// How groups are formed and repaired.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerSettings {
    /// Spares that each domain keeps for each model.
    pub spares: usize,
    /// Time after which an unanswered order is given again.
    pub resend_interval: Duration,
    /// Time that an accepted order has to show in a report.
    pub report_timeout: Duration,
    /// Time after which a head that finishes its requests is made to leave.
    pub close_timeout: Duration,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            spares: 1,
            resend_interval: Duration::from_millis(700),
            report_timeout: Duration::from_millis(1_500),
            close_timeout: Duration::from_millis(1_000),
        }
    }
}

/// How many loads from the shared store may begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadLimits {
    /// Whether callers have sent requests yet; before, loads aren't limited per second.
    pub traffic_seen: bool,
    /// Part of the published rate that is used.
    pub rate_fraction: f64,
}

/// Which VMs may become members of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Weights {
    /// Those that have the weights: the others load them on standby, so that no
    /// member waits for another one's load.
    Loaded,
    /// All: before callers come, loads are short.
    Any,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlannerAction {
    /// Store this plan; no order may be given before it is stored.
    Store(Plan),
    /// Give these orders.
    Orders(Vec<Order>),
    /// Read the plan again: a VM follows a newer one.
    Reread,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Time,
    epoch: u64,
    /// State in the VM's record when the order was given.
    state: Option<GroupState>,
    answer: Option<OrderAnswer>,
}

/// A VM's word that it has left a group, until its record follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Left {
    born: u64,
    epoch: u64,
    /// State in the record at that time. A late order to join the same group shows
    /// another one.
    state: GroupState,
}

/// Forms and repairs the groups of every service with engines.
#[derive(Debug)]
pub struct Planner {
    settings: PlannerSettings,
    sent: HashMap<(Name, &'static str), Sent>,
    closing: HashMap<Name, Time>,
    loads: Vec<Time>,
    loading: HashMap<Name, Loading>,
    left: HashMap<Name, Left>,
    /// The number of VMs, and since when it is that.
    seen: Option<(usize, Time)>,
}

/// A load from the shared store that an order began.
#[derive(Clone, Debug)]
struct Loading {
    model: Name,
    since: Time,
    limit: Duration,
}

/// Time without a new VM after which the first groups are planned.
const ROSTER_STILL: Duration = Duration::from_millis(500);

/// Part of the names of standby groups, by which every planner knows that no head
/// of them was ever told to open.
pub(crate) const STANDBY_MARK: &str = "-standby-";

impl Planner {
    /// A planner that has given no orders.
    #[must_use]
    pub fn new(settings: PlannerSettings) -> Self {
        Self {
            settings,
            sent: HashMap::new(),
            closing: HashMap::new(),
            loads: Vec::new(),
            loading: HashMap::new(),
            left: HashMap::new(),
            seen: None,
        }
    }

    /// Forgets which orders were given, for instance after a pause.
    pub fn reset(&mut self) {
        self.sent.clear();
        self.closing.clear();
    }

    /// Decides what to do next for one service.
    pub fn step(
        &mut self,
        now: Time,
        service: &Service,
        plan: &Plan,
        views: &[VmView<'_>],
        limits: LoadLimits,
    ) -> PlannerAction {
        let Some(engine) = &service.engine else {
            return PlannerAction::Orders(Vec::new());
        };
        let own = views.iter().filter(|v| v.endpoint.service == service.name);
        // A VM without a record matters only as a member: nobody else needs orders.
        let own = own.filter(|v| v.listed || plan.group_of(&v.endpoint.id).is_some());
        let vms: Vms<'_> = own.map(|v| (&*v.endpoint.id, *v)).collect();
        let epochs = vms.values().filter_map(VmView::membership).map(|m| m.epoch);
        if epochs.max().is_some_and(|newest| newest > plan.epoch) {
            return PlannerAction::Reread;
        }
        let growing = self.is_growing(now, vms.len());
        if growing && plan.groups.is_empty() && !limits.traffic_seen {
            return PlannerAction::Orders(Vec::new());
        }
        let weights = if limits.traffic_seen {
            Weights::Loaded
        } else {
            Weights::Any
        };
        let better = formation::revise(self.settings, engine, &service.name, plan, &vms, weights);
        if let Some(plan) = better {
            return PlannerAction::Store(plan);
        }
        PlannerAction::Orders(self.orders(now, service, engine, plan, &vms, limits))
    }

    /// Returns whether VMs still come in: groups that are planned from half of them
    /// crowd together in few domains.
    fn is_growing(&mut self, now: Time, count: usize) -> bool {
        match self.seen {
            Some((known, since)) if known == count => now.since(since) < ROSTER_STILL,
            _ => {
                self.seen = Some((count, now));
                true
            }
        }
    }

    /// Takes the answer of an incarnation to an order.
    pub fn on_answer(&mut self, order: &Order, born: u64, answer: OrderAnswer) {
        let key = (order.endpoint.clone(), order.kind.label());
        if let Some(sent) = self.sent.get_mut(&key) {
            sent.answer = Some(answer);
            if order.kind == OrderKind::Leave
                && answer == OrderAnswer::Done
                && let Some(state) = sent.state
            {
                let epoch = order.epoch;
                let left = Left { born, epoch, state };
                self.left.insert(order.endpoint.clone(), left);
            }
        }
        let refused = matches!(
            answer,
            OrderAnswer::Conflict
                | OrderAnswer::Outdated
                | OrderAnswer::Misdirected
                | OrderAnswer::Refused
        );
        if refused {
            self.loading.remove(&order.endpoint);
        }
    }

    fn orders(
        &mut self,
        now: Time,
        service: &Service,
        engine: &Engine,
        plan: &Plan,
        vms: &Vms<'_>,
        limits: LoadLimits,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        self.closing.retain(|id, _| vms.contains_key(&**id));
        self.left
            .retain(|id, _| vms.get(&**id).is_some_and(|v| v.membership().is_some()));
        self.sent.retain(|(id, _), _| vms.contains_key(&**id));
        for vm in vms.values().filter(|v| !v.is_lost()) {
            orders.extend(self.part_from_old_group(now, engine, plan, vms, vm));
        }
        self.drop_finished_loads(now, vms);
        let groups = plan.groups.iter().filter(|g| *g.service == *service.name);
        for group in formation::by_nearness(groups, vms) {
            let Some(model) = engine.models.iter().find(|m| *m.name == *group.model) else {
                continue;
            };
            self.bring_up(now, engine, model, group, vms, limits, &mut orders);
        }
        orders
    }

    /// Makes a VM leave a group that the plan doesn't hold (any more). A head that
    /// still has all members finishes its requests first, and they stay with it.
    fn part_from_old_group(
        &mut self,
        now: Time,
        engine: &Engine,
        plan: &Plan,
        vms: &Vms<'_>,
        vm: &VmView<'_>,
    ) -> Option<Order> {
        let membership = vm.membership()?;
        let planned = plan
            .groups
            .iter()
            .any(|g| vm.is_in(g) && g.has_member(&vm.endpoint.id));
        if planned || is_standby(membership) || self.has_left(vm, membership) {
            self.closing.remove(&vm.endpoint.id);
            return None;
        }
        let mates = vms.values().filter(|v| !v.is_lost());
        let mates = mates.filter_map(|v| Some((v, v.membership()?)));
        let mates =
            mates.filter(|(_, m)| m.group == membership.group && m.epoch == membership.epoch);
        let mates: SmallVec<[(&VmView<'_>, &Membership); 8]> = mates.collect();
        let model = vm.endpoint.model.as_deref();
        let size = engine.models.iter().find(|m| Some(&*m.name) == model);
        let whole = size.is_some_and(|m| mates.len() >= m.group_size);
        let serving = mates.iter().any(|(_, m)| m.is_serving());
        let since = *self.closing.entry(vm.endpoint.id.clone()).or_insert(now);
        let overdue = now.since(since) >= self.settings.close_timeout;
        let kind = match membership.state {
            _ if !whole || !serving || overdue => OrderKind::Leave,
            GroupState::Open => OrderKind::Close,
            _ => return None,
        };
        self.give(now, vm.endpoint, &membership.group, membership.epoch, kind)
    }

    /// Gives the next orders that a planned group needs.
    #[allow(clippy::too_many_arguments)]
    fn bring_up(
        &mut self,
        now: Time,
        engine: &Engine,
        model: &Model,
        group: &GroupPlan,
        vms: &Vms<'_>,
        limits: LoadLimits,
        orders: &mut Vec<Order>,
    ) {
        let members: Vec<&VmView<'_>> = group
            .members
            .iter()
            .filter_map(|m| vms.get(m.id.as_str()))
            .collect();
        if members.len() < group.members.len() || members.iter().any(|v| v.is_lost()) {
            return;
        }
        let names: Vec<Name> = members.iter().map(|v| v.endpoint.id.clone()).collect();
        let name: Name = group.name.as_str().into();
        for vm in members.iter().filter(|v| !v.is_in(group)) {
            if !self.is_free_to_join(vm) || !self.may_load(now, engine, model, vm, limits) {
                continue;
            }
            let kind = OrderKind::Join {
                model: model.name.clone(),
                members: names.clone(),
            };
            if let Some(order) = self.give(now, vm.endpoint, &name, group.epoch, kind) {
                self.on_load(now, model, vm);
                orders.push(order);
            }
        }
        let ready = |v: &&VmView<'_>| {
            v.is_in(group)
                && v.membership()
                    .is_some_and(|m| m.state != GroupState::Joining)
        };
        if group.standby {
            return;
        }
        let head = members[0];
        let waits = head.is_in(group)
            && head
                .membership()
                .is_some_and(|m| m.state == GroupState::Ready);
        if waits && members.iter().all(ready) {
            orders.extend(self.give(now, head.endpoint, &name, group.epoch, OrderKind::Open));
        }
    }

    /// Returns whether a VM is in no group that could serve: it was never in one,
    /// or it has left it.
    fn is_free_to_join(&self, vm: &VmView<'_>) -> bool {
        let old = vm.membership();
        old.is_none_or(|old| is_standby(old) || self.has_left(vm, old))
    }

    /// Returns whether a VM answered that it has left; its record may be older.
    fn has_left(&self, vm: &VmView<'_>, old: &Membership) -> bool {
        let now = Left {
            born: vm.endpoint.born,
            epoch: old.epoch,
            state: old.state,
        };
        self.left.get(&vm.endpoint.id) == Some(&now)
    }

    fn may_load(
        &self,
        now: Time,
        engine: &Engine,
        model: &Model,
        vm: &VmView<'_>,
        limits: LoadLimits,
    ) -> bool {
        if vm.has_staged(&model.name) || self.loading.contains_key(&vm.endpoint.id) {
            return true;
        }
        if !limits.traffic_seen {
            return true;
        }
        if self.loading.len() >= engine.max_concurrent_loads.max(1) {
            return false;
        }
        let second = Duration::from_secs(1);
        let recent = self
            .loads
            .iter()
            .filter(|t| now.since(**t) < second)
            .count();
        let rate = (engine.loads_per_s * limits.rate_fraction).max(1.0);
        ((recent + 1) as f64) <= rate
    }

    fn on_load(&mut self, now: Time, model: &Model, vm: &VmView<'_>) {
        if vm.has_staged(&model.name) || self.loading.contains_key(&vm.endpoint.id) {
            return;
        }
        self.loads
            .retain(|t| now.since(*t) < Duration::from_secs(1));
        self.loads.push(now);
        let loading = Loading {
            model: model.name.clone(),
            since: now,
            limit: model.load_time * 2,
        };
        self.loading.insert(vm.endpoint.id.clone(), loading);
    }

    fn drop_finished_loads(&mut self, now: Time, vms: &Vms<'_>) {
        self.loading.retain(|id, loading| {
            let vm = vms.get(&**id).filter(|v| !v.is_lost());
            let unfinished = vm.is_some_and(|v| !v.has_staged(&loading.model));
            unfinished && now.since(loading.since) < loading.limit
        });
    }

    /// Returns the order unless the same one was given a moment ago.
    fn give(
        &mut self,
        now: Time,
        endpoint: &Endpoint,
        group: &Name,
        epoch: u64,
        kind: OrderKind,
    ) -> Option<Order> {
        let label = kind.label();
        let key = (endpoint.id.clone(), label);
        if let Some(sent) = self.sent.get(&key)
            && sent.epoch == epoch
        {
            let wait = match sent.answer {
                Some(OrderAnswer::Begun | OrderAnswer::Done) => self.settings.report_timeout,
                _ => self.settings.resend_interval,
            };
            if now.since(sent.at) < wait {
                return None;
            }
        }
        let sent = Sent {
            at: now,
            epoch,
            state: endpoint.membership.as_ref().map(|m| m.state),
            answer: None,
        };
        self.sent.insert(key, sent);
        Some(Order {
            endpoint: endpoint.id.clone(),
            address: endpoint.address,
            group: group.clone(),
            epoch,
            kind,
        })
    }
}

fn is_standby(membership: &Membership) -> bool {
    membership.group.contains(STANDBY_MARK)
}
