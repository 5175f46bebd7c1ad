//! The planned stop: no request is cut off.

use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{DaemonPhase, ObjectKey};
use slog::{info, warn};
use tokio::time::Instant;

use crate::controllers::{announce_strikes, leave, set_phase};
use crate::node::Node;

/// Time between two looks at the remaining requests.
const LOOK: Duration = Duration::from_millis(50);

/// What a stop left behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopReport {
    /// Requests that were still in progress at the end of the allowed time.
    pub cut_off: usize,
    /// Whether the outcome of this daemon's tickets was stored for others.
    pub tickets_stored: bool,
}

/// Leaves the entries answers, keeps serving for as long as callers may keep
/// such an answer, finishes what runs, seals the tickets and deregisters.
pub(crate) async fn drain(node: &Arc<Node>) -> StopReport {
    info!(node.log, "stopping");
    node.set_stopping();
    node.core().membership.leave();
    // Entries answers of daemons that do not hear of it go by the register.
    announce_strikes(node).await;
    let announced = set_phase(node, DaemonPhase::Leaving).await;
    if let Err(cause) = announced {
        warn!(node.log, "cannot announce the stop in the register"; "cause" => %cause);
    }
    tokio::time::sleep(node.settings.timing.max_age + node.settings.timing.freshness_ttl).await;
    node.set_refusing();
    let seal = node.tickets.seal();
    let cut_off = finish_requests(node).await;
    let key = ObjectKey::ticket_snapshot(node.incarnation);
    let tickets_stored = node.store.replace(&key, None, seal).await.is_ok();
    if let Err(cause) = leave(node).await {
        warn!(node.log, "cannot leave the register"; "cause" => %cause);
    }
    info!(node.log, "stopped"; "cut_off" => cut_off, "sealed" => tickets_stored);
    StopReport {
        cut_off,
        tickets_stored,
    }
}

/// Waits for the requests in progress; returns how many are left.
async fn finish_requests(node: &Node) -> usize {
    let until = Instant::now() + node.settings.timing.drain_timeout;
    loop {
        let left = node.open_requests().max(node.tickets.running());
        if left == 0 || Instant::now() >= until {
            return left;
        }
        tokio::time::sleep(LOOK).await;
    }
}
