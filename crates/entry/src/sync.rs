//! Keeps this entry's copy of the store up to date: one list, then watches.
//!
//! A few entries watch the store itself; the others follow one of them, see
//! [`crate::relay`].

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{ASSUMED_COLD_TIME, Name, RosterChange, assumed_cold_time};
use rand::RngExt as _;
use serde::{Deserialize, Serialize};
use slog::{debug, info, warn};

use crate::clock::unix_millis;
use crate::connection::Connection;
use crate::dialect::{Change, Changes, Consistency, ObjectKind, StoredObject};
use crate::node::Node;
use crate::peers::{self, PeerSocket};
use crate::relay::{self, RelayError, RelayUpdate, Relayed};
use crate::store::StoreError;

/// Longest wait of a watch for kinds whose changes must take effect soon. A watch that the
/// store drops without closing the connection is noticed only after this time.
const WATCH_WAIT_SHORT: Duration = Duration::from_millis(1_500);
/// Longest wait of a watch for the other kinds.
const WATCH_WAIT_LONG: Duration = Duration::from_secs(10);
/// Time for which a relay is not followed after it could not be reached.
const UNREACHABLE_RELAY_BACKOFF: Duration = Duration::from_secs(3);
/// Time for which a relay is not followed after its copy of the store was stale. It is
/// short, because all its followers put load on the store meanwhile.
const STALE_RELAY_BACKOFF: Duration = Duration::from_millis(600);
/// Shortest pause before a failed call is repeated.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause before a failed call is repeated.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Longest wait for a peer to follow after the first list. Most entries find one in this
/// time and never watch the store.
const RELAY_WAIT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Interval at which an entry checks whether it knows a peer to follow.
const RELAY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Pause before the next watch for endpoints on entries that do not plan, so that several
/// changes arrive in one answer.
const BATCH_PAUSE: Duration = Duration::from_millis(120);

/// The record that an entry stores of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct EntryRecord {
    /// Address at which it receives datagrams of its peers.
    pub(crate) peers: SocketAddr,
}

/// Returns the longest wait of a watch for a kind.
pub(crate) const fn watch_wait(kind: ObjectKind) -> Duration {
    match kind {
        ObjectKind::Configuration | ObjectKind::Endpoints | ObjectKind::Evacuations => {
            WATCH_WAIT_SHORT
        }
        ObjectKind::Entries | ObjectKind::Plans => WATCH_WAIT_LONG,
    }
}

/// Where an entry gets the changes of a kind from.
enum Source {
    Store,
    Relay(Name, SocketAddr),
}

/// The state of following one kind of objects.
struct Follower {
    node: Rc<Node>,
    socket: Rc<PeerSocket>,
    kind: ObjectKind,
    /// Revision up to which the kind is known; `None` before the first list.
    revision: Option<u64>,
    connection: Option<Connection>,
    /// The relay that `connection` leads to, or `None` for the store.
    relay: Option<Name>,
    /// Whether the store has listed the kind before.
    listed: bool,
    /// Relays that failed, and until when they are not used.
    avoided: Vec<(Name, Time)>,
}

