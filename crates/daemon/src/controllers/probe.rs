//! Probes the endpoints that this daemon may use or controls.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{Allocation, Group, VmName, VmRecord};

use crate::node::{Node, replica_key};

/// At each interval, probes the groups assigned to this daemon, and those whose
/// evidence from other daemons is about to expire.
pub(super) async fn run(node: Arc<Node>) {
    let period = node.settings.timing.probe_interval;
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let targets = due_targets(&node);
        probe_all(&node, targets, period / 2).await;
        let mut core = node.core();
        let now = node.now();
        node.refresh_serving(&mut core, now);
    }
}

/// Returns the VMs to probe now.
///
/// A group is due if it is assigned to this daemon, or if its evidence is missing or
/// expires within half of the evidence TTL.
fn due_targets(node: &Node) -> Vec<(VmName, SocketAddr)> {
    let view = node.view();
    let core = node.core();
    let now = node.now();
    let soon = now + node.settings.timing.evidence_ttl / 2;
    let is_due = |allocation: &Allocation, group: &Group| {
        let key = replica_key(allocation, group);
        let until = core.evidence.serving_until_with_relayed(now, &key, group);
        view.is_probed(&key) || until.is_err() || until.is_ok_and(|until| until < soon)
    };
    let due = view
        .groups()
        .filter(|(allocation, group)| is_due(allocation, group));
    due.flat_map(|(_, g)| &g.members)
        .map(|m| (m.vm.clone(), m.address))
        .collect()
}

/// Probes the VMs of a data centre that this daemon controls, except those that
/// [`run`] probes anyway.
pub(super) async fn probe_controlled(node: &Arc<Node>, vms: &[VmRecord]) {
    let probed: HashSet<VmName> = due_targets(node).into_iter().map(|(vm, _)| vm).collect();
    let others = vms.iter().filter(|r| !probed.contains(&r.vm));
    let targets = others.map(|r| (r.vm.clone(), r.address)).collect();
    probe_all(node, targets, Duration::ZERO).await;
}

/// Starts a probe of every target, evenly spaced over `spread`.
async fn probe_all(node: &Arc<Node>, targets: Vec<(VmName, SocketAddr)>, spread: Duration) {
    let count = u32::try_from(targets.len()).unwrap_or(u32::MAX).max(1);
    let gap = spread / count;
    for (i, (vm, address)) in (0u32..).zip(targets) {
        tokio::spawn(probe(Arc::clone(node), vm, address, gap * i));
    }
}

async fn probe(node: Arc<Node>, vm: VmName, address: SocketAddr, delay: Duration) {
    tokio::time::sleep(delay).await;
    let sent = node.now();
    let report = node.endpoints.status(address).await;
    node.metrics.on_probe(report.is_ok());
    if let Ok(status) = report {
        node.record_report(&vm, sent, status);
    }
}
