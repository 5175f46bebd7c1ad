//! The directory: the addresses of the entries that callers should use.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::node::Node;

/// TTL of an answer. Some callers keep an answer for three times its TTL, and a stopping
/// entry must serve them for that long within its grace period.
const TTL: Duration = Duration::from_secs(2);
/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// Returns the answer to a caller that asks for addresses, or `None` if no entry is known
/// to accept callers.
pub(crate) fn answer(node: &Node) -> Option<Bytes> {
    let now = node.now();
    let state = node.state.borrow();
    let peers = state.peers.live(now).filter(|p| p.update.ready);
    let mut addresses: Vec<SocketAddr> = peers.map(|p| p.update.caller_address).collect();
    drop(state);
    if node.is_ready() {
        addresses.push(node.settings.listen.callers);
    }
    addresses.sort_unstable();
    addresses.truncate(MAX_ADDRESSES);
    let ttl = TTL.min(node.settings.bounds.max_ttl);
    (!addresses.is_empty()).then(|| node.dialect.encode_directory(&addresses, ttl))
}
