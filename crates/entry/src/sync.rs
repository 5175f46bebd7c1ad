//! Keeps what the store holds: list once, then watch.

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
use crate::dialect::{Change, Changes, ListAge, ObjectKind, StoredObject};
use crate::link::Link;
use crate::node::Node;
use crate::peers::{self, PeerSocket};
use crate::relay::{self, News, RelayError, Relayed};
use crate::store::StoreError;

/// Longest time that a watch for changes with a short deadline waits. A watch that
/// was dropped without a word is noticed only after it.
const WATCH_WAIT_SHORT: Duration = Duration::from_millis(1_500);
/// Longest time that a watch for changes of the entries waits.
const WATCH_WAIT_LONG: Duration = Duration::from_secs(10);
/// Time for which a relay that can't be reached isn't followed.
const RELAY_AVOIDED: Duration = Duration::from_secs(3);
/// Time for which a relay that hasn't heard the store isn't followed: it is asked
/// again soon, since all its followers load the store meanwhile.
const RELAY_BEHIND: Duration = Duration::from_millis(600);
/// Pause before a failed call is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause between failed calls.
const RETRY_PAUSE_MOST: Duration = Duration::from_millis(800);
/// Longest pause after the first list, in which peers make themselves heard: most
/// entries then follow one of them and never watch the store.
const PEERS_AWAITED: Duration = Duration::from_millis(1_200);
/// Time between two looks whether a peer was heard.
const PEERS_LOOK: Duration = Duration::from_millis(50);
/// Time in which changes are collected before the next watch, on entries that
/// don't plan.
const COLLECT_PAUSE: Duration = Duration::from_millis(120);

/// What an entry stores of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct EntryRecord {
    /// Where it takes datagrams of its peers.
    pub(crate) peers: SocketAddr,
}

/// Returns the longest time that a watch of the store waits.
pub(crate) const fn watch_wait(kind: ObjectKind) -> Duration {
    match kind {
        ObjectKind::Configuration | ObjectKind::Endpoints | ObjectKind::Evacuations => {
            WATCH_WAIT_SHORT
        }
        ObjectKind::Entries | ObjectKind::Plans => WATCH_WAIT_LONG,
    }
}

/// From where an entry follows a kind.
enum Source {
    Store,
    Relay(Name, SocketAddr),
}

/// Where one kind is followed, and how far.
struct Follower {
    node: Rc<Node>,
    socket: Rc<PeerSocket>,
    kind: ObjectKind,
    /// Revision up to which the kind is known; `None` before the first list.
    revision: Option<u64>,
    link: Option<Link>,
    /// Relay of the connection.
    relay: Option<Name>,
    /// Whether the store has listed the kind before.
    listed: bool,
    /// Relays that failed, and until when they aren't used.
    avoid: Vec<(Name, Time)>,
}

/// Follows one kind of objects for ever.
pub(crate) async fn follow(node: Rc<Node>, socket: Rc<PeerSocket>, kind: ObjectKind) {
    let mut follower = Follower {
        node,
        socket,
        kind,
        revision: None,
        link: None,
        relay: None,
        listed: false,
        avoid: Vec::new(),
    };
    let mut pause = RETRY_PAUSE;
    let mut failures = 0;
    loop {
        let result = match follower.source() {
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
                pause = RETRY_PAUSE;
            }
            Err(error) => {
                failures += 1;
                on_answer(node, "follow", false);
                // A waiting watch may be cut off; one more try tells whether the store is there.
                if failures == 1 {
                    continue;
                }
                if failures == 2 {
                    warn!(node.log, "store lost"; "kind" => %kind, "cause" => %error);
                }
                node.state.borrow_mut().roster.on_store_lost();
                follower.revision = None;
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(RETRY_PAUSE_MOST);
            }
        }
    }
}

impl Follower {
    /// Waits until a peer that knows what the store holds was heard.
    async fn await_peers(&self) {
        let end = self.node.now() + PEERS_AWAITED;
        while !peers::knows_relay(&self.node) && self.node.now() < end {
            tokio::time::sleep(PEERS_LOOK).await;
        }
    }

