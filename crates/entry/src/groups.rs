//! Runs the group planner while this entry is the one that plans.
//!
//! The plan is read from the store when this entry takes over, and written by
//! conditional updates. If the answer to a write is lost, the plan is read again to see
//! whether the write took effect.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{
    Catalog, Demand, Endpoint, GroupPlan, Health, LoadLimits, Name, Order, Plan, Planner,
    PlannerAction, PlannerSettings, recover, vm_views,
};
use slog::{debug, info, warn};
use tokio::task::spawn_local;

use crate::control::ControlConnections;
use crate::demand;
use crate::dialect::ObjectKind;
use crate::node::Node;
use crate::peers;
use crate::store::{Answer, StoreError};

/// Name of the plan in the store.
const PLAN_NAME: &str = "main";
/// Longest pause between two runs of the planner.
const MAX_PLANNING_PAUSE: Duration = Duration::from_millis(200);
/// Interval between two probes of a VM in a group.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between two probes of a VM in a group with a suspected member.
const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Share of the published rate of model loads that is used.
const LOAD_RATE_SHARE: f64 = 0.9;
/// Shortest suspension of this VM after which sent orders are forgotten and the plan is
/// read again.
const MIN_SUSPENSION: Duration = Duration::from_millis(400);
/// Shortest time for which this entry must be the preferred planner before it takes over,
/// so that a message of a peer that has just started can arrive.
const TAKEOVER_DELAY: Duration = Duration::from_millis(200);

/// Age of the known plan after which it is read again: an entry whose messages do not
/// arrive here may have written another.
const REREAD_INTERVAL: Duration = Duration::from_secs(1);

/// The plan as it was last read from or written to the store.
#[derive(Clone, Debug, Default)]
struct StoredPlan {
    plan: Plan,
    /// Its revision in the store, or `None` if the store has no plan.
    revision: Option<u64>,
    /// Era of the store that had it.
    era: u64,
    /// When it was read or written.
    read_at: Time,
}

/// The planner of this process, with the connections on which it sends orders and probes.
struct Controller {
    node: Rc<Node>,
    connections: ControlConnections,
    planner: RefCell<Planner>,
    /// The last plan that this entry has stored.
    latest: RefCell<Plan>,
    /// When each VM was last probed.
    probed: RefCell<BTreeMap<Name, Time>>,
    /// Demand for the models of each latency-critical service. One that is older than its
    /// smoothing time no longer counts, so it needs no reset when this entry stops planning.
    demands: RefCell<HashMap<Name, Demand>>,
}

/// Runs the planner until the process ends, in the periods in which this entry plans.
pub(crate) async fn plan_groups(node: Rc<Node>) {
    let controller = Rc::new(Controller {
        node: node.clone(),
        connections: ControlConnections::default(),
        planner: RefCell::new(Planner::new(PlannerSettings::default())),
        latest: RefCell::default(),
        probed: RefCell::default(),
        demands: RefCell::default(),
    });
    let mut stored: Option<StoredPlan> = None;
    let mut eligible_since: Option<Time> = None;
    loop {
        // Whether this was a wake-up or the timeout makes no difference.
        let _ = tokio::time::timeout(MAX_PLANNING_PAUSE, node.planner_wake.notified()).await;
        let now = node.now();
        if node.clock.suspended() >= MIN_SUSPENSION {
            warn!(node.log, "VM was suspended");
            controller.planner.borrow_mut().reset();
            stored = None;
            eligible_since = None;
            node.state.borrow_mut().planning = false;
            node.state.borrow_mut().contact.reset();
            continue;
        }
        if !peers::may_plan(&node) {
            let planned = std::mem::take(&mut node.state.borrow_mut().planning);
            if planned {
                info!(node.log, "stopped planning");
                controller.planner.borrow_mut().reset();
                stored = None;
            }
            eligible_since = None;
            continue;
        }
        let since = *eligible_since.get_or_insert(now);
        if now.since(since) < peers::takeover_delay(&node).max(TAKEOVER_DELAY) {
            continue;
        }
        if !std::mem::replace(&mut node.state.borrow_mut().planning, true) {
            info!(node.log, "planning");
        }
        if stored
            .as_ref()
            .is_some_and(|s| now.since(s.read_at) >= REREAD_INTERVAL)
        {
            stored = None;
        }
        let current = match stored.take() {
            Some(current) => current,
            None => match read_plan(&node).await {
                Ok(read) => {
                    node.state.borrow_mut().contact.on_direct_answer(node.now());
                    debug!(node.log, "plan read"; "groups" => read.plan.groups.len(), "epoch" => read.plan.epoch, "revision" => read.revision);
                    read
                }
                Err(error) => {
                    warn!(node.log, "plan not read"; "cause" => %error);
                    on_planner_failure(&node);
                    continue;
                }
            },
        };
        stored = controller.advance(current).await;
    }
}

/// Records that the store didn't answer the planner. Another entry may reach it.
fn on_planner_failure(node: &Node) {
    let now = node.now();
    node.state.borrow_mut().contact.on_planner_failure(now);
}

