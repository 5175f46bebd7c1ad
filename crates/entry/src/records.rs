//! Applies the objects of the store to this entry's state.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{
    ASSUMED_COLD_TIME, EntryInfo, Loss, Name, RosterChange, assumed_cold_time, name_key,
};
use rand::RngExt as _;
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use crate::clock::unix_millis;
use crate::dialect::{Change, ObjectKind, OddObjects, StoredObject};
use crate::history::{ConfigurationOrigin, Position};
use crate::node::Node;
use crate::store::StoreError;

/// Pause before a failed registration is repeated.
const REGISTRATION_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// The record that an entry stores of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct EntryRecord {
    /// Address at which it receives messages of other entries.
    peers: SocketAddr,
    /// Address for callers.
    callers: SocketAddr,
    /// Data centre of its VM.
    data_centre: String,
    /// Processor time that it may use, in thousandths of a core.
    cpu_milli: u32,
}

/// Counts the objects of an answer that can't be read, and logs the first of them.
pub(crate) fn report_odd(node: &Node, kind: ObjectKind, odd: &OddObjects) {
    let Some((name, cause)) = &odd.first else {
        return;
    };
    node.metrics.on_odd_objects(kind, odd.count);
    if node.may_log_odd_object() {
        warn!(node.log, "object not readable"; "kind" => %kind, "name" => name, "count" => odd.count, "cause" => cause);
    }
}

/// Counts an object whose body isn't usable, and logs it within limits: its writer may
/// write it again and again.
fn report_unusable(node: &Node, kind: ObjectKind, object: &StoredObject, cause: &dyn Display) {
    node.metrics.on_odd_objects(kind, 1);
    if node.may_log_odd_object() {
        warn!(node.log, "object not usable"; "kind" => %kind, "name" => &object.name, "revision" => object.revision, "cause" => %cause);
    }
}

/// What a complete list shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListState {
    /// The present state.
    Current,
    /// The first state that this entry sees after the store's return from a copy: that of the
    /// copy, and what was written since.
    Restored,
}

/// Applies a complete list. Endpoints and evacuations that it does not name are removed.
pub(crate) fn apply_list(
    node: &Node,
    kind: ObjectKind,
    era: u64,
    list_state: ListState,
    objects: Vec<StoredObject>,
) {
    let names: BTreeSet<Name> = objects.iter().map(|o| o.name.as_str().into()).collect();
    let has_own = names.contains(&node.settings.node);
    match kind {
        ObjectKind::Evacuations => {
            let roster = &mut node.state.borrow_mut().roster;
            match list_state {
                ListState::Current => roster.set_evacuated(names),
                ListState::Restored => roster.restore_evacuated(node.now(), names),
            }
        }
        ObjectKind::Endpoints => {
            let now = node.now();
            if list_state == ListState::Restored {
                node.state.borrow_mut().roster.on_store_restored(now);
            }
            for object in objects {
                apply_endpoint(node, &object, list_state);
            }
            let gone = node.state.borrow_mut().roster.retain(now, &names);
            for id in gone {
                forget_endpoint(node, &id);
            }
            node.state.borrow_mut().has_roster = true;
            node.planner_wake.notify_one();
        }
        _ => {
            for object in objects {
                apply_change(node, kind, era, Change::Put(object));
            }
        }
    }
    if kind == ObjectKind::Entries {
        if list_state == ListState::Restored && !has_own {
            node.unregistered.notify_one();
        }
        let now = node.now();
        let mut state = node.state.borrow_mut();
        state.peers.refresh(now);
        state.has_entries = true;
    }
}

pub(crate) fn apply_change(node: &Node, kind: ObjectKind, era: u64, change: Change) {
    match (kind, change) {
        (ObjectKind::Endpoints, Change::Put(object)) => {
            apply_endpoint(node, &object, ListState::Current);
        }
        (ObjectKind::Endpoints, Change::Removed(id)) => {
            if node.state.borrow_mut().roster.remove(node.now(), &id) {
                forget_endpoint(node, &id);
            }
        }
        (ObjectKind::Configuration, Change::Put(object)) => apply_catalog(node, era, &object),
        (ObjectKind::Configuration, Change::Removed(name)) => {
            warn!(node.log, "configuration removed, the last one stays in force"; "name" => name);
        }
        (ObjectKind::Evacuations, Change::Put(object)) => set_evacuated(node, &object.name, true),
        (ObjectKind::Evacuations, Change::Removed(name)) => set_evacuated(node, &name, false),
        (ObjectKind::Entries, Change::Put(object)) => apply_entry(node, &object),
        (ObjectKind::Entries, Change::Removed(name)) => {
            node.state.borrow_mut().peers.unregister(&name);
        }
        (ObjectKind::Plans, _) => {}
    }
}

