//! Keeps this entry's copy of the store up to date: one list, then watches.
//!
//! A few entries watch the store itself; the others follow one of them or a hub of their
//! data centre, see [`crate::relay`]. An entry that finds none to follow goes to the store
//! after a delay that grows with the number of entries, so that the calls of all of them
//! together stay few. An entry whose copy grows too old asks the store itself, whatever its
//! source does, see [`CopyAge`].

mod relayed;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{CopyAge, Distance, Name, Place, RelayChoice, Role, name_key};
use rand::RngExt as _;
use slog::{info, warn};

use crate::connection::{Connection, ConnectionError};
use crate::dialect::{Change, Consistency, ObjectKind, StoredObject};
use crate::history::{Cursor, Position};
use crate::node::Node;
use crate::peers;
use crate::records::{ListState, apply_change, apply_list, report_odd};
use crate::relay::Origin;
use crate::state_transfer;
use crate::store::StoreError;

/// Time without an entry to follow after which an entry goes to the store, in a deployment
/// of one entry.
const MIN_FALLBACK_DELAY: Duration = Duration::from_millis(400);
/// Part of that time that each entry adds. A random time of up to twice as much is added,
/// too, so the entries go to the store one after the other.
const FALLBACK_DELAY_PER_ENTRY: Duration = Duration::from_millis(8);
/// Wait of a watch that only asks for the changes up to now.
const PROBE_WAIT: Duration = Duration::from_millis(1);
/// Time in which the answer to such a watch must begin.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which an entry without a source looks for one.
const SOURCE_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Time for which all entries of a new deployment register before the first of them lists
/// the others.
const REGISTRATION_TIME: Duration = Duration::from_millis(600);
/// Pause before the next watch for endpoints on entries that do not plan, so that several
/// changes arrive in one answer.
const BATCH_PAUSE: Duration = Duration::from_millis(120);

/// Where an entry gets the changes of a kind from.
enum Source {
    Store,
    /// The store, at once and on a new connection: the copy is too old.
    Probe,
    Relay(Name, SocketAddr),
    /// There is none yet.
    Wait,
}

/// What a fetch from a relay brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Answered,
    Nothing,
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
    /// Era of the last list.
    era: u64,
    /// Age of this entry's copy, and its failed calls to the store.
    age: CopyAge,
    /// This entry's place among all that may call the store.
    place: Place,
    /// Relays that failed, and until when they are not used.
    avoided: Vec<(Name, Time)>,
    /// When this entry goes to the store because it finds no relay.
    fallback_at: Option<Time>,
    /// The failure of a relay that was last logged: relay, cause and when.
    failure_logged: Option<(Name, &'static str, Time)>,
}

