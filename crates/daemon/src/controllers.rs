//! Controllers: background loops that reconcile this daemon's state and that of the
//! data centres it controls.

mod gossip;
mod peer_server;
mod placement;
mod probation;
mod probe;
mod register;
mod reports;
mod sync;

pub(crate) use gossip::{PeerChannels, gossip_with_all};
pub(crate) use peer_server::serve_peers;
pub(crate) use probation::{Permission, Probation};
pub(crate) use register::{join, leave, set_phase};

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::node::Node;

/// Interval at which queues are checked for requests to start or refuse.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Spawns every controller as a task of the returned set.
pub(crate) fn start(node: &Arc<Node>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(sync::run(Arc::clone(node)));
    tasks.spawn(gossip::run(Arc::clone(node)));
    tasks.spawn(probe::run(Arc::clone(node)));
    tasks.spawn(reports::run(Arc::clone(node)));
    tasks.spawn(placement::run(Arc::clone(node)));
    tasks.spawn(register::run(Arc::clone(node)));
    tasks.spawn(tick(Arc::clone(node)));
    tasks
}

/// Calls [`Node::tick`] at every interval.
async fn tick(node: Arc<Node>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        node.tick();
    }
}
