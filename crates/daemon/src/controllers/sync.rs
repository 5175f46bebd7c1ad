//! Keeps the copies of the shared objects current by watching the platform.
//!
//! Only the best-ranked daemons watch; the others learn by gossip and read the
//! platform now and then against gaps, so that the platform's load does not
//! grow with the fleet.

use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{Manifest, ObjectKey};
use bulrushhoist_store::{Cursor, Listing, PlatformError};
use slog::{info, warn};

use crate::metrics::PlatformCall;
use crate::node::Node;
use crate::view::part_keys;

/// Kinds of objects that every daemon copies.
const KINDS: [&str; 4] = ["config", "service", "register", "allocation"];
/// Time that one watch waits for a change. A watch that ends without one
/// renews the proof that the copies are current.
const WATCH: Duration = Duration::from_millis(1_000);
/// Wait after a failed call.
const PAUSE: Duration = Duration::from_millis(500);
/// Time between two reads of a daemon that does not watch.
const SLOW_READ: Duration = Duration::from_secs(30);

pub(super) async fn run(node: Arc<Node>) {
    let mut cursor = None;
    let mut reachable = true;
    loop {
        let result = step(&node, &mut cursor).await;
        if result.is_ok() != reachable {
            reachable = result.is_ok();
            match &result {
                Ok(()) => info!(node.log, "platform reachable again"),
                Err(e) => warn!(node.log, "platform not reachable"; "cause" => %e),
            }
        }
        match result {
            Ok(()) if !watches(&node) => {
                cursor = None;
                tokio::time::sleep(SLOW_READ).await;
            }
            Ok(()) => {}
            Err(PlatformError::CursorTooOld) => cursor = None,
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// Whether this daemon is among those that watch the platform.
fn watches(node: &Node) -> bool {
    let view = node.view();
    let ranked = view.register.ranked("watcher");
    let registered = ranked.contains(&node.id);
    !registered
        || ranked
            .iter()
            .take(node.settings.watcher_count)
            .any(|id| *id == node.id)
}

/// Reads everything once, or waits for changes after that.
async fn step(node: &Node, cursor: &mut Option<Cursor>) -> Result<(), PlatformError> {
    let sent = node.now();
    let listing = match cursor.as_ref() {
        None => {
            node.metrics.on_platform_call(PlatformCall::List);
            node.store.api().list(&KINDS).await?
        }
        Some(after) => {
            node.metrics.on_platform_call(PlatformCall::Watch);
            node.store.api().watch(&KINDS, after, WATCH).await?
        }
    };
    take(node, &listing).await?;
    *cursor = Some(listing.cursor);
    let mut core = node.core();
    core.freshness.on_platform_read(sent);
    node.refresh_freshness(&mut core);
    Ok(())
}

/// Adopts what was read, with the parts of a new configuration first.
async fn take(node: &Node, listing: &Listing) -> Result<(), PlatformError> {
    for object in listing
        .objects
        .iter()
        .filter(|o| o.key == ObjectKey::manifest())
    {
        let envelope: Result<bulrushhoist_core::Envelope<Manifest>, _> =
            serde_json::from_str(object.value.get());
        if let Ok(envelope) = envelope {
            fetch_parts(node, &envelope.body).await?;
        }
    }
    node.adopt(listing.objects.iter().map(|o| (&o.key, o.value.get())));
    Ok(())
}

async fn fetch_parts(node: &Node, manifest: &Manifest) -> Result<(), PlatformError> {
    for key in part_keys(manifest) {
        if node.core().cache.get(&key).is_some() {
            continue;
        }
        node.metrics.on_platform_call(PlatformCall::Read);
        if let Some(part) = node.store.api().get(&key).await? {
            node.adopt([(&key, part.value.get())]);
        }
    }
    Ok(())
}
