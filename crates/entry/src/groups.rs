//! Plans groups while this entry is the one to do so.
//!
//! The plan is read when this entry takes over, and written by conditional
//! updates; an answer that is lost is settled by reading the plan again.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{
    Catalog, Endpoint, GroupPlan, Health, LoadLimits, Name, Order, Plan, Planner, PlannerAction,
    PlannerSettings, vm_views,
};
use slog::{debug, info, warn};
use tokio::task::spawn_local;

use crate::control::ControlLinks;
use crate::dialect::ObjectKind;
use crate::node::Node;
use crate::peers;
use crate::store::StoreError;

/// Name of the plan in the store.
const PLAN_NAME: &str = "main";
/// Longest pause between two looks at plan and reports.
const TICK: Duration = Duration::from_millis(200);
/// Time between two probes of a VM in a group.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time between two probes of a VM in a group under suspicion.
const SUSPECT_INTERVAL: Duration = Duration::from_millis(200);
/// Part of the store's published rate of loads that is used.
const LOAD_RATE_PART: f64 = 0.9;
/// Suspension after which given orders are forgotten and the plan is read again.
const SUSPENDED: Duration = Duration::from_millis(400);
/// Time for which this entry must be the one to plan before it takes over, so that
/// a peer that has just started can be heard.
const TAKEOVER_DELAY: Duration = Duration::from_millis(200);

/// Age of what is known of the plan after which it is read again: another entry may
/// plan that this one doesn't hear.
const REREAD_INTERVAL: Duration = Duration::from_secs(1);

/// The plan as it was last read or written.
#[derive(Clone, Debug, Default)]
struct Stored {
    plan: Plan,
    revision: Option<u64>,
    read: Time,
}

/// The planner's state in this process.
struct Controller {
    node: Rc<Node>,
    links: ControlLinks,
    planner: RefCell<Planner>,
    probed: RefCell<BTreeMap<Name, Time>>,
}

/// Plans for ever.
pub(crate) async fn plan_groups(node: Rc<Node>) {
    let controller = Rc::new(Controller {
        node: node.clone(),
        links: ControlLinks::default(),
        planner: RefCell::new(Planner::new(PlannerSettings::default())),
        probed: RefCell::default(),
    });
    let mut stored: Option<Stored> = None;
    let mut first_chance: Option<Time> = None;
    loop {
        // A wake-up only shortens the pause.
        let _ = tokio::time::timeout(TICK, node.planner_wake.notified()).await;
        let now = node.now();
        if node.clock.suspended() >= SUSPENDED {
            warn!(node.log, "process was suspended");
            controller.planner.borrow_mut().reset();
            stored = None;
            first_chance = None;
            node.state.borrow_mut().planning = false;
            node.state.borrow_mut().store_heard = None;
            continue;
        }
        if !peers::may_plan(&node) {
            let planned = std::mem::take(&mut node.state.borrow_mut().planning);
            if planned {
                info!(node.log, "stopped planning");
                controller.planner.borrow_mut().reset();
                stored = None;
            }
            first_chance = None;
            continue;
        }
        let since = *first_chance.get_or_insert(now);
        if now.since(since) < peers::hearing_time(&node).max(TAKEOVER_DELAY) {
            continue;
        }
        if !std::mem::replace(&mut node.state.borrow_mut().planning, true) {
            info!(node.log, "planning");
        }
        if stored
            .as_ref()
            .is_some_and(|s| now.since(s.read) >= REREAD_INTERVAL)
        {
            stored = None;
        }
        let current = match stored.take() {
            Some(current) => current,
            None => match read_plan(&node).await {
                Ok(read) => {
                    debug!(node.log, "plan read"; "groups" => read.plan.groups.len(), "epoch" => read.plan.epoch, "revision" => read.revision);
                    read
                }
                Err(error) => {
                    warn!(node.log, "plan not read"; "cause" => %error);
                    node.state.borrow_mut().store_failed = Some(node.now());
                    continue;
                }
            },
        };
        stored = controller.advance(current).await;
    }
}

async fn read_plan(node: &Node) -> Result<Stored, StoreError> {
    match node.store.read(ObjectKind::Plans, PLAN_NAME).await {
        Ok(object) => match serde_json::from_slice(&object.body) {
            Ok(plan) => Ok(Stored {
                plan,
                revision: Some(object.revision),
                read: node.now(),
            }),
            Err(error) => {
                warn!(node.log, "plan not usable, planning anew"; "cause" => %error);
                Ok(Stored {
                    plan: Plan {
                        // Revisions of the store grow faster than epochs are drawn.
                        epoch: object.revision,
                        ..Plan::default()
                    },
                    revision: Some(object.revision),
                    read: node.now(),
                })
            }
        },
        Err(StoreError::Absent) => Ok(Stored {
            read: node.now(),
            ..Stored::default()
        }),
        Err(error) => Err(error),
    }
}

