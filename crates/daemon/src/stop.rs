//! The planned stop, which finishes the requests in progress before leaving.

use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{DaemonPhase, ObjectKey};
use slog::{info, warn};
use tokio::time::Instant;

use crate::controllers::{gossip_with_all, leave, set_phase};
use crate::node::Node;

/// Interval at which the remaining requests are counted.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The result of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopReport {
    /// Number of requests that were still in progress when the drain timeout passed.
    pub cut_off: usize,
    /// Whether this daemon's ticket snapshot was stored, so that other daemons can
    /// answer for its tickets.
    pub tickets_stored: bool,
}

/// Drains the daemon and removes it from the register.
///
/// Answers to `GET /v1/entries` no longer list it, but it keeps serving for as long as
/// callers may use an answer that still does. Then it refuses new requests, finishes those in
/// progress and stores the ticket snapshot.
pub(crate) async fn drain(node: &Arc<Node>) -> StopReport {
    info!(node.log, "stopping");
    node.set_stopping();
    node.core().membership.leave();
    // Daemons that miss this message learn of the stop from the register.
    gossip_with_all(node).await;
    let announced = set_phase(node, DaemonPhase::Leaving).await;
    if let Err(cause) = announced {
        warn!(node.log, "cannot announce the stop in the register"; "cause" => %cause);
    }
    tokio::time::sleep(node.settings.timing.max_age + node.settings.timing.freshness_ttl).await;
    node.set_refusing();
    let snapshot = node.tickets.close();
    let cut_off = await_open_requests(node).await;
    let key = ObjectKey::ticket_snapshot(node.incarnation);
    let tickets_stored = node.store.replace(&key, None, snapshot).await.is_ok();
    if let Err(cause) = leave(node).await {
        warn!(node.log, "cannot leave the register"; "cause" => %cause);
    }
    info!(node.log, "stopped"; "cut_off" => cut_off, "sealed" => tickets_stored);
    StopReport {
        cut_off,
        tickets_stored,
    }
}

/// Waits until no request is in progress or the drain timeout passes; returns how
/// many remain.
async fn await_open_requests(node: &Node) -> usize {
    let deadline = Instant::now() + node.settings.timing.drain_timeout;
    loop {
        let remaining = node.open_requests().max(node.tickets.running());
        if remaining == 0 || Instant::now() >= deadline {
            return remaining;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