async fn read_plan(node: &Node) -> Result<StoredPlan, StoreError> {
    match node.store.read(ObjectKind::Plans, PLAN_NAME).await {
        Ok(answer) => match serde_json::from_slice(&answer.content.body) {
            Ok(plan) => Ok(StoredPlan {
                plan,
                revision: Some(answer.content.revision),
                era: answer.era,
                read_at: node.now(),
            }),
            Err(error) => {
                warn!(node.log, "plan not usable, planning anew"; "cause" => %error);
                Ok(StoredPlan {
                    // Its era is unknown, so the groups that run and their epochs are
                    // recovered.
                    plan: Plan::default(),
                    revision: Some(answer.content.revision),
                    era: answer.era,
                    read_at: node.now(),
                })
            }
        },
        Err(StoreError::Absent) => Ok(StoredPlan {
            era: node.store.era().unwrap_or(0),
            read_at: node.now(),
            ..StoredPlan::default()
        }),
        Err(error) => Err(error),
    }
}

impl Controller {
    /// Plans every service that has engines: stores changed plans until no change is left,
    /// then sends the orders. Returns the plan that is stored, or `None` if it must be read
    /// again.
    async fn advance(self: &Rc<Self>, mut stored: StoredPlan) -> Option<StoredPlan> {
        let incomplete = self
            .node
            .state
            .borrow()
            .roster
            .is_incomplete(self.node.now());
        if incomplete && !stored.plan.groups.is_empty() {
            // The store has just returned from an outage: leaders that have no record yet
            // may register again shortly.
            return Some(stored);
        }
        let catalog = self.node.state.borrow().catalog.clone();
        if stored.plan.era < stored.era {
            stored = self.recover(&catalog, stored).await?;
        }
        self.probe(&stored.plan);
        let mut has_contact = false;
        for service in catalog.services().filter(|s| s.engine.is_some()) {
            loop {
                match self.step(&catalog, &service.name, &stored.plan) {
                    PlannerAction::Store(_) if !has_contact => {
                        // The failures that call for another plan may be this entry's own.
                        if !self.node.reaches_endpoints().await {
                            info!(self.node.log, "plan held back"; "epoch" => stored.plan.epoch);
                            return Some(stored);
                        }
                        has_contact = true;
                    }
                    PlannerAction::Store(plan) => stored = self.store(stored, plan).await?,
                    PlannerAction::Reread => {
                        info!(self.node.log, "plan is outdated"; "epoch" => stored.plan.epoch);
                        return None;
                    }
                    PlannerAction::Orders(orders) => {
                        self.send_orders(&stored.plan, orders);
                        break;
                    }
                }
            }
        }
        Some(stored)
    }

    /// Stores the plan of an earlier era anew, with the groups that run now.
    async fn recover(&self, catalog: &Catalog, stored: StoredPlan) -> Option<StoredPlan> {
        let node = &self.node;
        let latest = self.latest.borrow().clone();
        let mut plan = match latest.epoch > stored.plan.epoch {
            true => latest,
            false => stored.plan.clone(),
        };
        for service in catalog.services().filter(|s| s.engine.is_some()) {
            let state = node.state.borrow();
            let views = vm_views(node.now(), &service.name, &state.roster, &state.monitor);
            plan = recover(&plan, service, &views);
        }
        plan.begin_era(stored.era);
        if plan.epoch == 0 {
            // Nothing was ever planned.
            return Some(StoredPlan { plan, ..stored });
        }
        warn!(node.log, "plan recovered"; "era" => stored.era, "stored_epoch" => stored.plan.epoch, "epoch" => plan.epoch, "groups" => plan.groups.len(), "before" => stored.plan.groups.len());
        self.store(stored, plan).await
    }

    /// Returns the planner's next step for one service.
    fn step(&self, catalog: &Catalog, service: &str, plan: &Plan) -> PlannerAction {
        let node = &self.node;
        let now = node.now();
        let state = node.state.borrow();
        let views = vm_views(now, service, &state.roster, &state.monitor);
        let limits = LoadLimits {
            traffic_seen: state.traffic_seen,
            rate_fraction: LOAD_RATE_SHARE,
        };
        let Some(service) = catalog.service(service) else {
            return PlannerAction::Orders(Vec::new());
        };
        let mut demands = self.demands.borrow_mut();
        let demand = catalog.is_latency_critical(&service.name).then(|| {
            let demand = demands.entry(service.name.clone()).or_default();
            demand::sample(node, &state, now, service, demand);
            &*demand
        });
        self.planner
            .borrow_mut()
            .step(now, service, plan, &views, limits, demand)
    }

