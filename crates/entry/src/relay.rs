//! Relays the content of the store from one entry to the others.
//!
//! Calls to the store cost money and count against its rate limit, so only a few entries
//! list and watch it. The others follow one of these or a hub of their data centre, with
//! positions in the store's history. Each answer says how long ago the store gave it, so that a copy
//! grows stale at the same moment everywhere below an entry that has lost the store, and
//! entries that follow each other in a circle stop at once. An entry whose calls the store
//! refuses also receives changes in this way. See `docs/SYSTEM.md`.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{Name, Role};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::connection::{Connection, ConnectionError};
use crate::dialect::{Change, ObjectKind, StoredObject};
use crate::history::Position;

/// Removals of one kind that are kept for followers at most.
const MAX_CACHED_REMOVALS: usize = 400;
/// Time beyond the wait of a watch after which the store's last answer is too old for
/// this entry to be followed.
pub(crate) const FRESHNESS_MARGIN: Duration = Duration::from_millis(800);
/// Time that a relay holds a follower's request open while nothing has changed.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// The same in a deployment with hubs. It exceeds the wait of a watch, after which the
/// store's answer ends the request, so the number of requests stays small.
const LONG_POLL_TIMEOUT_WITH_HUBS: Duration = Duration::from_millis(1_700);
/// Time for which a relay whose copy is stale holds a request, since its copy is about to
/// be renewed.
const STALE_HOLD_TIME: Duration = Duration::from_millis(400);
/// Time beyond the long poll within which the answer must begin.
const ANSWER_MARGIN: Duration = Duration::from_millis(350);
/// Time within which a relay accepts a connection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 8 * 1_024 * 1_024;
/// Largest body of an object that is relayed; larger ones are read from the store.
const MAX_RELAYED_BODY_BYTES: usize = 64 * 1_024;
/// The same in a deployment with hubs, which have fast links and few followers each.
const MAX_RELAYED_BODY_BYTES_WITH_HUBS: usize = 1_024 * 1_024;

/// Returns how long a relay holds a request of this entry open.
pub(crate) const fn long_poll_timeout(role: Role) -> Duration {
    match role {
        Role::Direct => LONG_POLL_TIMEOUT,
        Role::Hub | Role::Follower => LONG_POLL_TIMEOUT_WITH_HUBS,
    }
}

/// Returns the largest body of an object that this entry relays.
pub(crate) const fn max_relayed_body(role: Role) -> usize {
    match role {
        Role::Direct => MAX_RELAYED_BODY_BYTES,
        Role::Hub | Role::Follower => MAX_RELAYED_BODY_BYTES_WITH_HUBS,
    }
}

/// A change on the wire between entries.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RelayedChange {
    Put {
        name: String,
        revision: u64,
        body: String,
    },
    /// The object has changed and must be read from the store: its body is too large to
    /// send to every follower over one entry's network link.
    Changed {
        name: String,
        revision: u64,
    },
    Removed(String),
}

/// The answer to a follower, on the wire.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct RelayedChanges {
    #[serde(default)]
    era: u64,
    revision: u64,
    /// Time since the store gave this answer.
    age_ms: u64,
    /// Entries through which the answer came, including the one that sends it.
    #[serde(default)]
    hops: u8,
    changes: Vec<RelayedChange>,
}

impl RelayedChange {
    /// Returns an object as it is relayed.
    fn put(object: &StoredObject, max_body: usize) -> Self {
        let (name, revision) = (object.name.clone(), object.revision);
        if object.body.len() > max_body {
            return Self::Changed { name, revision };
        }
        Self::Put {
            name,
            revision,
            body: String::from_utf8_lossy(&object.body).into_owned(),
        }
    }
}

/// One update that a follower received.
pub(crate) enum RelayUpdate {
    /// A change.
    Change(Change),
    /// The object of this name must be read from the store; it changed at this revision.
    Read(String, u64),
}

