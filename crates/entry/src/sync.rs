//! Keeps what the store holds: list once, then watch.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_fleet::{Name, RosterChange};
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use crate::dialect::{Change, ObjectKind, StoredObject};
use crate::link::Link;
use crate::node::Node;
use crate::peers::{self, PeerSocket};
use crate::store::StoreError;

/// Longest time that a watch for changes with a short deadline waits. A watch that
/// was dropped without a word is noticed only after it.
const WATCH_WAIT_SHORT: Duration = Duration::from_millis(1_500);
/// Longest time that a watch for evacuations waits.
const WATCH_WAIT_MEDIUM: Duration = Duration::from_secs(3);
/// Longest time that a watch for changes of the entries waits.
const WATCH_WAIT_LONG: Duration = Duration::from_secs(10);
/// Pause before a failed call is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause between failed calls.
const RETRY_PAUSE_MOST: Duration = Duration::from_millis(800);
/// Time in which changes are collected before the next watch, on entries that
/// don't plan.
const COLLECT_PAUSE: Duration = Duration::from_millis(120);

/// What an entry stores of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct EntryRecord {
    /// Where it takes datagrams of its peers.
    pub(crate) peers: SocketAddr,
    /// Run of its process.
    pub(crate) incarnation: u64,
}

const fn watch_wait(kind: ObjectKind) -> Duration {
    match kind {
        ObjectKind::Configuration | ObjectKind::Endpoints => WATCH_WAIT_SHORT,
        ObjectKind::Evacuations => WATCH_WAIT_MEDIUM,
        ObjectKind::Entries | ObjectKind::Plans => WATCH_WAIT_LONG,
    }
}

/// Follows one kind of objects for ever.
pub(crate) async fn follow(node: Rc<Node>, socket: Rc<PeerSocket>, kind: ObjectKind) {
    let mut pause = RETRY_PAUSE;
    let mut lost = false;
    loop {
        let failed = match node.store.list(kind).await {
            Ok((objects, revision)) => {
                if lost {
                    info!(node.log, "store is back"; "kind" => %kind, "revision" => revision);
                }
                pause = RETRY_PAUSE;
                on_answer(&node, "list", true);
                take_list(&node, &socket, kind, objects);
                watch(&node, &socket, kind, revision).await
            }
            Err(error) => {
                on_answer(&node, "list", false);
                error
            }
        };
        lost = !matches!(failed, StoreError::HistoryGone);
        if lost {
            warn!(node.log, "store lost"; "kind" => %kind, "cause" => %failed);
            node.state.borrow_mut().roster.on_store_lost();
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(RETRY_PAUSE_MOST);
        }
    }
}

/// Watches from a revision until the watch can't go on.
async fn watch(node: &Rc<Node>, socket: &PeerSocket, kind: ObjectKind, from: u64) -> StoreError {
    let mut link: Option<Link> = None;
    let mut revision = from;
    let mut failures = 0;
    loop {
        match node
            .store
            .watch(&mut link, kind, revision, watch_wait(kind))
            .await
        {
            Ok(changes) => {
                failures = 0;
                on_answer(node, "watch", true);
                revision = revision.max(changes.revision);
                for change in changes.changes {
                    take_change(node, socket, kind, change);
                }
                if kind == ObjectKind::Endpoints {
                    node.planner_wake.notify_one();
                    if !peers::may_plan(node) {
                        tokio::time::sleep(COLLECT_PAUSE).await;
                    }
                }
            }
            // A waiting watch may be cut off; one more try tells whether the store is there.
            Err(StoreError::NoAnswer(_)) if failures == 0 => failures += 1,
            Err(error) => {
                on_answer(node, "watch", false);
                return error;
            }
        }
    }
}

fn on_answer(node: &Node, purpose: &'static str, ok: bool) {
    node.metrics.on_store_call(purpose, ok);
    if ok {
        let now = node.now();
        let mut state = node.state.borrow_mut();
        state.store_heard = Some(now);
        state.roster.on_store_back(now);
    }
}

fn take_list(node: &Node, socket: &PeerSocket, kind: ObjectKind, objects: Vec<StoredObject>) {
    let names: BTreeSet<Name> = objects.iter().map(|o| o.name.as_str().into()).collect();
    match kind {
        ObjectKind::Evacuations => node.state.borrow_mut().roster.set_evacuated(names),
        ObjectKind::Endpoints => {
            for object in objects {
                take_endpoint(node, &object);
            }
            let now = node.now();
            let gone = node.state.borrow_mut().roster.retain(now, &names);
            for id in gone {
                drop_endpoint(node, &id);
            }
            node.state.borrow_mut().has_roster = true;
            node.planner_wake.notify_one();
        }
        _ => {
            for object in objects {
                take_change(node, socket, kind, Change::Put(object));
            }
        }
    }
}

