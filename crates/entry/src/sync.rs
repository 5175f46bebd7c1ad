//! Keeps this entry's copy of the store up to date: one list, then watches.
//!
//! A few entries watch the store itself; the others follow one of them or a hub of their
//! data centre, see [`crate::relay`]. An entry that finds none to follow goes to the store
//! after a delay that grows with the number of entries, so that the calls of all of them
//! together stay few.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{Name, RelayChoice, Role, name_key};
use rand::RngExt as _;
use slog::{debug, info, warn};

use crate::connection::Connection;
use crate::dialect::{Change, Changes, Consistency, ObjectKind, StoredObject};
use crate::node::Node;
use crate::peers;
use crate::records::{apply_change, apply_list};
use crate::relay::{self, Origin, RelayError, RelayQuery, RelayUpdate, Relayed};
use crate::store::{StoreError, watch_wait};

/// Time for which a relay is not followed after it could not be reached.
const UNREACHABLE_RELAY_BACKOFF: Duration = Duration::from_secs(3);
/// Time for which a relay is not followed after its copy of the store was stale.
const STALE_RELAY_BACKOFF: Duration = Duration::from_millis(600);
/// The same before this entry has a copy of its own: the relay may be starting, too.
const STARTING_RELAY_BACKOFF: Duration = Duration::from_millis(150);
/// Shortest pause before a failed call is repeated.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause before a failed call of an entry that watches the store is repeated.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Time without an entry to follow after which an entry goes to the store, in a deployment
/// of one entry.
const MIN_FALLBACK_DELAY: Duration = Duration::from_millis(400);
/// Part of that time that each entry adds. A random time of up to twice as much is added,
/// too, so the entries go to the store one after the other.
const FALLBACK_DELAY_PER_ENTRY: Duration = Duration::from_millis(8);
/// Interval at which an entry without a source looks for one.
const SOURCE_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Time for which all entries of a new deployment register before the first of them lists
/// the others.
const REGISTRATION_TIME: Duration = Duration::from_millis(600);
/// Pause before the next watch for endpoints on entries that do not plan, so that several
/// changes arrive in one answer.
const BATCH_PAUSE: Duration = Duration::from_millis(120);
/// The same on entries that follow a hub.
const FOLLOWER_BATCH_PAUSE: Duration = Duration::from_millis(200);

/// Minimum time between two log lines about the same failure of the same relay.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Where an entry gets the changes of a kind from.
enum Source {
    Store,
    Relay(Name, SocketAddr),
    /// There is none yet.
    Wait,
}

/// How far a kind of objects is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Cursor {
    /// Revision from which to continue; `None` if the kind must be listed.
    revision: Option<u64>,
    /// Highest revision that was applied.
    applied: u64,
}

impl Cursor {
    /// Returns whether an answer of this revision is at least as new as all that was
    /// applied, also if the kind must be listed again: a relay may be behind.
    const fn accepts(self, revision: u64) -> bool {
        revision >= self.applied
    }

    fn advance(&mut self, revision: u64) {
        self.applied = self.applied.max(revision);
        self.revision = Some(self.applied);
    }
}