/// Follows one kind of objects until the process ends.
pub(crate) async fn follow(node: Rc<Node>, socket: Rc<PeerSocket>, kind: ObjectKind) {
    let mut follower = Follower {
        node,
        socket,
        kind,
        revision: None,
        connection: None,
        relay: None,
        listed: false,
        avoided: Vec::new(),
    };
    let mut pause = MIN_RETRY_PAUSE;
    let mut failures = 0;
    loop {
        let result = match follower.choose_source() {
            Source::Relay(name, address) => follower.follow_relay(name, address).await,
            Source::Store => follower.follow_store().await,
        };
        let node = &follower.node;
        match result {
            Ok(()) => {
                if failures > 1 {
                    info!(node.log, "store is back"; "kind" => %kind, "revision" => follower.revision);
                }
                failures = 0;
                pause = MIN_RETRY_PAUSE;
            }
            Err(error) => {
                failures += 1;
                on_store_answer(node, "follow", false);
                // A single failure may be a watch whose connection was closed while it
                // waited; only a second one counts as the loss of the store.
                if failures == 1 {
                    continue;
                }
                if failures == 2 {
                    warn!(node.log, "store lost"; "kind" => %kind, "cause" => %error);
                }
                node.state.borrow_mut().roster.on_store_lost();
                follower.revision = None;
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

impl Follower {
    /// Waits until a peer is known that this entry can follow.
    async fn await_relay(&self) {
        let end = self.node.now() + RELAY_WAIT_TIMEOUT;
        while !peers::has_relay(&self.node) && self.node.now() < end {
            tokio::time::sleep(RELAY_POLL_INTERVAL).await;
        }
    }

    /// Chooses the relay to follow, or the store if there is none. Drops the connection if
    /// the choice has changed.
    fn choose_source(&mut self) -> Source {
        let now = self.node.now();
        self.avoided.retain(|(_, until)| now < *until);
        // The first list of the entries' addresses must come from the store: without the
        // addresses no relay can be reached.
        if self.kind == ObjectKind::Entries && self.revision.is_none() {
            return Source::Store;
        }
        let chosen = relay::choose_relay(&self.node, &self.avoided);
        let reached = chosen.and_then(|name| Some((self.socket.address_of(&name)?, name)));
        let source = match reached {
            Some((address, name)) => Source::Relay(name, address),
            None => Source::Store,
        };
        let relay = match &source {
            Source::Relay(name, _) => Some(name.clone()),
            Source::Store => None,
        };
        if relay != self.relay {
            self.connection = None;
            self.relay = relay;
        }
        source
    }

    /// Fetches once from a relay and applies the answer. If the relay fails, this entry
    /// avoids it for a while and goes to another one or to the store.
    async fn follow_relay(&mut self, name: Name, address: SocketAddr) -> Result<(), StoreError> {
        let fetched = relay::fetch(&mut self.connection, address, self.kind, self.revision).await;
        let node = &self.node;
        match fetched {
            Ok(relayed) if relayed.revision < self.revision.unwrap_or(0) => {
                // The relay's copy is older than what this entry has already applied.
                self.avoided.push((name, node.now() + STALE_RELAY_BACKOFF));
            }
            Ok(relayed) => {
                on_store_answer(node, "relay", true);
                let revision = relayed.revision;
                let changes = self.read_omitted(relayed).await?;
                if self.revision.is_none() {
                    let objects = changes.into_iter().filter_map(Change::into_put);
                    let objects: Vec<StoredObject> = objects.collect();
                    self.node.relay.reset(self.kind, &objects, revision, None);
                    apply_list(&self.node, &self.socket, self.kind, objects);
                    self.revision = Some(revision);
                } else {
                    self.apply(Changes { changes, revision }, None);
                }
            }
            Err(RelayError::HistoryGone) => self.revision = None,
            Err(error) => {
                info!(node.log, "relay not followed"; "kind" => %self.kind, "peer" => &*name, "cause" => %error);
                let pause = match error {
                    RelayError::Refused(_) => STALE_RELAY_BACKOFF,
                    _ => UNREACHABLE_RELAY_BACKOFF,
                };
                self.avoided.push((name, node.now() + pause));
            }
        }
        Ok(())
    }

    /// Reads from the store the objects whose bodies a relay left out.
    async fn read_omitted(&self, relayed: Relayed) -> Result<Vec<Change>, StoreError> {
        let mut changes = Vec::with_capacity(relayed.updates.len());
        for update in relayed.updates {
            match update {
                RelayUpdate::Change(change) => changes.push(change),
                RelayUpdate::Read(name, revision) => {
                    debug!(self.node.log, "object read"; "kind" => %self.kind, "name" => &name, "revision" => revision);
                    let object = self.node.store.read(self.kind, &name).await?;
                    changes.push(Change::Put(object));
                }
            }
        }
        Ok(changes)
    }

    /// Lists or watches the store once and applies the answer.
    async fn follow_store(&mut self) -> Result<(), StoreError> {
        let node = &self.node;
        let Some(revision) = self.revision else {
            // A later list must not be older than what is known; the first one may be stale.
            let consistency = match self.listed {
                true => Consistency::Latest,
                false => Consistency::Stale,
            };
            let (objects, revision) = node.store.list(self.kind, consistency).await?;
            on_store_answer(node, "list", true);
            node.relay
                .reset(self.kind, &objects, revision, Some(node.now()));
            apply_list(node, &self.socket, self.kind, objects);
            self.revision = Some(revision);
            if !std::mem::replace(&mut self.listed, true) {
                self.await_relay().await;
            }
            return Ok(());
        };
        let wait = watch_wait(self.kind);
        let watched = node
            .store
            .watch(&mut self.connection, self.kind, revision, wait)
            .await;
        match watched {
            Ok(changes) => {
                on_store_answer(node, "watch", true);
                let answered_at = Some(node.now());
                self.apply(changes, answered_at);
                if self.kind == ObjectKind::Endpoints && !peers::may_plan(&self.node) {
                    tokio::time::sleep(BATCH_PAUSE).await;
                }
                Ok(())
            }
            Err(StoreError::HistoryGone) => {
                self.revision = None;
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    /// Applies changes and keeps them for followers. `answered_at` is the time of the
    /// answer if the store itself gave it.
    fn apply(&mut self, changes: Changes, answered_at: Option<Time>) {
        let node = &self.node;
        node.relay.extend(self.kind, &changes, answered_at);
        self.revision = Some(self.revision.unwrap_or(0).max(changes.revision));
        let any = !changes.changes.is_empty();
        for change in changes.changes {
            apply_change(node, &self.socket, self.kind, change);
        }
        if any && self.kind == ObjectKind::Endpoints {
            node.planner_wake.notify_one();
        }
    }
}

/// Counts a call to the store or a relay, and records contact with the store.
fn on_store_answer(node: &Node, purpose: &'static str, ok: bool) {
    node.metrics.on_store_call(purpose, ok);
    if ok {
        let now = node.now();
        let mut state = node.state.borrow_mut();
        state.last_store_contact = Some(now);
        state.roster.on_store_back(now);
    }
}

/// Applies a complete list. Endpoints and evacuations that it does not name are removed.
fn apply_list(node: &Node, socket: &PeerSocket, kind: ObjectKind, objects: Vec<StoredObject>) {
    let names: BTreeSet<Name> = objects.iter().map(|o| o.name.as_str().into()).collect();
    match kind {
        ObjectKind::Evacuations => node.state.borrow_mut().roster.set_evacuated(names),
        ObjectKind::Endpoints => {
            for object in objects {
                apply_endpoint(node, &object);
            }
            let now = node.now();
            let gone = node.state.borrow_mut().roster.retain(now, &names);
            for id in gone {
                forget_endpoint(node, &id);
            }
            node.state.borrow_mut().has_roster = true;
            node.planner_wake.notify_one();
        }
        _ => {
            for object in objects {
                apply_change(node, socket, kind, Change::Put(object));
            }
        }
    }
}

fn apply_change(node: &Node, socket: &PeerSocket, kind: ObjectKind, change: Change) {
    match (kind, change) {
        (ObjectKind::Endpoints, Change::Put(object)) => apply_endpoint(node, &object),
        (ObjectKind::Endpoints, Change::Removed(id)) => {
            if node.state.borrow_mut().roster.remove(node.now(), &id) {
                forget_endpoint(node, &id);
            }
        }
        (ObjectKind::Configuration, Change::Put(object)) => apply_catalog(node, &object),
        (ObjectKind::Configuration, Change::Removed(name)) => {
            warn!(node.log, "configuration removed, the last one stays in force"; "name" => name);
        }
        (ObjectKind::Evacuations, Change::Put(object)) => set_evacuated(node, &object.name, true),
        (ObjectKind::Evacuations, Change::Removed(name)) => set_evacuated(node, &name, false),
        (ObjectKind::Entries, Change::Put(object)) => apply_entry(node, socket, &object),
        (ObjectKind::Entries, Change::Removed(name)) => set_peer(node, socket, &name, None),
        (ObjectKind::Plans, _) => {}
    }
}

fn set_evacuated(node: &Node, name: &str, evacuated: bool) {
    info!(node.log, "data centre's service changed"; "data_centre" => name, "out" => evacuated);
    let now = node.now();
    let mut state = node.state.borrow_mut();
    state.roster.evacuate(name.into(), evacuated);
    if !evacuated {
        // Its endpoints may have become cold without work, and their records lag behind.
        let state = &mut *state;
        for endpoint in state.roster.iter().filter(|e| *e.data_centre == *name) {
            let limiter = state.cold.entry(endpoint.id.clone()).or_default();
            limiter.set_cold(now, now + ASSUMED_COLD_TIME, state.rng.random());
        }
    }
    drop(state);
    node.planner_wake.notify_one();
}

fn apply_endpoint(node: &Node, object: &StoredObject) {
    let decoded = node
        .dialect
        .decode_endpoint(object.name.as_str().into(), &object.body);
    let endpoint = match decoded {
        Ok(endpoint) => endpoint,
        Err(error) => {
            warn!(node.log, "endpoint record not usable"; "endpoint" => &object.name, "revision" => object.revision, "cause" => %error);
            let now = node.now();
            if node.state.borrow_mut().roster.remove(now, &object.name) {
                forget_endpoint(node, &object.name);
            }
            return;
        }
    };
    let id = endpoint.id.clone();
    let phase = endpoint.phase;
    let incarnation = endpoint.incarnation;
    let group = endpoint.membership.as_ref();
    let group = group.map(|m| format!("{}/{} {} {}", m.group, m.epoch, m.rank, m.state));
    let domain = endpoint.domain.clone();
    let cold = endpoint.cold_remaining;
    let change = node.state.borrow_mut().roster.put(endpoint);
    if change == RosterChange::Same {
        return;
    }
    let cold = cold.max(assumed_cold_time(change, incarnation, unix_millis()));
    if !cold.is_zero() {
        let now = node.now();
        let mut state = node.state.borrow_mut();
        let phase = state.rng.random();
        let limiter = state.cold.entry(id.clone()).or_default();
        limiter.set_cold(now, now + cold, phase);
    }
    info!(node.log, "endpoint record"; "endpoint" => &*id, "change" => %change, "phase" => %phase, "born" => incarnation, "revision" => object.revision, "domain" => &*domain, "group" => group);
    if change == RosterChange::Restarted {
        node.pool.drop_endpoint(&id);
    }
    node.advance_queues();
}

fn forget_endpoint(node: &Node, id: &str) {
    info!(node.log, "endpoint gone"; "endpoint" => id);
    node.pool.drop_endpoint(id);
    let mut state = node.state.borrow_mut();
    state.monitor.forget(id);
    state.cold.remove(id);
    node.planner_wake.notify_one();
}

fn apply_catalog(node: &Node, object: &StoredObject) {
    let mut state = node.state.borrow_mut();
    if object.revision <= state.catalog_revision {
        return;
    }
    match node.dialect.decode_catalog(&object.body) {
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

fn set_peer(node: &Node, socket: &PeerSocket, name: &str, address: Option<SocketAddr>) {
    node.state.borrow_mut().registered_peers = socket.set_peer(name.into(), address);
}

fn apply_entry(node: &Node, socket: &PeerSocket, object: &StoredObject) {
    if object.name == *node.settings.node {
        return;
    }
    match serde_json::from_slice::<EntryRecord>(&object.body) {
        Ok(record) => set_peer(node, socket, &object.name, Some(record.peers)),
        Err(error) => {
            warn!(node.log, "entry record not usable"; "entry" => &object.name, "cause" => %error);
        }
    }
}

/// Registers this entry's address for peers in the store, and retries until it succeeds.
pub(crate) async fn register(node: Rc<Node>) {
    let record = EntryRecord {
        peers: node.settings.listen.peers,
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
        tokio::time::sleep(MAX_RETRY_PAUSE).await;
    }
}