/// Applies what a restored store has of data centres out of service, once the operators have
/// written again.
pub(crate) fn settle_evacuated(node: &Node, now: Time) {
    let changed = node.state.borrow_mut().roster.settle_evacuated(now);
    for (name, evacuated) in changed {
        set_evacuated(node, &name, evacuated);
    }
}

fn set_evacuated(node: &Node, name: &str, evacuated: bool) {
    let now = node.now();
    let answered_at = node.relay.answered_at(ObjectKind::Evacuations);
    let age = answered_at.map(|t| now.since(t).as_millis() as u64);
    info!(node.log, "data centre's service changed"; "data_centre" => name, "out" => evacuated, "age_ms" => age);
    let mut state = node.state.borrow_mut();
    state.roster.evacuate(name.into(), evacuated);
    if !evacuated {
        // Its endpoints may have become cold without work, and their records lag behind.
        let state = &mut *state;
        for endpoint in state.roster.iter().filter(|e| *e.data_centre == *name) {
            let share = state.peers.cold_share(now, name_key(&endpoint.id));
            let limiter = state.cold.entry(endpoint.id.clone()).or_default();
            limiter.set_cold(now, now + ASSUMED_COLD_TIME, state.rng.random(), share);
        }
    }
    drop(state);
    node.planner_wake.notify_one();
}

fn apply_endpoint(node: &Node, object: &StoredObject, list_state: ListState) {
    let decoded = node
        .dialect
        .decode_endpoint(object.name.as_str().into(), &object.body);
    let endpoint = match decoded {
        Ok(endpoint) => endpoint,
        Err(error) => {
            report_unusable(node, ObjectKind::Endpoints, object, &error);
            let now = node.now();
            if node.state.borrow_mut().roster.remove(now, &object.name) {
                forget_endpoint(node, &object.name);
            }
            return;
        }
    };
    let id = endpoint.id.clone();
    let phase = endpoint.phase;
    let (incarnation, sequence) = (endpoint.incarnation, endpoint.sequence);
    let group = endpoint.membership.as_ref();
    let group = group.map(|m| format!("{}/{} {} {}", m.group, m.epoch, m.rank, m.state));
    let domain = endpoint.domain.clone();
    let cold = endpoint.cold_remaining;
    let ended = node.state.borrow().roster.ended_by(&endpoint);
    let now = node.now();
    let change = match list_state {
        ListState::Current => node.state.borrow_mut().roster.put(endpoint),
        ListState::Restored => node.state.borrow_mut().roster.put_restored(now, endpoint),
    };
    match change {
        RosterChange::Same => return,
        RosterChange::Outdated => {
            node.metrics.on_old_object(ObjectKind::Endpoints);
            info!(node.log, "endpoint record not newer"; "endpoint" => &*id, "phase" => %phase, "born" => incarnation, "sequence" => sequence, "revision" => object.revision);
            return;
        }
        RosterChange::Added | RosterChange::Restarted | RosterChange::Updated => {}
    }
    for old in ended {
        node.record_lost(&old, Loss::Ended);
    }
    let cold = cold.max(assumed_cold_time(change, incarnation, unix_millis()));
    if !cold.is_zero() {
        let mut state = node.state.borrow_mut();
        let phase = state.rng.random();
        let share = state.peers.cold_share(now, name_key(&id));
        let limiter = state.cold.entry(id.clone()).or_default();
        limiter.set_cold(now, now + cold, phase, share);
    }
    info!(node.log, "endpoint record"; "endpoint" => &*id, "change" => %change, "phase" => %phase, "born" => incarnation, "sequence" => sequence, "revision" => object.revision, "domain" => &*domain, "group" => group);
    if change == RosterChange::Restarted {
        node.pool.drop_endpoint(&id);
    }
    node.advance_queues();
}

