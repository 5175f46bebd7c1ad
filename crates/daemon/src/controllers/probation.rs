//! Leave to run a request that is suspected of crashing endpoints.
//!
//! Each fingerprint has one owner among the registered daemons. A suspected
//! request runs only with the owner's leave, so that it runs one at a time
//! across all entries, whichever its callers use. Without an answer from the
//! owner there is no leave.

use std::sync::Arc;

use bulrushhoist_core::{Fingerprint, MemberId, ProbeTarget, QuarantineDecision};
use bulrushhoist_wire::peer;
use bulrushhoist_wire::peer::peer_client::PeerClient;

use super::gossip::{request, take_strike};
use crate::node::Node;

/// The owner's leave; dropping it tells the owner that the run has ended.
pub(crate) struct Probation {
    node: Arc<Node>,
    owner: ProbeTarget,
    fingerprint: Fingerprint,
    answered: bool,
}

/// Whether a request may run.
pub(crate) enum Leave {
    /// Nothing is known against it, or this daemon decides alone.
    NotNeeded,
    /// The owner granted it.
    Granted(Probation),
    /// The owner refused or did not answer.
    Refused,
}

impl Probation {
    /// Asks for leave if the request is suspected.
    pub(crate) async fn ask(node: &Arc<Node>, fingerprint: Fingerprint) -> Leave {
        let Some(incidents) = suspicion(node, fingerprint) else {
            return Leave::NotNeeded;
        };
        let Some(owner) = owner(node, fingerprint) else {
            return Leave::NotNeeded;
        };
        let Some(channel) = node.peers.get(node, owner) else {
            return Leave::Refused;
        };
        let strike = peer::Strike {
            fingerprint: fingerprint.get(),
            incidents,
        };
        let reply = PeerClient::new(channel)
            .begin_probation(request(node, strike))
            .await;
        if !reply.is_ok_and(|r| r.into_inner().granted) {
            return Leave::Refused;
        }
        let node = Arc::clone(node);
        Leave::Granted(Self {
            node,
            owner,
            fingerprint,
            answered: false,
        })
    }

    /// Notes that the request was answered whole.
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
            // An owner that does not hear of the end forgets the strike in time.
            let _ = PeerClient::new(channel)
                .end_probation(request(&node, end))
                .await;
        });
    }
}

fn suspicion(node: &Node, fingerprint: Fingerprint) -> Option<Vec<u64>> {
    let core = node.core();
    let incidents = core.dispatcher.quarantine().incidents(fingerprint);
    (!incidents.is_empty()).then(|| incidents.to_vec())
}

/// Returns the owner of a fingerprint, unless it is this daemon.
fn owner(node: &Node, fingerprint: Fingerprint) -> Option<ProbeTarget> {
    let ranked = node
        .view()
        .register
        .ranked(&format!("fingerprint/{fingerprint}"));
    let member: MemberId = *ranked.first().filter(|id| **id != node.id)?;
    let address = node.core().membership.address(member)?;
    Some(ProbeTarget { member, address })
}

/// Decides, as the owner, about another daemon's request for leave.
pub(super) fn grant(node: &Node, strike: &peer::Strike) -> bool {
    let now = node.now();
    let mut core = node.core();
    take_strike(&mut core, now, strike);
    let fingerprint = Fingerprint::new(strike.fingerprint);
    core.dispatcher.quarantine_mut().admit(now, fingerprint) == QuarantineDecision::Probation
}