    fn source(&mut self) -> Source {
        let now = self.node.now();
        self.avoid.retain(|(_, until)| now < *until);
        // The first list of the entries' addresses comes from the store itself, or no
        // relay is ever found.
        if self.kind == ObjectKind::Entries && self.revision.is_none() {
            return Source::Store;
        }
        let chosen = relay::choose(&self.node, &self.avoid);
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
            self.link = None;
            self.relay = relay;
        }
        source
    }

    /// Takes one answer of a relay. A failure only turns this entry to the store.
    async fn follow_relay(&mut self, name: Name, address: SocketAddr) -> Result<(), StoreError> {
        let fetched = relay::fetch(&mut self.link, address, self.kind, self.revision).await;
        let node = &self.node;
        match fetched {
            Ok(relayed) if relayed.revision < self.revision.unwrap_or(0) => {
                // It is behind what this entry has seen already.
                self.avoid.push((name, node.now() + RELAY_BEHIND));
            }
            Ok(relayed) => {
                on_answer(node, "relay", true);
                let revision = relayed.revision;
                let changes = self.complete(relayed).await?;
                if self.revision.is_none() {
                    let objects = changes.into_iter().filter_map(Change::into_put);
                    let objects: Vec<StoredObject> = objects.collect();
                    self.node.relay.reset(self.kind, &objects, revision, None);
                    take_list(&self.node, &self.socket, self.kind, objects);
                    self.revision = Some(revision);
                } else {
                    self.take(Changes { changes, revision }, None);
                }
            }
            Err(RelayError::HistoryGone) => self.revision = None,
            Err(error) => {
                info!(node.log, "relay not followed"; "kind" => %self.kind, "peer" => &*name, "cause" => %error);
                let pause = match error {
                    RelayError::Refused(_) => RELAY_BEHIND,
                    _ => RELAY_AVOIDED,
                };
                self.avoid.push((name, node.now() + pause));
            }
        }
        Ok(())
    }

    /// Reads the objects from the store that a relay doesn't pass on as a whole.
    async fn complete(&self, relayed: Relayed) -> Result<Vec<Change>, StoreError> {
        let mut changes = Vec::with_capacity(relayed.news.len());
        for news in relayed.news {
            match news {
                News::Change(change) => changes.push(change),
                News::Read(name, revision) => {
                    debug!(self.node.log, "object read"; "kind" => %self.kind, "name" => &name, "revision" => revision);
                    let object = self.node.store.read(self.kind, &name).await?;
                    changes.push(Change::Put(object));
                }
            }
        }
        Ok(changes)
    }

    /// Takes one answer of the store.
    async fn follow_store(&mut self) -> Result<(), StoreError> {
        let node = &self.node;
        let Some(revision) = self.revision else {
            // What a later list says must not be older than what is known.
            let age = match self.listed {
                true => ListAge::Latest,
                false => ListAge::Lagging,
            };
            let (objects, revision) = node.store.list(self.kind, age).await?;
            on_answer(node, "list", true);
            node.relay
                .reset(self.kind, &objects, revision, Some(node.now()));
            take_list(node, &self.socket, self.kind, objects);
            self.revision = Some(revision);
            if !std::mem::replace(&mut self.listed, true) {
                self.await_peers().await;
            }
            return Ok(());
        };
        let wait = watch_wait(self.kind);
        let watched = node
            .store
            .watch(&mut self.link, self.kind, revision, wait)
            .await;
        match watched {
            Ok(changes) => {
                on_answer(node, "watch", true);
                let heard = Some(node.now());
                self.take(changes, heard);
                if self.kind == ObjectKind::Endpoints && !peers::may_plan(&self.node) {
                    tokio::time::sleep(COLLECT_PAUSE).await;
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

    fn take(&mut self, changes: Changes, heard: Option<Time>) {
        let node = &self.node;
        node.relay.extend(self.kind, &changes, heard);
        self.revision = Some(self.revision.unwrap_or(0).max(changes.revision));
        let any = !changes.changes.is_empty();
        for change in changes.changes {
            take_change(node, &self.socket, self.kind, change);
        }
        if any && self.kind == ObjectKind::Endpoints {
            node.planner_wake.notify_one();
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
        (ObjectKind::Entries, Change::Removed(name)) => set_peer(node, socket, &name, None),
        (ObjectKind::Plans, _) => {}
    }
}

fn evacuate(node: &Node, name: &str, out: bool) {
    info!(node.log, "data centre's service changed"; "data_centre" => name, "out" => out);
    let now = node.now();
    let mut state = node.state.borrow_mut();
    state.roster.evacuate(name.into(), out);
    if !out {
        // Its endpoints may have turned cold meanwhile, and their records lag.
        let state = &mut *state;
        for endpoint in state.roster.iter().filter(|e| *e.data_centre == *name) {
            let allowance = state.cold.entry(endpoint.id.clone()).or_default();
            allowance.set_cold(now, now + ASSUMED_COLD_TIME, state.rng.random());
        }
    }
    drop(state);
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
    let domain = endpoint.domain.clone();
    let cold = endpoint.cold_remaining;
    let change = node.state.borrow_mut().roster.put(endpoint);
    if change == RosterChange::Same {
        return;
    }
    let cold = cold.max(assumed_cold_time(change, born, unix_millis()));
    if !cold.is_zero() {
        let now = node.now();
        let mut state = node.state.borrow_mut();
        let phase = state.rng.random();
        let allowance = state.cold.entry(id.clone()).or_default();
        allowance.set_cold(now, now + cold, phase);
    }
    info!(node.log, "endpoint record"; "endpoint" => &*id, "change" => %change, "phase" => %phase, "born" => born, "revision" => object.revision, "domain" => &*domain, "group" => group);
    if change == RosterChange::Restarted {
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

fn set_peer(node: &Node, socket: &PeerSocket, name: &str, address: Option<SocketAddr>) {
    node.state.borrow_mut().recorded = socket.set_peer(name.into(), address);
}

fn take_entry(node: &Node, socket: &PeerSocket, object: &StoredObject) {
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

/// Stores where this entry's peers reach it, until that has succeeded.
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
        tokio::time::sleep(RETRY_PAUSE_MOST).await;
    }
}