impl Controller {
    /// Takes one step with every service that has engines. Returns what is stored,
    /// or `None` if it must be read again.
    async fn advance(self: &Rc<Self>, mut stored: Stored) -> Option<Stored> {
        let unsettled = self
            .node
            .state
            .borrow()
            .roster
            .is_incomplete(self.node.now());
        if unsettled && !stored.plan.groups.is_empty() {
            // Heads without a record may be back in a moment.
            return Some(stored);
        }
        let catalog = self.node.state.borrow().catalog.clone();
        self.probe(&stored.plan);
        for service in catalog.services().filter(|s| s.engine.is_some()) {
            loop {
                match self.step(&catalog, &service.name, &stored.plan) {
                    PlannerAction::Store(plan) => stored = self.store(stored, plan).await?,
                    PlannerAction::Reread => {
                        info!(self.node.log, "plan is outdated"; "epoch" => stored.plan.epoch);
                        return None;
                    }
                    PlannerAction::Orders(orders) => {
                        self.give(&stored.plan, orders);
                        break;
                    }
                }
            }
        }
        Some(stored)
    }

    fn step(&self, catalog: &Catalog, service: &str, plan: &Plan) -> PlannerAction {
        let node = &self.node;
        let now = node.now();
        let state = node.state.borrow();
        let views = vm_views(now, service, &state.roster, &state.monitor);
        let limits = LoadLimits {
            traffic_seen: state.in_traffic,
            rate_fraction: LOAD_RATE_PART,
        };
        let Some(service) = catalog.service(service) else {
            return PlannerAction::Orders(Vec::new());
        };
        self.planner
            .borrow_mut()
            .step(now, service, plan, &views, limits)
    }

    /// Writes a plan if nobody else has written one since.
    async fn store(&self, stored: Stored, plan: Plan) -> Option<Stored> {
        let node = &self.node;
        let body = serde_json::to_string(&plan).expect("a plan is valid JSON");
        let written = node
            .store
            .write(ObjectKind::Plans, PLAN_NAME, stored.revision, &body)
            .await;
        node.metrics.on_store_call("write", written.is_ok());
        match written {
            Ok(object) => {
                info!(node.log, "plan stored"; "revision" => object.revision, "epoch" => plan.epoch, "groups" => plan.groups.len(), "before" => stored.plan.groups.len());
                self.log_difference(&stored.plan, &plan);
                Some(Stored {
                    plan,
                    revision: Some(object.revision),
                    read: node.now(),
                })
            }
            Err(error) => {
                warn!(node.log, "plan not stored"; "cause" => %error);
                if matches!(error, StoreError::NoAnswer(_) | StoreError::Refused(_)) {
                    // Another entry may reach the store.
                    node.state.borrow_mut().store_failed = Some(node.now());
                }
                None
            }
        }
    }

    fn log_difference(&self, old: &Plan, new: &Plan) {
        let log = &self.node.log;
        for group in new.groups.iter().filter(|g| !old.groups.contains(g)) {
            let members: Vec<&str> = group.members.iter().map(|m| m.id.as_str()).collect();
            info!(log, "group planned"; "group" => &group.name, "model" => &group.model, "epoch" => group.epoch, "members" => members.join(","));
        }
        let kept = |g: &&GroupPlan| new.groups.iter().any(|n| n.name == g.name);
        for group in old.groups.iter().filter(|g| !kept(g)) {
            info!(log, "group given up"; "group" => &group.name, "model" => &group.model, "epoch" => group.epoch);
        }
    }

    /// Gives orders. One that isn't answered holds up none of the others.
    fn give(self: &Rc<Self>, plan: &Plan, orders: Vec<Order>) {
        let fence = self.node.settings.bounds.fencing.then_some(plan.epoch);
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
                let answer = controller.links.give(node, &endpoint, &order, fence).await;
                controller
                    .planner
                    .borrow_mut()
                    .on_answer(&order, endpoint.born, answer);
                node.planner_wake.notify_one();
            });
        }
    }

    /// Probes the VMs whose turn it is.
    fn probe(self: &Rc<Self>, plan: &Plan) {
        for endpoint in self.due(plan) {
            let controller = self.clone();
            spawn_local(async move {
                let node = &controller.node;
                if controller.links.probe(node, &endpoint).await.is_none() {
                    node.planner_wake.notify_one();
                }
            });
        }
    }

    fn due(&self, plan: &Plan) -> Vec<Endpoint> {
        let now = self.node.now();
        let state = self.node.state.borrow();
        let mut probed = self.probed.borrow_mut();
        probed.retain(|id, _| state.roster.get_or_unlisted(id).is_some());
        let mut due = Vec::new();
        // A VM that was lost and answers again has to leave its old group.
        for endpoint in state.roster.iter().filter(|e| e.membership.is_some()) {
            let vitality = state.monitor.health(now, &endpoint.id, endpoint.born);
            let lost = matches!(vitality, Health::Silent | Health::Dead);
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
            let doubted = members.iter().any(|e| {
                let vitality = state.monitor.health(now, &e.id, e.born);
                vitality != Health::Alive || state.roster.get(&e.id).is_none()
            });
            let interval = if doubted {
                SUSPECT_INTERVAL
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
