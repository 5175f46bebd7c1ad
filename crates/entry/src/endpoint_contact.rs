//! Notices when this entry loses its way to the endpoints, and finds it again.

use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_fleet::{ContactFailure, Endpoint, Health, Name};
use rand::seq::IteratorRandom as _;
use slog::{info, warn};

use crate::control::ControlConnections;
use crate::node::Node;
use crate::state::State;

/// Pause between two probes while it is in doubt whether this entry is cut off.
const DOUBT_PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which an entry that is cut off probes an endpoint.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

impl Node {
    /// Records a request to an endpoint that got no connection or no answer.
    pub(crate) fn on_contact_failure(&self, endpoint: &Name, failure: ContactFailure) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let known = state.roster.iter().count();
        let contact = &mut state.endpoint_contact;
        let begins = contact.on_failure(now, endpoint, failure, known);
        if contact.is_doubted() {
            self.contact_changed.notify_one();
        }
        if begins {
            drop(state);
            warn!(self.log, "endpoints not reached"; "last" => &**endpoint, "failure" => %failure);
            self.metrics.set_cut_off(true);
            self.contact_changed.notify_one();
        }
    }

    /// Returns whether this entry reaches the endpoints. While a failure may be its own, an
    /// endpoint that hasn't failed is probed.
    pub(crate) async fn reaches_endpoints(&self) -> bool {
        let now = self.now();
        if !self.state.borrow().endpoint_contact.has_open_failure(now) {
            return true;
        }
        let reached = probe_alive(self).await.is_some();
        if reached {
            self.state.borrow_mut().endpoint_contact.on_reached();
        }
        reached
    }

    /// Returns whether this entry has no way to the endpoints.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.state.borrow().endpoint_contact.is_cut_off()
    }
}

/// Probes endpoints while it is in doubt whether this entry reaches them, and while it doesn't.
pub(crate) async fn find_endpoints(node: Rc<Node>) {
    loop {
        node.contact_changed.notified().await;
        while node.state.borrow().endpoint_contact.is_doubted() {
            match probe_any(&node).await {
                Some(_) => node.state.borrow_mut().endpoint_contact.on_reached(),
                None => tokio::time::sleep(DOUBT_PROBE_INTERVAL).await,
            }
        }
        let since = node.now();
        while node.is_cut_off() {
            tokio::time::sleep(PROBE_INTERVAL).await;
            if let Some(endpoint) = probe_any(&node).await {
                let mut state = node.state.borrow_mut();
                state.endpoint_contact.on_reached();
                // What failed in the meantime says nothing of the endpoints.
                state.monitor.forget_failures();
                state.suspicions.clear();
                drop(state);
                let took = node.now().since(since).as_millis() as u64;
                info!(node.log, "endpoints reached again"; "endpoint" => &*endpoint.id, "after_ms" => took);
                node.metrics.set_cut_off(false);
            }
        }
    }
}

/// Probes a random endpoint, and returns it if it answers.
async fn probe_any(node: &Node) -> Option<Endpoint> {
    probe(node, any_endpoint(node)?).await
}

/// Probes a random endpoint that isn't suspected, or any if all are, and returns it if it
/// answers.
async fn probe_alive(node: &Node) -> Option<Endpoint> {
    let alive = {
        let now = node.now();
        let mut state = node.state.borrow_mut();
        let State {
            roster,
            monitor,
            rng,
            ..
        } = &mut *state;
        let alive = |e: &&Endpoint| monitor.health(now, &e.id, e.incarnation) == Health::Alive;
        roster.iter().filter(alive).choose(rng).cloned()
    };
    probe(node, alive.or_else(|| any_endpoint(node))?).await
}

async fn probe(node: &Node, endpoint: Endpoint) -> Option<Endpoint> {
    // A connection from before the cut may live on, so each probe has its own.
    let connections = ControlConnections::default();
    let answered = connections.probe(node, &endpoint).await;
    answered.map(|_| endpoint)
}

fn any_endpoint(node: &Node) -> Option<Endpoint> {
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    state.roster.iter().choose(&mut state.rng).cloned()
}
