//! Runs the placement planner for the data centres that this daemon controls.
//!
//! The best-ranked daemons are candidates to control a data centre; the one that
//! holds its lease writes the allocation and sends orders to endpoints.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{
    Allocation, DataCentreName, Lease, LeaseSettings, LeaseStep, LeaseTracker, Member, ObjectKey,
    Order, PlacementSettings, Plan, PlanInput, Planner, VmRecord,
};
use bulrushhoist_engine::OrderReply;
use bulrushhoist_store::{StoreError, Stored};
use slog::{info, warn};

use super::probe::probe_controlled;
use crate::metrics::PlatformCall;
use crate::node::Node;

/// Interval between two reconciliation passes.
const PASS_INTERVAL: Duration = Duration::from_millis(500);
/// Number of daemons that compete for the controller lease of each data centre.
const CANDIDATES_PER_DATA_CENTRE: usize = 3;
/// Maximum number of allocation writes in one pass.
const MAX_WRITES_PER_PASS: usize = 4;

/// State of this daemon's candidacy for one data centre.
struct DataCentreControl {
    lease: LeaseTracker,
    planner: Planner,
    holds_lease: bool,
    /// The allocation as last read or written under the lease. Only the lease
    /// holder writes it, so it is read again only after losing the lease or after a
    /// failed pass, such as one with a conflict.
    stored: Option<Stored<Allocation>>,
}

/// Repeatedly runs a pass over every data centre that this daemon is a candidate for.
pub(super) async fn run(node: Arc<Node>) {
    let mut controls: HashMap<DataCentreName, DataCentreControl> = HashMap::new();
    loop {
        tokio::time::sleep(PASS_INTERVAL).await;
        if node.is_stopping() {
            continue;
        }
        for (data_centre, rank) in candidacies(&node) {
            let control =
                controls
                    .entry(data_centre.clone())
                    .or_insert_with(|| DataCentreControl {
                        lease: LeaseTracker::new(
                            LeaseSettings::default(),
                            node.id,
                            node.incarnation,
                        ),
                        planner: Planner::new(PlacementSettings::default(), node.incarnation),
                        holds_lease: false,
                        stored: None,
                    });
            // A failed pass is retried at the next interval, with a fresh read.
            if run_pass(&node, &data_centre, rank, control).await.is_err() {
                control.stored = None;
            }
        }
    }
}

/// Returns the data centres that this daemon is a candidate to control, with its
/// rank among the candidates.
fn candidacies(node: &Node) -> Vec<(DataCentreName, u32)> {
    let view = node.view();
    let rank = |dc: &DataCentreName| {
        let ranked = view.register.ranked(&format!("controller/{dc}"));
        let rank = ranked
            .iter()
            .take(CANDIDATES_PER_DATA_CENTRE)
            .position(|id| *id == node.id)?;
        Some((dc.clone(), u32::try_from(rank).ok()?))
    };
    view.deployment
        .data_centres
        .keys()
        .filter_map(rank)
        .collect()
}

/// Reconciles one data centre if this daemon holds its lease: plans, then writes the
/// allocation or sends orders.
async fn run_pass(
    node: &Arc<Node>,
    data_centre: &DataCentreName,
    rank: u32,
    control: &mut DataCentreControl,
) -> Result<(), StoreError> {
    let holds_lease = acquire_or_renew_lease(node, data_centre, rank, &mut control.lease).await?;
    if holds_lease != control.holds_lease {
        control.holds_lease = holds_lease;
        info!(node.log, "controller lease changed"; "data_centre" => %data_centre, "held" => holds_lease);
    }
    if !holds_lease {
        control.stored = None;
        return Ok(());
    }
    node.metrics.on_platform_call(PlatformCall::VmList);
    let vms = node.store.api().vms().await?;
    let vms: Vec<VmRecord> = vms
        .into_iter()
        .filter(|r| r.data_centre == *data_centre)
        .collect();
    probe_controlled(node, &vms).await;
    let key = ObjectKey::allocation(data_centre);
    let mut stored = match control.stored.take() {
        Some(stored) => Some(stored),
        None => {
            node.metrics.on_platform_call(PlatformCall::Read);
            node.store.read::<Allocation>(&key).await?
        }
    };
    for _ in 0..MAX_WRITES_PER_PASS {
        let empty = Allocation::empty(data_centre.clone());
        let allocation = stored.as_ref().map_or(&empty, |s| &s.envelope.body);
        let plan = plan(node, control, &vms, allocation);
        if !control.lease.is_held(node.now()) {
            return Ok(());
        }
        match plan {
            Plan::Write(next) => {
                stored = Some(write_allocation(node, &key, stored.as_ref(), *next).await?)
            }
            Plan::Orders(orders) => {
                send_orders(node, control, orders).await;
                break;
            }
        }
    }
    control.stored = stored;
    Ok(())
}