    /// Writes a plan unless another entry has written one since the last read.
    async fn store(&self, stored: StoredPlan, plan: Plan) -> Option<StoredPlan> {
        let node = &self.node;
        let body = serde_json::to_string(&plan).expect("a plan is valid JSON");
        let written = node
            .store
            .write(ObjectKind::Plans, PLAN_NAME, stored.revision, &body)
            .await;
        node.metrics.on_store_call("write", written.is_ok());
        match written {
            Ok(Answer { era, .. }) if era != stored.era => {
                // The revision may have been that of another writer's plan.
                info!(node.log, "plan stored in another era"; "era" => era, "epoch" => plan.epoch);
                None
            }
            Ok(Answer {
                content: object, ..
            }) => {
                node.state.borrow_mut().contact.on_direct_answer(node.now());
                *self.latest.borrow_mut() = plan.clone();
                info!(node.log, "plan stored"; "revision" => object.revision, "epoch" => plan.epoch, "groups" => plan.groups.len(), "before" => stored.plan.groups.len());
                self.log_difference(&stored.plan, &plan);
                Some(StoredPlan {
                    plan,
                    revision: Some(object.revision),
                    era: stored.era,
                    read_at: node.now(),
                })
            }
            Err(error) => {
                warn!(node.log, "plan not stored"; "cause" => %error);
                if matches!(error, StoreError::NoAnswer(_) | StoreError::Refused(_)) {
                    on_planner_failure(node);
                }
                None
            }
        }
    }

    fn log_difference(&self, old: &Plan, new: &Plan) {
        let log = &self.node.log;
        for group in new.groups.iter().filter(|g| !old.groups.contains(g)) {
            let members: Vec<&str> = group.members.iter().map(|m| m.id.as_str()).collect();
            info!(log, "group planned"; "group" => &group.name, "model" => &group.model, "epoch" => group.epoch, "members" => members.join(","), "surge" => group.surge);
        }
        let kept = |g: &&GroupPlan| new.groups.iter().any(|n| n.name == g.name);
        for group in old.groups.iter().filter(|g| !kept(g)) {
            info!(log, "group given up"; "group" => &group.name, "model" => &group.model, "epoch" => group.epoch);
        }
    }

    /// Sends orders to their endpoints, each in a task of its own, so that an order
    /// without an answer does not delay the others.
    fn send_orders(self: &Rc<Self>, plan: &Plan, orders: Vec<Order>) {
        let fencing_token = self.node.bounds.get().fencing.then_some(plan.epoch);
        for order in orders {
            let found = self
                .node
                .state
                .borrow()
                .roster
                .get_or_unlisted(&order.endpoint)
                .cloned();
            let Some(endpoint) = found else {
                continue;
            };
            let controller = self.clone();
            spawn_local(async move {
                let node = &controller.node;
                let answer = controller
                    .connections
                    .send_order(node, &endpoint, &order, fencing_token)
                    .await;
                controller
                    .planner
                    .borrow_mut()
                    .on_answer(&order, endpoint.incarnation, answer);
                node.planner_wake.notify_one();
            });
        }
    }

    /// Probes the VMs whose last probe is older than their interval.
    fn probe(self: &Rc<Self>, plan: &Plan) {
        for endpoint in self.due_probes(plan) {
            let controller = self.clone();
            spawn_local(async move {
                let node = &controller.node;
                if controller
                    .connections
                    .probe(node, &endpoint)
                    .await
                    .is_none()
                {
                    node.planner_wake.notify_one();
                }
            });
        }
    }

    /// Returns the VMs to probe now, and records them as probed.
    fn due_probes(&self, plan: &Plan) -> Vec<Endpoint> {
        let now = self.node.now();
        let state = self.node.state.borrow();
        let mut probed = self.probed.borrow_mut();
        probed.retain(|id, _| state.roster.get_or_unlisted(id).is_some());
        let mut due = Vec::new();
        // A lost VM is probed even if the plan no longer names it: once it answers again
        // it has to leave its old group.
        for endpoint in state.roster.iter().filter(|e| e.membership.is_some()) {
            let health = state
                .monitor
                .health(now, &endpoint.id, endpoint.incarnation);
            let lost = matches!(health, Health::Silent | Health::Dead);
            let last = probed.get(&endpoint.id);
            if lost && last.is_none_or(|t| now.since(*t) >= PROBE_INTERVAL) {
                probed.insert(endpoint.id.clone(), now);
                due.push(endpoint.clone());
            }
        }
        for group in &plan.groups {
            let members = group.members.iter();
            let members = members.filter_map(|m| state.roster.get_or_unlisted(&m.id));
            let members: Vec<&Endpoint> = members.collect();
            let suspected = members.iter().any(|e| {
                let health = state.monitor.health(now, &e.id, e.incarnation);
                health != Health::Alive || state.roster.get(&e.id).is_none()
            });
            let interval = if suspected {
                SUSPECT_PROBE_INTERVAL
            } else {
                PROBE_INTERVAL
            };
            for endpoint in members {
                let last = probed.get(&endpoint.id);
                if last.is_none_or(|t| now.since(*t) >= interval) {
                    probed.insert(endpoint.id.clone(), now);
                    due.push(endpoint.clone());
                }
            }
        }
        due
    }
}
