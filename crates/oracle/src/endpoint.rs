//! How a model endpoint obeys orders.

use bulrushhoist_core::{Fencing, FencingToken, Order, OrderKind, VmPhase, VmStatus};

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obeyed {
    /// The order is out of date and was refused.
    Refused(FencingToken),
    /// Weights are being loaded; the phase becomes
    /// [`VmPhase::Preloaded`] when they are.
    Loading,
    /// The order took effect.
    Done,
}

/// Lets an endpoint with this status obey an order.
pub fn obey(status: &mut VmStatus, order: &Order, fencing: Fencing) -> Obeyed {
    if fencing == Fencing::Checked && order.fencing < status.fencing {
        return Obeyed::Refused(status.fencing);
    }
    status.fencing = status.fencing.max(order.fencing);
    match &order.kind {
        OrderKind::Load {
            workload,
            version,
            rank,
        } => {
            status.phase = VmPhase::Loading;
            status.workload = Some(workload.clone());
            status.version = Some(version.clone());
            status.rank = *rank;
            status.group = None;
            status.served = 0;
            Obeyed::Loading
        }
        OrderKind::Join {
            group,
            composition,
            rank,
            ..
        } => {
            if matches!(status.phase, VmPhase::Preloaded | VmPhase::Ready) {
                status.phase = VmPhase::Ready;
                status.group = Some(*group);
                status.composition = *composition;
                status.rank = *rank;
            }
            Obeyed::Done
        }
        OrderKind::Release => {
            unload(status);
            Obeyed::Done
        }
    }
}

/// Lets an endpoint lose everything, as a process does that ends and starts
/// again.
pub fn restart(status: &mut VmStatus) {
    unload(status);
    status.epoch += 1;
    status.served = 0;
    status.fencing = FencingToken::new(0);
}

fn unload(status: &mut VmStatus) {
    status.phase = VmPhase::Empty;
    status.group = None;
    status.workload = None;
    status.version = None;
}