impl From<RelayedChange> for RelayUpdate {
    fn from(change: RelayedChange) -> Self {
        match change {
            RelayedChange::Put {
                name,
                revision,
                body,
            } => Self::Change(Change::Put(StoredObject {
                name,
                revision,
                body: Bytes::from(body),
            })),
            RelayedChange::Changed { name, revision } => Self::Read(name, revision),
            RelayedChange::Removed(name) => Self::Change(Change::Removed(name)),
        }
    }
}

/// The decoded answer of a relay.
pub(crate) struct Relayed {
    /// Position up to which it is complete.
    pub(crate) position: Position,
    /// Time since the store gave the answer.
    pub(crate) age: Duration,
    /// Entries through which it came.
    pub(crate) hops: u8,
    /// The updates since the position that was asked for.
    pub(crate) updates: Vec<RelayUpdate>,
}

/// Where an entry's copy of a kind came from.
#[derive(Clone, Debug)]
pub(crate) struct Origin {
    /// When the store gave the answer.
    pub(crate) answered_at: Time,
    /// Entries through which the answer came.
    pub(crate) hops: u8,
    /// The relay that sent it, or `None` for the store itself.
    pub(crate) relay: Option<Name>,
}

/// This entry's copy of the objects of one kind.
#[derive(Default)]
struct KindCache {
    /// The objects, each with the position of the answer that contained its last change.
    objects: BTreeMap<String, (Position, StoredObject)>,
    /// The latest removals, each with the position of its answer.
    removals: VecDeque<(Position, String)>,
    /// Position after which no removal is missing from `removals`, in the same era.
    complete_after: Position,
    position: Position,
    /// Where the latest answer of the store came from; `None` before the first.
    origin: Option<Origin>,
}

impl KindCache {
    /// Returns the changes since a position, or all objects without one. An object that
    /// changed several times is contained once.
    fn changes(&self, after: Option<Position>, max_body: usize) -> Vec<RelayedChange> {
        let is_newer = |position: Position| after.is_none_or(|after| position > after);
        let removals = self.removals.iter().filter(|_| after.is_some());
        let removed = removals
            .filter(|(position, name)| is_newer(*position) && !self.objects.contains_key(name));
        let removed = removed.map(|(_, name)| RelayedChange::Removed(name.clone()));
        let puts = self.objects.values();
        let puts = puts.filter(|(position, _)| is_newer(*position));
        let puts = puts.map(|(_, object)| RelayedChange::put(object, max_body));
        removed.chain(puts).collect()
    }
}

/// This entry's copy of the store, for its followers.
#[derive(Default)]
pub(crate) struct Relay {
    kinds: RefCell<HashMap<ObjectKind, KindCache>>,
    changed: Notify,
}

impl Relay {
    /// Replaces the copy of a kind by a complete list.
    pub(crate) fn reset(
        &self,
        kind: ObjectKind,
        objects: &[StoredObject],
        position: Position,
        origin: Origin,
    ) {
        let mut kinds = self.kinds.borrow_mut();
        let cache = kinds.entry(kind).or_default();
        let named = objects.iter();
        cache.objects = named
            .map(|o| (o.name.clone(), (position, o.clone())))
            .collect();
        cache.removals.clear();
        cache.complete_after = position;
        cache.position = position;
        cache.origin = Some(origin);
        self.changed.notify_waiters();
    }

    /// Adds the changes up to a position.
    pub(crate) fn extend(
        &self,
        kind: ObjectKind,
        changes: &[Change],
        position: Position,
        origin: Origin,
    ) {
        let mut kinds = self.kinds.borrow_mut();
        let cache = kinds.entry(kind).or_default();
        let known = cache.origin.as_ref();
        if known.is_none_or(|o| origin.answered_at >= o.answered_at) {
            cache.origin = Some(origin);
        }
        cache.position = cache.position.max(position);
        let position = cache.position;
        for change in changes {
            match change {
                Change::Put(object) => {
                    let kept = (position, object.clone());
                    cache.objects.insert(object.name.clone(), kept);
                }
                Change::Removed(name) => {
                    cache.objects.remove(name);
                    cache.removals.push_back((position, name.clone()));
                }
            }
        }
        while cache.removals.len() > MAX_CACHED_REMOVALS {
            if let Some((position, _)) = cache.removals.pop_front() {
                cache.complete_after = position;
            }
        }
        // Without changes, the new age of the copy still goes to the followers.
        self.changed.notify_waiters();
    }