/// The state of following one kind of objects.
struct Follower {
    node: Rc<Node>,
    kind: ObjectKind,
    cursor: Cursor,
    connection: Option<Connection>,
    /// The relay that `connection` leads to, or `None` for the store.
    relay: Option<Name>,
    /// Whether the kind has been listed before.
    listed: bool,
    /// Relays that failed, and until when they are not used.
    avoided: Vec<(Name, Time)>,
    /// When this entry goes to the store because it finds no relay.
    fallback_at: Option<Time>,
    /// The failure of a relay that was last logged: relay, cause and when.
    failure_logged: Option<(Name, &'static str, Time)>,
}

/// Follows one kind of objects until the process ends.
pub(crate) async fn follow(node: Rc<Node>, kind: ObjectKind) {
    let mut follower = Follower {
        node,
        kind,
        cursor: Cursor::default(),
        connection: None,
        relay: None,
        listed: false,
        avoided: Vec::new(),
        fallback_at: None,
        failure_logged: None,
    };
    if kind == ObjectKind::Entries && follower.node.settings.bootstrap {
        tokio::time::sleep(REGISTRATION_TIME).await;
    }
    let mut pause = MIN_RETRY_PAUSE;
    let mut failures = 0;
    loop {
        let result = match follower.choose_source() {
            Source::Relay(name, address) => follower.follow_relay(name, address).await,
            Source::Store => follower.follow_store().await,
            Source::Wait => {
                tokio::time::sleep(SOURCE_POLL_INTERVAL).await;
                continue;
            }
        };
        let node = &follower.node;
        match result {
            Ok(()) => {
                if failures > 1 {
                    info!(node.log, "store is back"; "kind" => %kind, "revision" => follower.cursor.revision);
                }
                failures = 0;
                pause = MIN_RETRY_PAUSE;
            }
            Err(error) => {
                failures += 1;
                on_answer(node, "follow", false);
                // A single failure may be a watch whose connection was closed while it
                // waited; only a second one counts as the loss of the store.
                if failures == 1 {
                    continue;
                }
                if failures == 2 {
                    warn!(node.log, "store lost"; "kind" => %kind, "cause" => %error);
                }
                {
                    let mut state = node.state.borrow_mut();
                    state.roster.on_store_lost();
                    state.contact.on_failure(node.now());
                }
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(follower.max_retry_pause());
            }
        }
    }
}

impl Follower {
    /// Chooses the relay to follow, or the store. Drops the connection if the choice has
    /// changed.
    fn choose_source(&mut self) -> Source {
        let now = self.node.now();
        self.avoided.retain(|(_, until)| now < *until);
        // The first list of the entries' addresses must come from the store: without the
        // addresses no relay can be reached.
        if self.kind == ObjectKind::Entries && !self.listed {
            return Source::Store;
        }
        let state = self.node.state.borrow();
        if !state.has_entries {
            return Source::Wait;
        }
        // In a small deployment the calls for the first list cost less than the time until
        // a relay is found, of which many may have stopped together with this entry.
        if !self.listed && state.peers.role() == Role::Direct {
            return Source::Store;
        }
        let choice = state
            .peers
            .choose_relay(now, state.contact.reaches_store(now));
        let source = match choice {
            RelayChoice::Store => {
                self.fallback_at = None;
                Source::Store
            }
            RelayChoice::Entries(names) => {
                let usable = |name: &&Name| self.avoided.iter().all(|(a, _)| a != *name);
                let chosen = names.iter().find(usable);
                let address = |name: &Name| state.peers.info(name_key(name)).map(|e| e.peers);
                match chosen.and_then(|name| Some((name.clone(), address(name)?))) {
                    Some((name, address)) => Source::Relay(name, address),
                    None => Source::Wait,
                }
            }
        };
        drop(state);
        let source = match source {
            Source::Wait if self.is_fallback_due(now) => Source::Store,
            other => other,
        };
        let relay = match &source {
            Source::Relay(name, _) => Some(name.clone()),
            Source::Store => None,
            Source::Wait => return source,
        };
        if relay != self.relay {
            self.connection = None;
            self.relay = relay;
        }
        source
    }

    /// Returns whether this entry has been without a relay for so long that it goes to the
    /// store itself.
    fn is_fallback_due(&mut self, now: Time) -> bool {
        let mut state = self.node.state.borrow_mut();
        if state.peers.role() == Role::Direct {
            // The calls of a few entries cost less than a change that comes too late.
            return true;
        }
        let entries = state.peers.registered_count();
        let spread = FALLBACK_DELAY_PER_ENTRY * u32::try_from(entries).unwrap_or(u32::MAX);
        let mut delay = || MIN_FALLBACK_DELAY + spread.mul_f64(state.rng.random_range(1.0..3.0));
        now >= *self.fallback_at.get_or_insert_with(|| now + delay())
    }

    /// Returns the longest pause between failed calls to the store. Of the entries that
    /// only fall back to it, all together call it as often as a few that watch it.
    fn max_retry_pause(&self) -> Duration {
        let entries = self.node.state.borrow().peers.registered_count();
        let spread = FALLBACK_DELAY_PER_ENTRY * u32::try_from(entries).unwrap_or(u32::MAX);
        match self.fallback_at {
            Some(_) => MAX_RETRY_PAUSE.max(spread * 2),
            None => MAX_RETRY_PAUSE,
        }
    }

    /// Fetches once from a relay and applies the answer. If the relay fails, this entry
    /// avoids it for a while and goes to another one or to the store.
    async fn follow_relay(&mut self, name: Name, address: SocketAddr) -> Result<(), StoreError> {
        let (own, role) = {
            let state = self.node.state.borrow();
            (name_key(&self.node.settings.node), state.peers.role())
        };
        let query = RelayQuery {
            kind: self.kind,
            after: self.cursor.revision,
            wait: relay::long_poll_timeout(role),
            follower: own,
        };
        let fetched = relay::fetch(&mut self.connection, address, &query).await;
        let node = &self.node;
        match fetched {
            Ok(relayed) if !self.cursor.accepts(relayed.revision) => {
                // The relay's copy is older than what this entry has already applied.
                self.avoided.push((name, node.now() + STALE_RELAY_BACKOFF));
            }
            Ok(relayed) => {
                on_answer(node, "relay", true);
                self.fallback_at = None;
                let origin = Origin {
                    answered_at: node.now() - relayed.age,
                    hops: relayed.hops,
                    relay: Some(name),
                };
                let revision = relayed.revision;
                let changes = self.read_omitted(relayed).await?;
                let any = !changes.is_empty();
                if self.cursor.revision.is_none() {
                    let objects = changes.into_iter().filter_map(Change::into_put);
                    self.replace(objects.collect(), revision, origin);
                } else {
                    self.apply(Changes { changes, revision }, origin);
                }
                if any && role == Role::Follower && self.kind == ObjectKind::Endpoints {
                    tokio::time::sleep(FOLLOWER_BATCH_PAUSE).await;
                }
            }
            Err(RelayError::HistoryGone) => self.cursor.revision = None,
            Err(error) => {
                let pause = match error {
                    RelayError::Refused(_) if self.cursor.revision.is_none() => {
                        STARTING_RELAY_BACKOFF
                    }
                    RelayError::Refused(_) => STALE_RELAY_BACKOFF,
                    _ => UNREACHABLE_RELAY_BACKOFF,
                };
                let now = node.now();
                self.report_failure(now, &name, &error);
                self.avoided.push((name, now + pause));
            }
        }
        Ok(())
    }