fn take_change(node: &Node, socket: &PeerSocket, kind: ObjectKind, change: Change) {
    match (kind, change) {
        (ObjectKind::Endpoints, Change::Put(object)) => take_endpoint(node, &object),
        (ObjectKind::Endpoints, Change::Removed(id)) => {
            if node.state.borrow_mut().roster.remove(node.now(), &id) {
                drop_endpoint(node, &id);
            }
        }
        (ObjectKind::Configuration, Change::Put(object)) => take_catalog(node, &object),
        (ObjectKind::Configuration, Change::Removed(name)) => {
            warn!(node.log, "configuration removed, the last one stays in force"; "name" => name);
        }
        (ObjectKind::Evacuations, Change::Put(object)) => evacuate(node, &object.name, true),
        (ObjectKind::Evacuations, Change::Removed(name)) => evacuate(node, &name, false),
        (ObjectKind::Entries, Change::Put(object)) => take_entry(node, socket, &object),
        (ObjectKind::Entries, Change::Removed(name)) => socket.set_peer(name.into(), None),
        (ObjectKind::Plans, _) => {}
    }
}

fn evacuate(node: &Node, name: &str, out: bool) {
    info!(node.log, "data centre's service changed"; "data_centre" => name, "out" => out);
    node.state.borrow_mut().roster.evacuate(name.into(), out);
    node.planner_wake.notify_one();
}

fn take_endpoint(node: &Node, object: &StoredObject) {
    let decoded = node
        .dialect
        .endpoint(object.name.as_str().into(), &object.body);
    let endpoint = match decoded {
        Ok(endpoint) => endpoint,
        Err(error) => {
            warn!(node.log, "endpoint record not usable"; "endpoint" => &object.name, "revision" => object.revision, "cause" => %error);
            let now = node.now();
            if node.state.borrow_mut().roster.remove(now, &object.name) {
                drop_endpoint(node, &object.name);
            }
            return;
        }
    };
    let id = endpoint.id.clone();
    let phase = endpoint.phase;
    let born = endpoint.born;
    let group = endpoint.membership.as_ref();
    let group = group.map(|m| format!("{}/{} {} {}", m.group, m.epoch, m.rank, m.state));
    let change = node.state.borrow_mut().roster.put(endpoint);
    if change == RosterChange::Same {
        return;
    }
    info!(node.log, "endpoint record"; "endpoint" => &*id, "change" => %change, "phase" => %phase, "born" => born, "revision" => object.revision, "group" => group);
    if change == RosterChange::Reborn {
        node.links.drop_endpoint(&id);
    }
    node.advance_lines();
}

fn drop_endpoint(node: &Node, id: &str) {
    info!(node.log, "endpoint gone"; "endpoint" => id);
    node.links.drop_endpoint(id);
    let mut state = node.state.borrow_mut();
    state.monitor.forget(id);
    state.cold.remove(id);
    node.planner_wake.notify_one();
}

fn take_catalog(node: &Node, object: &StoredObject) {
    let mut state = node.state.borrow_mut();
    if object.revision <= state.catalog_revision {
        return;
    }
    match node.dialect.catalog(&object.body) {
        Ok(catalog) => {
            info!(node.log, "configuration in force"; "version" => catalog.version, "revision" => object.revision, "routes" => catalog.route_count());
            node.metrics.set_version(catalog.version);
            state.catalog_revision = object.revision;
            state.catalog = Rc::new(catalog);
        }
        Err(error) => {
            warn!(node.log, "configuration not usable, the last one stays in force"; "revision" => object.revision, "cause" => %error);
        }
    }
}

fn take_entry(node: &Node, socket: &PeerSocket, object: &StoredObject) {
    if object.name == *node.settings.node {
        return;
    }
    match serde_json::from_slice::<EntryRecord>(&object.body) {
        Ok(record) => socket.set_peer(object.name.as_str().into(), Some(record.peers)),
        Err(error) => {
            warn!(node.log, "entry record not usable"; "entry" => &object.name, "cause" => %error);
        }
    }
}

/// Stores where this entry's peers reach it, until that has succeeded.
pub(crate) async fn register(node: Rc<Node>, incarnation: u64) {
    let record = EntryRecord {
        peers: node.settings.listen.peers,
        incarnation,
    };
    let body = serde_json::to_string(&record).expect("a record is valid JSON");
    let name = node.settings.node.clone();
    loop {
        let kind = ObjectKind::Entries;
        let mut result = node.store.write(kind, &name, None, &body).await;
        if matches!(result, Err(StoreError::Conflict)) {
            result = match node.store.read(kind, &name).await {
                Ok(old) if serde_json::from_slice(&old.body).ok() == Some(record.clone()) => {
                    Ok(old)
                }
                Ok(old) => {
                    node.store
                        .write(kind, &name, Some(old.revision), &body)
                        .await
                }
                Err(error) => Err(error),
            };
        }
        match result {
            Ok(object) => {
                info!(node.log, "registered"; "revision" => object.revision);
                return;
            }
            Err(error) => warn!(node.log, "not registered yet"; "cause" => %error),
        }
        tokio::time::sleep(RETRY_PAUSE_MOST).await;
    }
}
