//! Keeps this daemon's copies of the shared objects current by watching the platform.
//!
//! Only the best-ranked daemons watch. The others receive changes by gossip and list
//! the objects at a long interval in case they missed one, so that the load on the
//! platform does not grow with the fleet.

use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{Manifest, ObjectKey};
use bulrushhoist_store::{Cursor, Listing, PlatformError};
use slog::{info, warn};

use crate::metrics::PlatformCall;
use crate::node::Node;
use crate::view::part_keys;

/// Kinds of objects that every daemon keeps copies of.
const WATCHED_KINDS: [&str; 4] = ["config", "service", "register", "allocation"];
/// Time that one watch call waits for a change.
///
/// A call that ends without a change renews the proof that the copies are current.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval between two lists by a daemon that does not watch.
const RELIST_INTERVAL: Duration = Duration::from_secs(30);

/// Lists the objects, then watches them for as long as this daemon is a watcher.
pub(super) async fn run(node: Arc<Node>) {
    let mut cursor = None;
    let mut reachable = true;
    loop {
        let result = list_or_watch(&node, &mut cursor).await;
        if result.is_ok() != reachable {
            reachable = result.is_ok();
            match &result {
                Ok(()) => info!(node.log, "platform reachable again"),
                Err(e) => warn!(node.log, "platform not reachable"; "cause" => %e),
            }
        }
        match result {
            Ok(()) if !is_watcher(&node) => {
                cursor = None;
                tokio::time::sleep(RELIST_INTERVAL).await;
            }
            Ok(()) => {}
            Err(PlatformError::CursorTooOld) => cursor = None,
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Returns whether this daemon watches the platform; one that is not registered yet
/// does.
fn is_watcher(node: &Node) -> bool {
    let view = node.view();
    let ranked = view.register.ranked("watcher");
    let registered = ranked.contains(&node.id);
    !registered
        || ranked
            .iter()
            .take(node.settings.watcher_count)
            .any(|id| *id == node.id)
}

/// Lists all objects if there is no cursor, or waits for changes after it.
async fn list_or_watch(node: &Node, cursor: &mut Option<Cursor>) -> Result<(), PlatformError> {
    let sent = node.now();
    let listing = match cursor.as_ref() {
        None => {
            node.metrics.on_platform_call(PlatformCall::List);
            node.store.api().list(&WATCHED_KINDS).await?
        }
        Some(after) => {
            node.metrics.on_platform_call(PlatformCall::Watch);
            node.store
                .api()
                .watch(&WATCHED_KINDS, after, WATCH_TIMEOUT)
                .await?
        }
    };
    adopt_listing(node, &listing).await?;
    *cursor = Some(listing.cursor);
    let mut core = node.core();
    core.freshness.on_platform_read(sent);
    node.refresh_freshness(&mut core);
    Ok(())
}

/// Adopts the objects that were read, after fetching the parts of a new
/// configuration.
async fn adopt_listing(node: &Node, listing: &Listing) -> Result<(), PlatformError> {
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
    node.adopt_objects(listing.objects.iter().map(|o| (&o.key, o.value.get())));
    Ok(())
}

/// Reads the parts of a configuration that are not held yet.
async fn fetch_parts(node: &Node, manifest: &Manifest) -> Result<(), PlatformError> {
    for key in part_keys(manifest) {
        if node.core().cache.get(&key).is_some() {
            continue;
        }
        node.metrics.on_platform_call(PlatformCall::Read);
        if let Some(part) = node.store.api().get(&key).await? {
            node.adopt_objects([(&key, part.value.get())]);
        }
    }
    Ok(())
}
