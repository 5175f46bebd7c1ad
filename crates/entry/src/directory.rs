//! The directory: the addresses of the entries that callers should use.

use std::time::Duration;

use bulrushhoist_fleet::{DirectoryEntry, draw_addresses};
use bytes::Bytes;

use crate::node::Node;

/// TTL of an answer. Some callers keep an answer for three times its TTL, and a stopping
/// entry must serve them for that long within its grace period.
const TTL: Duration = Duration::from_secs(2);

/// Returns the answer to a caller in a data centre that asks for addresses, or `None` if no
/// entry is known to accept callers.
pub(crate) fn answer(node: &Node, data_centre: Option<&str>) -> Option<Bytes> {
    let ready = node.is_ready();
    let settings = &node.settings;
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    let others = state.peers.live().filter(|(_, status)| status.ready);
    let mut entries: Vec<DirectoryEntry<'_>> = others
        .map(|(entry, _)| DirectoryEntry {
            address: entry.callers,
            data_centre: &entry.data_centre,
            capacity: entry.cpu_milli,
        })
        .collect();
    if ready {
        entries.push(DirectoryEntry {
            address: settings.listen.callers,
            data_centre: &settings.data_centre,
            capacity: settings.cpu_milli,
        });
    }
    let addresses = draw_addresses(&entries, data_centre, &mut state.rng);
    let ttl = TTL.min(node.bounds.get().max_ttl);
    (!addresses.is_empty()).then(|| node.dialect.encode_directory(&addresses, ttl))
}