/// Follows one kind of objects until the process ends.
pub(crate) async fn follow(node: Rc<Node>, kind: ObjectKind) {
    let draw = node.state.borrow_mut().rng.random();
    let mut follower = Follower {
        node,
        kind,
        cursor: Cursor::default(),
        connection: None,
        relay: None,
        listed: false,
        era: 0,
        age: CopyAge::default(),
        place: Place {
            distance: Distance::Follower,
            draw,
            entries: 0,
        },
        avoided: Vec::new(),
        fallback_at: None,
        failure_logged: None,
    };
    if kind == ObjectKind::Entries && follower.node.settings.bootstrap {
        tokio::time::sleep(REGISTRATION_TIME).await;
    }
    let mut failures = 0;
    loop {
        let result = match follower.choose_source() {
            Source::Relay(name, address) => follower.follow_relay(name, address).await,
            Source::Store => follower.follow_store().await,
            Source::Probe => follower.probe_store().await,
            Source::Wait => {
                tokio::time::sleep(SOURCE_POLL_INTERVAL).await;
                continue;
            }
        };
        match result {
            Ok(Progress::Answered) => {
                if failures > 1 {
                    info!(follower.node.log, "store is back"; "kind" => %kind, "position" => follower.cursor.next.map(|p| p.to_string()));
                }
                failures = 0;
            }
            Ok(Progress::Nothing) => {}
            Err(error) => {
                failures += 1;
                follower.on_store_failure(failures, &error);
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
        let may_call = self.age.may_call(now);
        let store = match may_call {
            true => Source::Store,
            false => Source::Wait,
        };
        // The first list of the entries' addresses must come from the store: without the
        // addresses no relay can be reached.
        if self.kind == ObjectKind::Entries && !self.listed {
            return store;
        }
        let state = self.node.state.borrow();
        if !state.has_entries {
            return Source::Wait;
        }
        // In a small deployment the calls for the first list cost less than the time until
        // a relay is found, of which many may have stopped together with this entry.
        if !self.listed && state.peers.role() == Role::Direct {
            return store;
        }
        let choice = state
            .peers
            .choose_relay(now, state.contact.reaches_store(now));
        self.place.entries = state.peers.registered_count();
        self.place.distance = match (&choice, state.peers.role()) {
            (RelayChoice::Store, _) => Distance::Watcher,
            (_, Role::Hub) => Distance::Hub,
            (_, Role::Follower | Role::Direct) => Distance::Follower,
        };
        let due_at = self.due_at();
        let source = match choice {
            _ if due_at.is_some_and(|due| now >= due) => Source::Probe,
            RelayChoice::Store => {
                self.fallback_at = None;
                store
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
            Source::Wait if may_call && self.is_fallback_due(now) => Source::Store,
            other => other,
        };
        let relay = match &source {
            Source::Relay(name, _) => Some(name.clone()),
            Source::Store | Source::Probe => None,
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

    /// Returns when this entry asks the store because its copy is too old, once the kind has
    /// been listed.
    fn due_at(&self) -> Option<Time> {
        let limits = self.node.age_limits(self.kind);
        let due = self.age.due_at(limits, self.place);
        due.filter(|_| self.listed)
    }

    /// Records a call that the store did not answer, the `failures`th in a row.
    fn on_store_failure(&mut self, failures: u32, error: &StoreError) {
        let node = &self.node;
        on_answer(node, "follow", false);
        let now = node.now();
        self.age.on_store_failure(now, self.place);
        // A single failure may be a watch whose connection was closed while it waited; only
        // a second one counts as the loss of the store.
        if failures == 1 {
            return;
        }
        if failures == 2 {
            warn!(node.log, "store lost"; "kind" => %self.kind, "cause" => %error);
        }
        let mut state = node.state.borrow_mut();
        state.roster.on_store_lost();
        state.contact.on_failure(now);
    }

    /// Lists or watches the store once and applies the answer.
    async fn follow_store(&mut self) -> Result<Progress, StoreError> {
        let limits = self.node.age_limits(self.kind);
        let age = self.node.relay.answered_at(self.kind);
        let age = age.map_or(Duration::ZERO, |t| self.node.now().since(t));
        let wait = limits.watch_wait().saturating_sub(age).max(PROBE_WAIT);
        let watching = Place {
            distance: Distance::Watcher,
            ..self.place
        };
        let margin = limits.max_age(watching) - limits.watch_wait();
        self.ask_store(wait, margin.min(PROBE_TIMEOUT)).await?;
        if self.kind == ObjectKind::Endpoints && !peers::may_plan(&self.node) {
            tokio::time::sleep(BATCH_PAUSE).await;
        }
        Ok(Progress::Answered)
    }

    /// Asks the store for the changes up to now. The old connection may have gone silent.
    async fn probe_store(&mut self) -> Result<Progress, StoreError> {
        self.connection = None;
        self.ask_store(PROBE_WAIT, PROBE_TIMEOUT).await?;
        Ok(Progress::Answered)
    }

    /// Lists the store, or watches it for `wait`, and applies the answer, which must begin
    /// within `margin` after the wait.
    async fn ask_store(&mut self, wait: Duration, margin: Duration) -> Result<(), StoreError> {
        let node = &self.node;
        let Some(position) = self.cursor.next else {
            // A later list must not be older than what is known; the first one may be stale,
            // unless this entry decides by it whom to follow.
            let consistency = match self.listed || self.kind == ObjectKind::Entries {
                true => Consistency::Latest,
                false => Consistency::Stale,
            };
            let listed = node.store.list(self.kind, consistency).await?;
            report_odd(node, self.kind, &listed.odd);
            self.on_store_answer("list");
            if !self.cursor.reset(listed.position) {
                return Err(StoreError::HistoryGone);
            }
            let origin = self.store_origin();
            self.replace(listed.objects, listed.position, origin).await;
            return Ok(());
        };
        let connection = &mut self.connection;
        let watch = node
            .store
            .watch(connection, self.kind, position, wait, margin);
        match watch.await {
            Ok(changes) => {
                report_odd(&self.node, self.kind, &changes.odd);
                self.on_store_answer("watch");
                let position = Position::new(position.era, changes.revision);
                self.apply(changes.changes, position, self.store_origin());
                Ok(())
            }
            Err(StoreError::HistoryGone) => {
                self.cursor.next = None;
                Ok(())
            }
            // The same question would get the same answer, until the store drops its history.
            // A list comes in pages, and without the versions in between.
            Err(StoreError::NoAnswer(ConnectionError::TooLarge)) => {
                info!(self.node.log, "changes too large, listed anew"; "kind" => %self.kind, "position" => %position);
                self.cursor.next = None;
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    /// Counts an answer of the store itself.
    fn on_store_answer(&mut self, purpose: &'static str) {
        let now = self.node.now();
        on_answer(&self.node, purpose, true);
        self.node.state.borrow_mut().contact.on_direct_answer(now);
        self.age.on_store_answer(now);
    }

    /// Returns the origin of an answer that the store has just given.
    fn store_origin(&self) -> Origin {
        Origin {
            answered_at: self.node.now(),
            hops: 0,
            relay: None,
        }
    }

    /// Applies a complete list and keeps it for followers. Before it uses the first list of
    /// the endpoints, it asks its peers which of them leave.
    async fn replace(&mut self, objects: Vec<StoredObject>, position: Position, origin: Origin) {
        let node = &self.node;
        let leaving = match !self.listed && self.kind == ObjectKind::Endpoints {
            true => state_transfer::fetch_departures(node).await,
            false => Vec::new(),
        };
        if self.listed {
            let source = origin.relay.as_deref().unwrap_or("store");
            info!(node.log, "listed anew"; "kind" => %self.kind, "source" => source, "position" => %position, "objects" => objects.len());
        }
        node.relay.reset(self.kind, &objects, position, origin);
        let list_state = match self.listed && position.era > self.era {
            true => ListState::Restored,
            false => ListState::Current,
        };
        apply_list(node, self.kind, position.era, list_state, objects);
        for departure in &leaving {
            node.retire_endpoint(departure, "peer");
        }
        self.era = position.era;
        self.listed = true;
    }

    /// Applies changes and keeps them for followers.
    fn apply(&mut self, changes: Vec<Change>, position: Position, origin: Origin) {
        let node = &self.node;
        node.relay.extend(self.kind, &changes, position, origin);
        self.cursor.advance(position);
        let any = !changes.is_empty();
        for change in changes {
            apply_change(node, self.kind, position.era, change);
        }
        if any && self.kind == ObjectKind::Endpoints {
            node.planner_wake.notify_one();
        }
    }
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
