//! Runs the planner of this daemon's candidates for data centres.

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

/// Time between two passes.
const PASS: Duration = Duration::from_millis(500);
/// Daemons that stand by for each data centre.
const CANDIDATES: usize = 3;
/// Writes of the allocation in one pass.
const WRITES_PER_PASS: usize = 4;

/// This daemon's part in one data centre.
struct Control {
    lease: LeaseTracker,
    planner: Planner,
    holds: bool,
    /// The allocation as this holder of the lease read or wrote it last. Only
    /// holders write, so it is read again only after losing the lease or a
    /// conflict.
    stored: Option<Stored<Allocation>>,
}

pub(super) async fn run(node: Arc<Node>) {
    let mut controls: HashMap<DataCentreName, Control> = HashMap::new();
    loop {
        tokio::time::sleep(PASS).await;
        if node.is_stopping() {
            continue;
        }
        for (data_centre, rank) in candidacies(&node) {
            let control = controls
                .entry(data_centre.clone())
                .or_insert_with(|| Control {
                    lease: LeaseTracker::new(LeaseSettings::default(), node.id, node.incarnation),
                    planner: Planner::new(PlacementSettings::default(), node.incarnation),
                    holds: false,
                    stored: None,
                });
            // A failed pass is repeated in the next period.
            if pass(&node, &data_centre, rank, control).await.is_err() {
                control.stored = None;
            }
        }
    }
}

/// Returns the data centres that this daemon stands by for, with its rank.
fn candidacies(node: &Node) -> Vec<(DataCentreName, u32)> {
    let view = node.view();
    let rank = |dc: &DataCentreName| {
        let ranked = view.register.ranked(&format!("controller/{dc}"));
        let rank = ranked
            .iter()
            .take(CANDIDATES)
            .position(|id| *id == node.id)?;
        Some((dc.clone(), u32::try_from(rank).ok()?))
    };
    view.deployment
        .data_centres
        .keys()
        .filter_map(rank)
        .collect()
}

async fn pass(
    node: &Arc<Node>,
    data_centre: &DataCentreName,
    rank: u32,
    control: &mut Control,
) -> Result<(), StoreError> {
    let holds = hold_lease(node, data_centre, rank, &mut control.lease).await?;
    if holds != control.holds {
        control.holds = holds;
        info!(node.log, "controller lease"; "data_centre" => %data_centre, "held" => holds);
    }
    if !holds {
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
    for _ in 0..WRITES_PER_PASS {
        let empty = Allocation::empty(data_centre.clone());
        let allocation = stored.as_ref().map_or(&empty, |s| &s.envelope.body);
        let plan = plan(node, control, &vms, allocation);
        if !control.lease.is_held(node.now()) {
            return Ok(());
        }
        match plan {
            Plan::Write(next) => stored = Some(write(node, &key, stored.as_ref(), *next).await?),
            Plan::Orders(orders) => {
                give_orders(node, control, orders).await;
                break;
            }
        }
    }
    control.stored = stored;
    Ok(())
}

async fn hold_lease(
    node: &Node,
    data_centre: &DataCentreName,
    rank: u32,
    watch: &mut LeaseTracker,
) -> Result<bool, StoreError> {
    let key = ObjectKey::lease(data_centre);
    node.metrics.on_platform_call(PlatformCall::Read);
    let stored = node.store.read::<Lease>(&key).await?;
    let now = node.now();
    let step = watch.step(now, stored.as_ref().map(|s| &s.envelope.body), Some(rank));
    if let LeaseStep::Write(lease) = step {
        node.metrics.on_platform_call(PlatformCall::Write);
        node.store.replace(&key, stored.as_ref(), lease).await?;
        watch.on_written(now);
    }
    Ok(watch.is_held(node.now()))
}

fn plan(node: &Node, control: &mut Control, vms: &[VmRecord], allocation: &Allocation) -> Plan {
    let view = node.view();
    let core = node.core();
    let situation = PlanInput {
        now: node.now(),
        deployment: &view.deployment,
        vms,
        evidence: &core.evidence,
        allocation,
    };
    control.planner.plan(&situation)
}

async fn write(
    node: &Node,
    key: &ObjectKey,
    read: Option<&Stored<Allocation>>,
    next: Allocation,
) -> Result<Stored<Allocation>, StoreError> {
    node.metrics.on_platform_call(PlatformCall::Write);
    let stored = node.store.replace(key, read, next).await?;
    if let Ok(json) = serde_json::to_string(&stored.envelope) {
        node.adopt([(key, json.as_str())]);
    }
    Ok(stored)
}

/// Gives orders while the lease lasts; it is checked before each of them.
async fn give_orders(node: &Arc<Node>, control: &mut Control, orders: Vec<(Member, Order)>) {
    let mut given = tokio::task::JoinSet::new();
    for (member, order) in orders {
        if !control.lease.is_held(node.now()) {
            break;
        }
        let node = Arc::clone(node);
        given.spawn(async move {
            let reply = node.endpoints.order(member.address, &order).await;
            let accepted = matches!(reply, Ok(OrderReply::Accepted));
            node.metrics.on_order(accepted);
            if let Ok(OrderReply::Fenced { highest }) = reply {
                warn!(node.log, "order refused as out of date";
                    "vm" => %order.vm, "fencing" => %order.fencing, "highest" => %highest);
            }
            (member, accepted)
        });
    }
    while let Some(done) = given.join_next().await {
        let Ok((member, true)) = done else { continue };
        control.planner.on_order_done(&member.vm);
        let sent = node.now();
        if let Ok(status) = node.endpoints.status(member.address).await {
            node.take_report(&member.vm, sent, status);
        }
    }
}
