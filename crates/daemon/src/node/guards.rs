//! Guards that undo what a request did to the node's state, also when its caller
//! disconnects.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bulrushhoist_core::{Outcome, RequestId};

use super::Node;

/// Counts one request as in progress until it is dropped.
pub(crate) struct OpenRequest {
    node: Arc<Node>,
}

impl OpenRequest {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.node.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Cancels a request whose caller disconnects while it is queued, or just after it was
/// started.
pub(super) struct WaitGuard<'a> {
    node: &'a Node,
    id: RequestId,
    armed: bool,
}

impl<'a> WaitGuard<'a> {
    pub(super) const fn new(node: &'a Node, id: RequestId) -> Self {
        Self {
            node,
            id,
            armed: true,
        }
    }

    pub(super) fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        if self.node.waiters().remove(&self.id).is_some() {
            self.node.core().dispatcher.cancel_queued(self.id);
        } else {
            self.node.finish(self.id, Outcome::Cancelled);
        }
    }
}
