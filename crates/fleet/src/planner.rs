//! Plans the groups of every service, and gives the orders that form them.
//!
//! The plan is stored before any order that depends on it, and orders follow from the
//! difference between the plan and what the VMs report. So when a planner dies, another
//! entry takes over without any further state. Invariants:
//!
//! - One list of members has one epoch, and epochs only grow. A VM refuses an epoch lower
//!   than one that it has seen, so a late order to join is harmless.
//! - A VM joins a group only after it has left its former one. A leader whose members have
//!   left stalls, and a VM that has left its group refuses a late order to open it.
//! - A leader is opened only after every member has reported ready for that epoch.
//!
//! When a group loses a member under load, a spare VM whose host has the weights replaces
//! it. See `docs/SYSTEM.md`.

mod consolidate;
mod formation;
mod free;
mod recovery;
mod repair;
mod standby;
mod surge;
mod view;

use std::collections::HashMap;
use std::time::Duration;

use bulrushhoist_core::Time;
use smallvec::SmallVec;

use crate::Name;
use crate::catalog::{Engine, Model, Service};
use crate::demand::Demand;
use crate::endpoint::{Endpoint, GroupMembership, GroupState};
use crate::orders::{Order, OrderAnswer, OrderKind};
use crate::plan::{GroupPlan, Plan};

pub use recovery::recover;
pub(crate) use view::Vms;
pub use view::{VmView, vm_views};

/// Parameters of the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerSettings {
    /// Number of spare VMs that each fabric domain keeps for each model.
    pub spares: usize,
    /// Time after which an order that wasn't answered or was refused is given again.
    pub resend_interval: Duration,
    /// Time within which an accepted order must show in the VM's record. After that it is
    /// given again.
    pub report_timeout: Duration,
    /// Time after which VMs must leave a group that isn't planned, even if its leader hasn't
    /// finished its requests.
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

/// Limits on loads of weights from the shared store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadLimits {
    /// Whether callers have sent requests yet. Before that, loads aren't limited.
    pub traffic_seen: bool,
    /// Fraction of the published rate of loads that is used.
    pub rate_fraction: f64,
}

/// Which VMs may become members of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Eligibility {
    /// VMs whose hosts have the weights. The others load them on standby, so that no
    /// member waits for the load of another.
    Staged,
    /// All VMs. Loads are short before callers send requests.
    Any,
}

/// What the caller of [`Planner::step`] must do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlannerAction {
    /// Store this plan. No order may be given before it is stored.
    Store(Plan),
    /// Give these orders to the endpoints.
    Orders(Vec<Order>),
    /// Read the plan again, because a VM has joined a group of a newer one.
    Reread,
}

/// The last order of one kind to one VM.
#[derive(Clone, Copy, Debug)]
struct SentOrder {
    at: Time,
    epoch: u64,
    /// State in the VM's record when the order was given.
    state: Option<GroupState>,
    answer: Option<OrderAnswer>,
}

/// A VM's answer that it has left a group, which counts until its record shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Departure {
    incarnation: u64,
    epoch: u64,
    /// State in the VM's record when the order to leave was given. If a late order makes
    /// the VM join the same group again, its record shows another state.
    state: GroupState,
}

/// Plans and repairs the groups of every service with engines.
#[derive(Debug)]
pub struct Planner {
    settings: PlannerSettings,
    /// Last orders by VM and label of the order's kind.
    sent: HashMap<(Name, &'static str), SentOrder>,
    /// When each VM was first seen in a group that isn't planned.
    unplanned_since: HashMap<Name, Time>,
    /// When loads from the shared store began within the last second.
    load_starts: Vec<Time>,
    /// Unfinished loads by VM.
    pending_loads: HashMap<Name, PendingLoad>,
    departures: HashMap<Name, Departure>,
    /// The number of VMs, and since when it is the same.
    vm_count: Option<(usize, Time)>,
}

/// A load from the shared store that an order to join started.
#[derive(Clone, Debug)]
struct PendingLoad {
    model: Name,
    since: Time,
    /// Time after which it no longer counts, finished or not.
    limit: Duration,
}

/// Time for which the number of VMs must stay the same before the first groups are
/// planned.
const ROSTER_SETTLE_TIME: Duration = Duration::from_millis(500);

impl Planner {
    /// Creates a planner that has given no orders.
    #[must_use]
    pub fn new(settings: PlannerSettings) -> Self {
        Self {
            settings,
            sent: HashMap::new(),
            unplanned_since: HashMap::new(),
            load_starts: Vec::new(),
            pending_loads: HashMap::new(),
            departures: HashMap::new(),
            vm_count: None,
        }
    }