fn forget_endpoint(node: &Node, id: &str) {
    info!(node.log, "endpoint gone"; "endpoint" => id);
    let last = node.state.borrow().roster.get_or_unlisted(id).cloned();
    if let Some(last) = last {
        node.record_lost(&last, Loss::Unlisted);
    }
    node.pool.drop_endpoint(id);
    let mut state = node.state.borrow_mut();
    state.monitor.forget(id);
    state.fitness.forget(id);
    state.cold.remove(id);
    node.planner_wake.notify_one();
}

fn apply_catalog(node: &Node, era: u64, object: &StoredObject) {
    let mut state = node.state.borrow_mut();
    let in_force = state.catalog_origin;
    let position = Position::new(era, object.revision);
    if position == in_force.position {
        return;
    }
    match node.dialect.decode_catalog(&object.body) {
        Ok(catalog) => {
            let version = catalog.version;
            let origin = ConfigurationOrigin { position, version };
            if !origin.replaces(in_force) {
                node.metrics.on_old_object(ObjectKind::Configuration);
                info!(node.log, "configuration not newer"; "version" => version, "at" => %position, "in_force" => in_force.version, "in_force_at" => %in_force.position);
                return;
            }
            state.catalog_origin = origin;
            let origin = node.relay.origin(ObjectKind::Configuration);
            let age = origin.as_ref().map(|o| node.now().since(o.answered_at));
            let age = age.map(|a| a.as_millis() as u64);
            let hops = origin.as_ref().map(|o| o.hops);
            let source = origin.as_ref().and_then(|o| o.relay.as_deref());
            let source = source.unwrap_or("store");
            info!(node.log, "configuration in force"; "version" => catalog.version, "era" => era, "revision" => object.revision, "routes" => catalog.route_count(), "source" => source, "age_ms" => age, "hops" => hops);
            node.metrics.set_version(catalog.version);
            state.catalog = Rc::new(catalog);
        }
        Err(error) => {
            warn!(node.log, "configuration not usable, the last one stays in force"; "revision" => object.revision, "cause" => %error);
        }
    }
}

fn apply_entry(node: &Node, object: &StoredObject) {
    match serde_json::from_slice::<EntryRecord>(&object.body) {
        Ok(record) => {
            let entry = EntryInfo {
                name: object.name.as_str().into(),
                data_centre: record.data_centre.as_str().into(),
                peers: record.peers,
                callers: record.callers,
                cpu_milli: record.cpu_milli,
            };
            let now = node.now();
            node.state.borrow_mut().peers.register(now, entry);
        }
        Err(error) => {
            report_unusable(node, ObjectKind::Entries, object, &error);
        }
    }
}

/// Registers this entry, and again when the store has lost its record.
pub(crate) async fn keep_registered(node: Rc<Node>) {
    loop {
        register(&node).await;
        node.unregistered.notified().await;
    }
}

/// Registers this entry in the store, and retries until it succeeds.
async fn register(node: &Node) {
    let settings = &node.settings;
    let record = EntryRecord {
        peers: settings.listen.peers,
        callers: settings.listen.callers,
        data_centre: settings.data_centre.to_string(),
        cpu_milli: settings.cpu_milli,
    };
    let body = serde_json::to_string(&record).expect("a record is valid JSON");
    let name = node.settings.node.clone();
    loop {
        let kind = ObjectKind::Entries;
        let mut result = node.store.write(kind, &name, None, &body).await;
        if matches!(result, Err(StoreError::Conflict)) {
            result = match node.store.read(kind, &name).await {
                Ok(old)
                    if serde_json::from_slice(&old.content.body).ok() == Some(record.clone()) =>
                {
                    Ok(old)
                }
                Ok(old) => {
                    let revision = Some(old.content.revision);
                    node.store.write(kind, &name, revision, &body).await
                }
                Err(error) => Err(error),
            };
        }
        match result {
            Ok(answer) => {
                info!(node.log, "registered"; "revision" => answer.content.revision);
                return;
            }
            Err(error) => warn!(node.log, "not registered yet"; "cause" => %error),
        }
        tokio::time::sleep(REGISTRATION_RETRY_PAUSE).await;
    }
}
