//! Probes the endpoints that this daemon may use or controls.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{VmName, VmRecord};

use crate::node::Node;

/// Probes the members of every group in each period, spread over it.
pub(super) async fn run(node: Arc<Node>) {
    let mut interval = tokio::time::interval(node.settings.timing.probe);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let members = members(&node);
        probe_all(&node, members, node.settings.timing.probe / 2).await;
    }
}

fn members(node: &Node) -> Vec<(VmName, SocketAddr)> {
    let view = node.view();
    let members = view.groups().flat_map(|(_, g)| g.members.iter());
    members.map(|m| (m.vm.clone(), m.address)).collect()
}

/// Probes the VMs of a list that belong to no group: a controller's spares.
pub(super) async fn probe_spares(node: &Arc<Node>, vms: &[VmRecord]) {
    let grouped: HashSet<VmName> = members(node).into_iter().map(|(vm, _)| vm).collect();
    let spares = vms.iter().filter(|r| !grouped.contains(&r.vm));
    let targets = spares.map(|r| (r.vm.clone(), r.address)).collect();
    probe_all(node, targets, Duration::ZERO).await;
}

async fn probe_all(node: &Arc<Node>, targets: Vec<(VmName, SocketAddr)>, over: Duration) {
    let count = u32::try_from(targets.len()).unwrap_or(u32::MAX).max(1);
    let gap = over / count;
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
        node.take_report(&vm, sent, status);
    }
}
