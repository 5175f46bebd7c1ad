//! Reference model of how an endpoint applies the daemons' orders.
//!
//! The simulations and the endpoint stand-ins share it, so that both react to
//! an order in the same way.

use bulrushhoist_core::{Fencing, FencingToken, Order, OrderKind, VmPhase, VmStatus};

/// Result of an order that an endpoint received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// Refused: the endpoint has seen this higher fencing token.
    Refused(FencingToken),
    /// Accepted; the caller sets the phase to [`VmPhase::Preloaded`] once the
    /// weights are loaded.
    Loading,
    /// The order took effect at once.
    Applied,
}

/// Applies an order to the status of an endpoint.
///
/// Orders with a lower fencing token than the highest one seen are refused if
/// the endpoint checks fencing.
pub fn apply_order(status: &mut VmStatus, order: &Order, fencing: Fencing) -> OrderResult {
    if fencing == Fencing::Checked && order.fencing < status.fencing {
        return OrderResult::Refused(status.fencing);
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
            OrderResult::Loading
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
            OrderResult::Applied
        }
        OrderKind::Release => {
            clear_workload(status);
            OrderResult::Applied
        }
    }
}

/// Resets a status to that of a restarted process, which has lost its weights,
/// its group and the highest fencing token.
pub fn reset_status(status: &mut VmStatus) {
    clear_workload(status);
    status.epoch += 1;
    status.served = 0;
    status.fencing = FencingToken::new(0);
}

fn clear_workload(status: &mut VmStatus) {
    status.phase = VmPhase::Empty;
    status.group = None;
    status.workload = None;
    status.version = None;
}