    /// Returns where the copy of a kind came from, once there is one.
    pub(crate) fn origin(&self, kind: ObjectKind) -> Option<Origin> {
        self.kinds.borrow().get(&kind)?.origin.clone()
    }

    /// Returns when the store gave the last answer for a kind.
    pub(crate) fn answered_at(&self, kind: ObjectKind) -> Option<Time> {
        Some(self.kinds.borrow().get(&kind)?.origin.as_ref()?.answered_at)
    }

    /// Returns what a follower that knows the position `after` has to receive from a copy
    /// that is younger than `max_age`.
    fn lookup(&self, now: Time, query: &RelayQuery, max_body: usize, max_age: Duration) -> Lookup {
        let kinds = self.kinds.borrow();
        let cache = kinds.get(&query.kind);
        let Some((cache, origin)) = cache.and_then(|c| Some((c, c.origin.as_ref()?))) else {
            return Lookup::Stale;
        };
        let age = now.since(origin.answered_at);
        let is_earlier = query.after.is_some_and(|a| a.era > cache.position.era);
        if age >= max_age || is_earlier {
            return Lookup::Stale;
        }
        if query
            .after
            .is_some_and(|after| after < cache.complete_after)
        {
            return Lookup::HistoryGone;
        }
        let changes = cache.changes(query.after, max_body);
        let nothing = changes.is_empty() && query.after.is_some();
        let answer = RelayedChanges {
            era: cache.position.era,
            revision: cache.position.revision,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            hops: origin.hops.saturating_add(1),
            changes,
        };
        match nothing {
            true => Lookup::Unchanged(answer),
            false => Lookup::Changed(answer),
        }
    }

    /// Answers a follower, after a wait while nothing has changed or while the copy is
    /// older than `max_age`. Objects with a larger body than `max_body` are only named.
    pub(crate) async fn answer(
        &self,
        clock: &Clock,
        query: &RelayQuery,
        max_body: usize,
        max_age: Duration,
    ) -> (StatusCode, Bytes) {
        let start = tokio::time::Instant::now();
        let end = start + query.wait;
        let hold_end = end.min(start + STALE_HOLD_TIME);
        let asked_at = self.answered_at(query.kind);
        loop {
            let changed = self.changed.notified();
            let over = tokio::time::Instant::now() >= end;
            let renewed = self.answered_at(query.kind) != asked_at;
            let mut limit = end;
            match self.lookup(clock.now(), query, max_body, max_age) {
                Lookup::Stale if tokio::time::Instant::now() < hold_end => limit = hold_end,
                Lookup::Stale => return (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
                Lookup::HistoryGone => return (StatusCode::GONE, Bytes::new()),
                Lookup::Unchanged(_) if !over && !renewed => {}
                Lookup::Unchanged(answer) | Lookup::Changed(answer) => {
                    let body = serde_json::to_vec(&answer).expect("changes are valid JSON");
                    return (StatusCode::OK, Bytes::from(body));
                }
            }
            // Whether this was a change or the timeout shows in the next lookup.
            let _ = tokio::time::timeout_at(limit, changed).await;
        }
    }
}

/// The result of a lookup in the copy of a kind.
enum Lookup {
    /// The store has not answered this entry for too long, or not since its return from a
    /// copy.
    Stale,
    /// Some of the changes are no longer kept.
    HistoryGone,
    Unchanged(RelayedChanges),
    Changed(RelayedChanges),
}

/// What a follower asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RelayQuery {
    pub(crate) kind: ObjectKind,
    /// Position that it knows, or `None` for all objects.
    pub(crate) after: Option<Position>,
    /// How long the answer may wait for a change.
    pub(crate) wait: Duration,
    /// Short hash of its name.
    pub(crate) follower: u32,
}