    /// Discards what is known of given orders, so that they may be given again. It is
    /// called when this entry was suspended or stopped planning.
    pub fn reset(&mut self) {
        self.sent.clear();
        self.unplanned_since.clear();
    }

    /// Decides what to do next for one service. Without a demand, spares form no surge
    /// groups.
    pub fn step(
        &mut self,
        now: Time,
        service: &Service,
        plan: &Plan,
        views: &[VmView<'_>],
        limits: LoadLimits,
        demand: Option<&Demand>,
    ) -> PlannerAction {
        let Some(engine) = &service.engine else {
            return PlannerAction::Orders(Vec::new());
        };
        let own = views.iter().filter(|v| v.endpoint.service == service.name);
        // A VM without a record gets orders only as a member of a planned group.
        let own = own.filter(|v| v.listed || plan.group_of(&v.endpoint.id).is_some());
        let vms: Vms<'_> = own.map(|v| (&*v.endpoint.id, *v)).collect();
        let epochs = vms.values().filter_map(VmView::membership).map(|m| m.epoch);
        if epochs.max().is_some_and(|newest| newest > plan.epoch) {
            return PlannerAction::Reread;
        }
        let changing = self.is_roster_changing(now, vms.len());
        if changing && plan.groups.is_empty() && !limits.traffic_seen {
            return PlannerAction::Orders(Vec::new());
        }
        let eligibility = if limits.traffic_seen {
            Eligibility::Staged
        } else {
            Eligibility::Any
        };
        let revised = formation::revise(
            self.settings,
            engine,
            &service.name,
            plan,
            &vms,
            eligibility,
            demand,
        );
        if let Some(plan) = revised {
            return PlannerAction::Store(plan);
        }
        PlannerAction::Orders(self.orders(now, service, engine, plan, &vms, limits))
    }

    /// Returns whether the number of VMs changed within [`ROSTER_SETTLE_TIME`]. Groups that
    /// are planned before all VMs are known would be concentrated in few domains.
    fn is_roster_changing(&mut self, now: Time, count: usize) -> bool {
        match self.vm_count {
            Some((known, since)) if known == count => now.since(since) < ROSTER_SETTLE_TIME,
            _ => {
                self.vm_count = Some((count, now));
                true
            }
        }
    }

    /// Records the answer of an incarnation to an order.
    pub fn on_answer(&mut self, order: &Order, incarnation: u64, answer: OrderAnswer) {
        let key = (order.endpoint.clone(), order.kind.label());
        if let Some(sent) = self.sent.get_mut(&key) {
            sent.answer = Some(answer);
            if order.kind == OrderKind::Leave
                && answer == OrderAnswer::Done
                && let Some(state) = sent.state
            {
                let epoch = order.epoch;
                let departure = Departure {
                    incarnation,
                    epoch,
                    state,
                };
                self.departures.insert(order.endpoint.clone(), departure);
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
            self.pending_loads.remove(&order.endpoint);
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
        self.unplanned_since.retain(|id, _| vms.contains_key(&**id));
        self.departures
            .retain(|id, _| vms.get(&**id).is_some_and(|v| v.membership().is_some()));
        self.sent.retain(|(id, _), _| vms.contains_key(&**id));
        let planned: HashMap<&str, &GroupPlan> =
            plan.groups.iter().map(|g| (g.name.as_str(), g)).collect();
        for vm in vms.values().filter(|v| !v.is_lost()) {
            orders.extend(self.leave_old_group(now, engine, &planned, vms, vm));
        }
        self.remove_finished_loads(now, vms);
        let groups = plan.groups.iter().filter(|g| *g.service == *service.name);
        for group in formation::sort_by_unstaged(groups, vms) {
            let Some(model) = engine.models.iter().find(|m| *m.name == *group.model) else {
                continue;
            };
            self.advance_group(now, engine, model, group, vms, limits, &mut orders);
        }
        orders
    }

    /// Returns an order by which a VM leaves a group that isn't planned. If the group is
    /// complete and serving, its leader is closed first, and the members stay until it has
    /// finished its requests.
    fn leave_old_group(
        &mut self,
        now: Time,
        engine: &Engine,
        planned: &HashMap<&str, &GroupPlan>,
        vms: &Vms<'_>,
        vm: &VmView<'_>,
    ) -> Option<Order> {
        let membership = vm.membership()?;
        let group = planned.get(&*membership.group);
        let planned = group.is_some_and(|g| vm.is_in(g) && g.has_member(&vm.endpoint.id));
        if planned
            || standby::is_on_standby(vm.endpoint, membership)
            || self.has_left(vm, membership)
        {
            self.unplanned_since.remove(&vm.endpoint.id);
            return None;
        }
        let members = vms.values().filter(|v| !v.is_lost());
        let members = members.filter_map(|v| Some((v, v.membership()?)));
        let members =
            members.filter(|(_, m)| m.group == membership.group && m.epoch == membership.epoch);
        let members: SmallVec<[(&VmView<'_>, &GroupMembership); 8]> = members.collect();
        let model = vm.endpoint.model.as_deref();
        let model = engine.models.iter().find(|m| Some(&*m.name) == model);
        let complete = model.is_some_and(|m| members.len() >= m.group_size);
        let serving = members.iter().any(|(_, m)| m.is_serving());
        let since = *self
            .unplanned_since
            .entry(vm.endpoint.id.clone())
            .or_insert(now);
        let overdue = now.since(since) >= self.settings.close_timeout;
        let kind = match membership.state {
            _ if !complete || !serving || overdue => OrderKind::Leave,
            GroupState::Open => OrderKind::Close,
            _ => return None,
        };
        self.new_order(now, vm.endpoint, &membership.group, membership.epoch, kind)
    }

    /// Adds the next orders that a planned group needs to join and to open.
    #[allow(clippy::too_many_arguments)]
    fn advance_group(
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
            if !self.may_join(vm) || !self.may_load(now, engine, model, vm, limits) {
                continue;
            }
            let kind = OrderKind::Join {
                model: model.name.clone(),
                members: names.clone(),
            };
            if let Some(order) = self.new_order(now, vm.endpoint, &name, group.epoch, kind) {
                self.record_load(now, model, vm);
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
        let leader = members[0];
        let may_open = leader.is_in(group)
            && leader
                .membership()
                .is_some_and(|m| m.state == GroupState::Ready);
        if may_open && members.iter().all(ready) {
            orders.extend(self.new_order(
                now,
                leader.endpoint,
                &name,
                group.epoch,
                OrderKind::Open,
            ));
        }
    }

    /// Returns whether a VM may join a group: it is in no group, on standby, or has left
    /// its group.
    fn may_join(&self, vm: &VmView<'_>) -> bool {
        let old = vm.membership();
        old.is_none_or(|old| standby::is_on_standby(vm.endpoint, old) || self.has_left(vm, old))
    }

    /// Returns whether a VM answered that it has left a group that its record still shows.
    fn has_left(&self, vm: &VmView<'_>, old: &GroupMembership) -> bool {
        let departure = Departure {
            incarnation: vm.endpoint.incarnation,
            epoch: old.epoch,
            state: old.state,
        };
        self.departures.get(&vm.endpoint.id) == Some(&departure)
    }

    /// Returns whether a VM may join a group now if that makes it load weights from the
    /// shared store.
    fn may_load(
        &self,
        now: Time,
        engine: &Engine,
        model: &Model,
        vm: &VmView<'_>,
        limits: LoadLimits,
    ) -> bool {
        if vm.has_staged(&model.name) || self.pending_loads.contains_key(&vm.endpoint.id) {
            return true;
        }
        if !limits.traffic_seen {
            return true;
        }
        if self.pending_loads.len() >= engine.max_concurrent_loads.max(1) {
            return false;
        }
        let second = Duration::from_secs(1);
        let recent = self
            .load_starts
            .iter()
            .filter(|t| now.since(**t) < second)
            .count();
        let rate = (engine.loads_per_s * limits.rate_fraction).max(1.0);
        ((recent + 1) as f64) <= rate
    }

    /// Records that an order to join makes a VM load weights from the shared store, if it
    /// doesn't have them.
    fn record_load(&mut self, now: Time, model: &Model, vm: &VmView<'_>) {
        if vm.has_staged(&model.name) || self.pending_loads.contains_key(&vm.endpoint.id) {
            return;
        }
        self.load_starts
            .retain(|t| now.since(*t) < Duration::from_secs(1));
        self.load_starts.push(now);
        let loading = PendingLoad {
            model: model.name.clone(),
            since: now,
            limit: model.load_time * 2,
        };
        self.pending_loads.insert(vm.endpoint.id.clone(), loading);
    }

    /// Removes the loads that have finished, whose VM is lost, or that take too long.
    fn remove_finished_loads(&mut self, now: Time, vms: &Vms<'_>) {
        self.pending_loads.retain(|id, loading| {
            let vm = vms.get(&**id).filter(|v| !v.is_lost());
            let unfinished = vm.is_some_and(|v| !v.has_staged(&loading.model));
            unfinished && now.since(loading.since) < loading.limit
        });
    }

    /// Returns a new order, unless the same one was given recently.
    fn new_order(
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
        let sent = SentOrder {
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