    /// Counts a failure of a relay, and logs it unless the same one was logged recently.
    fn report_failure(&mut self, now: Time, relay: &Name, error: &RelayError) {
        let (node, cause) = (&self.node, error.name());
        node.metrics.on_relay_failure(self.kind, cause);
        let logged = self.failure_logged.as_ref();
        let known = logged.is_some_and(|(name, last, at)| {
            name == relay && *last == cause && now.since(*at) < FAILURE_LOG_INTERVAL
        });
        if !known {
            info!(node.log, "relay not followed"; "kind" => %self.kind, "peer" => &**relay, "cause" => %error);
            self.failure_logged = Some((relay.clone(), cause, now));
        }
    }

    /// Reads from the store the objects whose bodies a relay left out.
    async fn read_omitted(&self, relayed: Relayed) -> Result<Vec<Change>, StoreError> {
        let mut changes = Vec::with_capacity(relayed.updates.len());
        for update in relayed.updates {
            match update {
                RelayUpdate::Change(change) => changes.push(change),
                RelayUpdate::Read(name, revision) => {
                    debug!(self.node.log, "object read"; "kind" => %self.kind, "name" => &name, "revision" => revision);
                    let object = self.node.store.read(self.kind, &name).await;
                    self.node.metrics.on_store_call("read", object.is_ok());
                    changes.push(Change::Put(object?));
                }
            }
        }
        Ok(changes)
    }

    /// Lists or watches the store once and applies the answer.
    async fn follow_store(&mut self) -> Result<(), StoreError> {
        let node = &self.node;
        let Some(revision) = self.cursor.revision else {
            // A later list must not be older than what is known; the first one may be stale,
            // unless this entry decides by it whom to follow.
            let consistency = match self.listed || self.kind == ObjectKind::Entries {
                true => Consistency::Latest,
                false => Consistency::Stale,
            };
            let (objects, revision) = node.store.list(self.kind, consistency).await?;
            on_store_answer(node, "list");
            self.replace(objects, revision, self.store_origin());
            return Ok(());
        };
        let wait = watch_wait(self.kind);
        let watched = node
            .store
            .watch(&mut self.connection, self.kind, revision, wait)
            .await;
        match watched {
            Ok(changes) => {
                on_store_answer(node, "watch");
                self.apply(changes, self.store_origin());
                if self.kind == ObjectKind::Endpoints && !peers::may_plan(&self.node) {
                    tokio::time::sleep(BATCH_PAUSE).await;
                }
                Ok(())
            }
            Err(StoreError::HistoryGone) => {
                self.cursor.revision = None;
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    /// Returns the origin of an answer that the store has just given.
    fn store_origin(&self) -> Origin {
        Origin {
            answered_at: self.node.now(),
            hops: 0,
            relay: None,
        }
    }

    /// Applies a complete list and keeps it for followers.
    fn replace(&mut self, objects: Vec<StoredObject>, revision: u64, origin: Origin) {
        let node = &self.node;
        node.relay.reset(self.kind, &objects, revision, origin);
        apply_list(node, self.kind, objects);
        self.cursor.advance(revision);
        self.listed = true;
    }

    /// Applies changes and keeps them for followers.
    fn apply(&mut self, changes: Changes, origin: Origin) {
        let node = &self.node;
        node.relay.extend(self.kind, &changes, origin);
        self.cursor.advance(changes.revision);
        let any = !changes.changes.is_empty();
        for change in changes.changes {
            apply_change(node, self.kind, change);
        }
        if any && self.kind == ObjectKind::Endpoints {
            node.planner_wake.notify_one();
        }
    }
}

/// Counts an answer of the store itself.
fn on_store_answer(node: &Node, purpose: &'static str) {
    on_answer(node, purpose, true);
    node.state.borrow_mut().contact.on_direct_answer(node.now());
}

/// Counts a call to the store or a relay, and records contact with the store.
fn on_answer(node: &Node, purpose: &'static str, ok: bool) {
    node.metrics.on_store_call(purpose, ok);
    if ok {
        let now = node.now();
        let mut state = node.state.borrow_mut();
        state.contact.on_answer(now);
        state.roster.on_store_back(now);
    }
}

#[cfg(test)]
#[path = "../tests/unit/sync.rs"]
mod tests;