impl RelayQuery {
    /// Returns the path and query of the request.
    fn target(&self) -> String {
        let Self { kind, follower, .. } = self;
        let after = self.after.map_or_else(String::new, |a| format!("/{a}"));
        let wait = self.wait.as_millis();
        format!("/relay/{kind}{after}?wait={wait}&by={follower}")
    }

    /// Parses the path and query of a request.
    pub(crate) fn parse(target: &str) -> Option<Self> {
        let (path, query) = target.split_once('?')?;
        let mut parts = path.strip_prefix("/relay/")?.split('/');
        let name = parts.next()?;
        let kind = ObjectKind::FOLLOWED
            .into_iter()
            .find(|k| k.to_string() == name)?;
        let after = parts.next().map(str::parse).transpose().ok()?;
        let value = |name| query.split('&').find_map(|p| p.strip_prefix(name));
        let wait = Duration::from_millis(value("wait=")?.parse().ok()?);
        Some(Self {
            kind,
            after,
            wait: wait.min(LONG_POLL_TIMEOUT_WITH_HUBS),
            follower: value("by=")?.parse().ok()?,
        })
    }
}

/// Why a relay cannot be followed.
#[derive(Debug, derive_more::Display)]
pub(crate) enum RelayError {
    /// No usable answer arrived.
    #[display("no answer: {_0}")]
    NoAnswer(ConnectionError),
    /// It answered with an error status, which is 503 if its copy of the store is stale.
    #[display("refused with {_0}")]
    Refused(StatusCode),
    /// It no longer keeps the changes after the position.
    #[display("history is gone")]
    HistoryGone,
    /// Its answer cannot be decoded.
    #[display("answer not usable: {_0}")]
    Unreadable(serde_json::Error),
}

impl RelayError {
    /// Returns the name of the cause in metrics.
    pub(crate) const fn name(&self) -> &'static str {
        match self {
            Self::NoAnswer(_) => "no_answer",
            Self::Refused(_) => "refused",
            Self::HistoryGone => "history_gone",
            Self::Unreadable(_) => "unreadable",
        }
    }
}

/// Fetches the objects of a kind from a relay, or the changes after a position. The answer
/// must begin within `limit`.
pub(crate) async fn fetch(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    query: &RelayQuery,
    limit: Duration,
) -> Result<Relayed, RelayError> {
    let mut open = match connection.take().filter(Connection::is_usable) {
        Some(open) => open,
        None => Connection::open(address, CONNECT_TIMEOUT, Time::ZERO)
            .await
            .map_err(RelayError::NoAnswer)?,
    };
    let mut request = Request::new(Full::default());
    *request.uri_mut() = query.target().parse().expect("the target is valid");
    request
        .headers_mut()
        .insert(HOST, HeaderValue::from_static("relay"));
    let limit = limit.min(query.wait + ANSWER_MARGIN);
    let fetched = open.fetch_large(request, limit, MAX_ANSWER_BYTES).await;
    let (head, body) = fetched.map_err(RelayError::NoAnswer)?;
    *connection = Some(open);
    match head.status {
        StatusCode::OK => {}
        StatusCode::GONE => return Err(RelayError::HistoryGone),
        other => return Err(RelayError::Refused(other)),
    }
    let answer: RelayedChanges = serde_json::from_slice(&body).map_err(RelayError::Unreadable)?;
    Ok(Relayed {
        position: Position::new(answer.era, answer.revision),
        age: Duration::from_millis(answer.age_ms),
        hops: answer.hops,
        updates: answer.changes.into_iter().map(RelayUpdate::from).collect(),
    })
}

#[cfg(test)]
#[path = "../tests/unit/relay.rs"]
mod tests;
