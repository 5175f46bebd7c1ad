//! Permission to run a request that is suspected of crashing endpoints.
//!
//! Each fingerprint has one owner among the registered daemons. A suspected request
//! runs only with the owner's permission, so that it runs once at a time across all
//! entries. If the owner does not answer, the request does not run.

use std::sync::Arc;

use bulrushhoist_core::{Fingerprint, MemberId, ProbeTarget, QuarantineDecision};
use bulrushhoist_wire::peer;
use bulrushhoist_wire::peer::peer_client::PeerClient;

use super::gossip::{record_strike, request};
use crate::node::Node;

/// A granted run of a suspected request; dropping it tells the owner that the run
/// has ended.
pub(crate) struct Probation {
    node: Arc<Node>,
    owner: ProbeTarget,
    fingerprint: Fingerprint,
    answered: bool,
}

/// The decision whether a request may run.
pub(crate) enum Permission {
    /// The request is not suspected, or this daemon's own quarantine decides, because
    /// this daemon is the owner or knows no address of the owner.
    NotNeeded,
    /// The owner granted the run.
    Granted(Probation),
    /// The owner refused or did not answer.
    Refused,
}

impl Probation {
    /// Asks the owner for permission if the request is suspected.
    pub(crate) async fn request(node: &Arc<Node>, fingerprint: Fingerprint) -> Permission {
        let Some(incidents) = incidents(node, fingerprint) else {
            return Permission::NotNeeded;
        };
        let Some(owner) = remote_owner(node, fingerprint) else {
            return Permission::NotNeeded;
        };
        let Some(channel) = node.peers.get(node, owner) else {
            return Permission::Refused;
        };
        let strike = peer::Strike {
            fingerprint: fingerprint.get(),
            incidents,
        };
        let reply = PeerClient::new(channel)
            .begin_probation(request(node, strike))
            .await;
        if !reply.is_ok_and(|r| r.into_inner().granted) {
            return Permission::Refused;
        }
        let node = Arc::clone(node);
        Permission::Granted(Self {
            node,
            owner,
            fingerprint,
            answered: false,
        })
    }

    /// Records that the request was answered completely.
    pub(crate) fn set_answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for Probation {
    fn drop(&mut self) {
        let (node, owner) = (Arc::clone(&self.node), self.owner);
        let end = peer::ProbationEnd {
            fingerprint: self.fingerprint.get(),
            answered: self.answered,
        };
        tokio::spawn(async move {
            let Some(channel) = node.peers.get(&node, owner) else {
                return;
            };
            // If the owner does not receive this, the fingerprint stays on probation
            // there, so the owner grants no other run of it.
            let _ = PeerClient::new(channel)
                .end_probation(request(&node, end))
                .await;
        });
    }
}

/// Returns the incidents of a fingerprint, or `None` if there are none.
fn incidents(node: &Node, fingerprint: Fingerprint) -> Option<Vec<u64>> {
    let core = node.core();
    let incidents = core.dispatcher.quarantine().incidents(fingerprint);
    (!incidents.is_empty()).then(|| incidents.to_vec())
}

/// Returns the owner of a fingerprint, or `None` if it is this daemon or no address
/// of it is known.
fn remote_owner(node: &Node, fingerprint: Fingerprint) -> Option<ProbeTarget> {
    let ranked = node
        .view()
        .register
        .ranked(&format!("fingerprint/{fingerprint}"));
    let member: MemberId = *ranked.first().filter(|id| **id != node.id)?;
    let address = node.core().membership.address(member)?;
    Some(ProbeTarget { member, address })
}

/// Decides, as the owner, whether another daemon may run a suspected request.
pub(super) fn grant(node: &Node, strike: &peer::Strike) -> bool {
    let now = node.now();
    let mut core = node.core();
    record_strike(&mut core, now, strike);
    let fingerprint = Fingerprint::new(strike.fingerprint);
    core.dispatcher.quarantine_mut().admit(now, fingerprint) == QuarantineDecision::Probation
}
