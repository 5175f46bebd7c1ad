//! Which entries callers are told to use.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::node::Node;

/// Time for which callers keep an answer. Some keep it three times as long, which
/// must fit into the time that a stopping entry has.
const TTL: Duration = Duration::from_secs(2);
/// Addresses in one answer at most.
const ADDRESSES_MOST: usize = 64;

/// Returns the answer to a caller that asks for addresses; `None` if no entry is
/// known to take callers.
pub(crate) fn answer(node: &Node) -> Option<Bytes> {
    let now = node.now();
    let state = node.state.borrow();
    let peers = state.peers.live(now).filter(|p| p.update.ready);
    let mut addresses: Vec<SocketAddr> = peers.map(|p| p.update.caller_address).collect();
    drop(state);
    if node.is_ready() {
        addresses.push(node.settings.listen.front);
    }
    addresses.sort_unstable();
    addresses.truncate(ADDRESSES_MOST);
    let ttl = TTL.min(node.settings.bounds.longest_ttl);
    (!addresses.is_empty()).then(|| node.dialect.directory_answer(&addresses, ttl))
}