/// Takes or renews the lease when it is due; returns whether this daemon may act as
/// the controller.
async fn acquire_or_renew_lease(
    node: &Node,
    data_centre: &DataCentreName,
    rank: u32,
    tracker: &mut LeaseTracker,
) -> Result<bool, StoreError> {
    let key = ObjectKey::lease(data_centre);
    node.metrics.on_platform_call(PlatformCall::Read);
    let stored = node.store.read::<Lease>(&key).await?;
    let now = node.now();
    let step = tracker.step(now, stored.as_ref().map(|s| &s.envelope.body), Some(rank));
    if let LeaseStep::Write(lease) = step {
        node.metrics.on_platform_call(PlatformCall::Write);
        node.store.replace(&key, stored.as_ref(), lease).await?;
        tracker.on_written(now);
    }
    Ok(tracker.is_held(node.now()))
}

/// Asks the planner for the next step.
fn plan(
    node: &Node,
    control: &mut DataCentreControl,
    vms: &[VmRecord],
    allocation: &Allocation,
) -> Plan {
    let view = node.view();
    let core = node.core();
    let input = PlanInput {
        now: node.now(),
        deployment: &view.deployment,
        vms,
        evidence: &core.evidence,
        allocation,
    };
    control.planner.plan(&input)
}

/// Writes the allocation with a conditional update and puts it in force here.
async fn write_allocation(
    node: &Node,
    key: &ObjectKey,
    read: Option<&Stored<Allocation>>,
    next: Allocation,
) -> Result<Stored<Allocation>, StoreError> {
    node.metrics.on_platform_call(PlatformCall::Write);
    let stored = node.store.replace(key, read, next).await?;
    if let Ok(json) = serde_json::to_string(&stored.envelope) {
        node.adopt_objects([(key, json.as_str())]);
    }
    Ok(stored)
}

/// Sends orders to endpoints, checking the lease before each one.
///
/// After each accepted order it reads the endpoint's status, so that the next plan
/// sees the effect.
async fn send_orders(
    node: &Arc<Node>,
    control: &mut DataCentreControl,
    orders: Vec<(Member, Order)>,
) {
    let mut sent_orders = tokio::task::JoinSet::new();
    for (member, order) in orders {
        if !control.lease.is_held(node.now()) {
            break;
        }
        let node = Arc::clone(node);
        sent_orders.spawn(async move {
            let reply = node.endpoints.order(member.address, &order).await;
            let accepted = matches!(reply, Ok(OrderReply::Accepted));
            node.metrics.on_order(accepted);
            if let Ok(OrderReply::Fenced { highest }) = reply {
                warn!(node.log, "endpoint refused an order with an old fencing token";
                    "vm" => %order.vm, "fencing" => %order.fencing, "highest" => %highest);
            }
            (member, accepted)
        });
    }
    while let Some(done) = sent_orders.join_next().await {
        let Ok((member, true)) = done else { continue };
        control.planner.on_order_done(&member.vm);
        let sent = node.now();
        if let Ok(status) = node.endpoints.status(member.address).await {
            node.record_report(&member.vm, sent, status);
        }
    }
}
