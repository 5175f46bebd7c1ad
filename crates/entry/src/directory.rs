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
    let (ready, cut_off) = (node.is_ready(), node.is_cut_off());
    let settings = &node.settings;
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    let others = state.peers.live().filter(|(_, status)| status.ready);
    let others = others.map(|(entry, status)| {
        let named = DirectoryEntry {
            address: entry.callers,
            data_centre: &entry.data_centre,
            capacity: entry.cpu_milli,
        };
        (named, status.cut_off)
    });
    let own = DirectoryEntry {
        address: settings.listen.callers,
        data_centre: &settings.data_centre,
        capacity: settings.cpu_milli,
    };
    let own = ready.then_some((own, cut_off));
    let (cut, reaching): (Vec<_>, Vec<_>) = others.chain(own).partition(|(_, cut_off)| *cut_off);
    // Without a way to the endpoints an entry only passes requests on.
    let named = match reaching.is_empty() {
        true => cut,
        false => reaching,
    };
    let entries: Vec<DirectoryEntry<'_>> = named.into_iter().map(|(entry, _)| entry).collect();
    let addresses = draw_addresses(&entries, data_centre, &mut state.rng);
    let ttl = TTL.min(node.bounds.get().max_ttl);
    (!addresses.is_empty()).then(|| node.dialect.encode_directory(&addresses, ttl))
}
