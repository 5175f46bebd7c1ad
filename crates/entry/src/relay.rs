//! Relays the content of the store from one entry to the others.
//!
//! Calls to the store cost money and count against its rate limit, so only a few entries
//! list and watch it. The others follow one of these, with the store's revisions, and go
//! to the store themselves if their relay stops answering. An entry whose calls the store
//! refuses also receives changes in this way. See `docs/SYSTEM.md`.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::Name;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::connection::{Connection, ConnectionError};
use crate::dialect::{Change, Changes, ObjectKind, StoredObject};
use crate::node::Node;
use crate::peers;
use crate::state::short_hash;
use crate::sync::watch_wait;

/// Changes of one kind that are kept for followers at most.
const MAX_CACHED_CHANGES: usize = 400;
/// Time beyond the wait of a watch after which the store's last answer is too old for
/// this entry to be followed.
const FRESHNESS_MARGIN: Duration = Duration::from_millis(800);
/// Time that a relay holds a follower's request open while nothing has changed.
pub(crate) const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time beyond [`LONG_POLL_TIMEOUT`] within which the answer must arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(350);
/// Time within which a relay accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 8 * 1_024 * 1_024;
/// Largest body of an object that is relayed; larger ones are read from the store.
const MAX_RELAYED_BODY_BYTES: usize = 64 * 1_024;
/// Minimum number of entries that watch the store.
const MIN_WATCHERS: usize = 2;
/// Maximum number of entries that follow one watcher.
const MAX_FOLLOWERS: usize = 33;

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
    revision: u64,
    changes: Vec<RelayedChange>,
}

impl From<&Change> for RelayedChange {
    fn from(change: &Change) -> Self {
        match change {
            Change::Put(object) if object.body.len() > MAX_RELAYED_BODY_BYTES => Self::Changed {
                name: object.name.clone(),
                revision: object.revision,
            },
            Change::Put(object) => Self::Put {
                name: object.name.clone(),
                revision: object.revision,
                body: String::from_utf8_lossy(&object.body).into_owned(),
            },
            Change::Removed(name) => Self::Removed(name.clone()),
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
    /// Revision up to which it is complete.
    pub(crate) revision: u64,
    /// The updates since the revision that was asked for.
    pub(crate) updates: Vec<RelayUpdate>,
}

/// This entry's copy of the objects of one kind.
#[derive(Default)]
struct KindCache {
    objects: BTreeMap<String, StoredObject>,
    /// The latest changes, each with the revision of the answer that contained it.
    changes: VecDeque<(u64, Change)>,
    /// Revision after which no change is missing from `changes`.
    complete_after: u64,
    revision: u64,
    /// When the store itself last answered. `None` if the last update came from a relay,
    /// so that no entry follows another follower.
    answered_at: Option<Time>,
}

/// This entry's copy of the store, for its followers.
#[derive(Default)]
pub(crate) struct Relay {
    kinds: RefCell<HashMap<ObjectKind, KindCache>>,
    changed: Notify,
}

impl Relay {
    /// Replaces the copy of a kind by a complete list. `answered_at` is the time of the
    /// answer if the store itself gave it.
    pub(crate) fn reset(
        &self,
        kind: ObjectKind,
        objects: &[StoredObject],
        revision: u64,
        answered_at: Option<Time>,
    ) {
        let mut kinds = self.kinds.borrow_mut();
        let cache = kinds.entry(kind).or_default();
        let named = objects.iter().map(|o| (o.name.clone(), o.clone()));
        cache.objects = named.collect();
        cache.changes.clear();
        cache.complete_after = revision;
        cache.revision = revision;
        cache.answered_at = answered_at;
        self.changed.notify_waiters();
    }

    /// Adds the changes up to a revision. `answered_at` is as in [`Self::reset`].
    pub(crate) fn extend(&self, kind: ObjectKind, changes: &Changes, answered_at: Option<Time>) {
        let mut kinds = self.kinds.borrow_mut();
        let cache = kinds.entry(kind).or_default();
        cache.answered_at = answered_at;
        cache.revision = cache.revision.max(changes.revision);
        let revision = cache.revision;
        for change in &changes.changes {
            match change {
                Change::Put(object) => {
                    cache.objects.insert(object.name.clone(), object.clone());
                }
                Change::Removed(name) => {
                    cache.objects.remove(name);
                }
            }
            cache.changes.push_back((revision, change.clone()));
        }
        while cache.changes.len() > MAX_CACHED_CHANGES {
            if let Some((revision, _)) = cache.changes.pop_front() {
                cache.complete_after = revision;
            }
        }
        if !changes.changes.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// Returns what a follower that knows the revision `after` has to receive.
    fn lookup(&self, now: Time, kind: ObjectKind, after: Option<u64>) -> Lookup {
        let kinds = self.kinds.borrow();
        let limit = watch_wait(kind) + FRESHNESS_MARGIN;
        let fresh = |k: &&KindCache| k.answered_at.is_some_and(|t| now.since(t) < limit);
        let Some(cache) = kinds.get(&kind).filter(fresh) else {
            return Lookup::Stale;
        };
        let changes: Vec<RelayedChange> = match after {
            None => {
                let puts = cache.objects.values().cloned().map(Change::Put);
                puts.map(|c| RelayedChange::from(&c)).collect()
            }
            Some(after) if after < cache.complete_after => return Lookup::HistoryGone,
            Some(after) => {
                let newer = cache
                    .changes
                    .iter()
                    .filter(|(revision, _)| *revision > after);
                newer
                    .map(|(_, change)| RelayedChange::from(change))
                    .collect()
            }
        };
        let nothing = changes.is_empty() && after.is_some();
        let answer = RelayedChanges {
            revision: cache.revision,
            changes,
        };
        if nothing {
            Lookup::Unchanged(answer)
        } else {
            Lookup::Changed(answer)
        }
    }

    /// Answers a follower, after a wait while nothing has changed.
    pub(crate) async fn answer(&self, node: &Node, path: &str) -> (StatusCode, Bytes) {
        let Some((kind, after)) = parse_path(path) else {
            return (StatusCode::NOT_FOUND, Bytes::new());
        };
        let end = tokio::time::Instant::now() + LONG_POLL_TIMEOUT;
        loop {
            let changed = self.changed.notified();
            let over = tokio::time::Instant::now() >= end;
            match self.lookup(node.now(), kind, after) {
                Lookup::Stale => return (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
                Lookup::HistoryGone => return (StatusCode::GONE, Bytes::new()),
                Lookup::Unchanged(_) if !over => {}
                Lookup::Unchanged(answer) | Lookup::Changed(answer) => {
                    let body = serde_json::to_vec(&answer).expect("changes are valid JSON");
                    return (StatusCode::OK, Bytes::from(body));
                }
            }
            // Whether this was a change or the timeout shows in the next lookup.
            let _ = tokio::time::timeout_at(end, changed).await;
        }
    }
}

/// The result of a lookup in the copy of a kind.
enum Lookup {
    /// The store has not answered this entry for too long.
    Stale,
    /// Some of the changes are no longer kept.
    HistoryGone,
    Unchanged(RelayedChanges),
    Changed(RelayedChanges),
}

fn path(kind: ObjectKind, after: Option<u64>) -> String {
    match after {
        None => format!("/relay/{kind}"),
        Some(after) => format!("/relay/{kind}/{after}"),
    }
}

fn parse_path(path: &str) -> Option<(ObjectKind, Option<u64>)> {
    let mut parts = path.strip_prefix("/relay/")?.split('/');
    let name = parts.next()?;
    let kind = ObjectKind::FOLLOWED
        .into_iter()
        .find(|k| k.to_string() == name)?;
    let after = parts.next().map(str::parse).transpose().ok()?;
    Some((kind, after))
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
    /// It no longer keeps the changes after the revision.
    #[display("history is gone")]
    HistoryGone,
    /// Its answer cannot be decoded.
    #[display("answer not usable: {_0}")]
    Unreadable(serde_json::Error),
}

/// Fetches the objects of a kind from a relay, or the changes after a revision.
pub(crate) async fn fetch(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    kind: ObjectKind,
    after: Option<u64>,
) -> Result<Relayed, RelayError> {
    let mut open = match connection.take().filter(Connection::is_usable) {
        Some(open) => open,
        None => Connection::open(address, CONNECT_TIMEOUT, Time::ZERO)
            .await
            .map_err(RelayError::NoAnswer)?,
    };
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path(kind, after).parse().expect("the path is valid");
    request
        .headers_mut()
        .insert(HOST, HeaderValue::from_static("relay"));
    let fetched = open
        .fetch(request, LONG_POLL_TIMEOUT + ANSWER_MARGIN, MAX_ANSWER_BYTES)
        .await;
    let (status, body) = fetched.map_err(RelayError::NoAnswer)?;
    *connection = Some(open);
    match status {
        StatusCode::OK => {}
        StatusCode::GONE => return Err(RelayError::HistoryGone),
        other => return Err(RelayError::Refused(other)),
    }
    let answer: RelayedChanges = serde_json::from_slice(&body).map_err(RelayError::Unreadable)?;
    Ok(Relayed {
        revision: answer.revision,
        updates: answer.changes.into_iter().map(RelayUpdate::from).collect(),
    })
}

/// Returns the entry that this one should follow, or `None` if it should watch the
/// store itself. Relays in `avoid` are not considered.
pub(crate) fn choose_relay(node: &Node, avoid: &[(Name, Time)]) -> Option<Name> {
    let now = node.now();
    let state = node.state.borrow();
    let own = &node.settings.node;
    let candidates = state
        .peers
        .live(now)
        .filter(|p| p.update.synced && p.update.ready);
    let mut entries: Vec<(u32, Name)> = candidates
        .map(|p| (p.update.cpu_milli, p.update.node.clone()))
        .collect();
    if entries.is_empty() || state.has_store_contact(now, peers::MAX_STORE_AGE) {
        entries.push((node.settings.cpu_milli, own.clone()));
    }
    // Entries with the most processor time come first; they have the fastest network
    // links, too.
    entries.sort_by_key(|(cpu, name)| (Reverse(*cpu), short_hash(name)));
    let mut entries: Vec<Name> = entries.into_iter().map(|(_, name)| name).collect();
    let watchers = MIN_WATCHERS.max(entries.len().div_ceil(MAX_FOLLOWERS));
    entries.truncate(watchers);
    if entries.contains(own) {
        return None;
    }
    let start = short_hash(own) as usize % entries.len();
    let mut turns = entries.iter().cycle().skip(start).take(entries.len());
    turns
        .find(|name| avoid.iter().all(|(a, _)| a != *name))
        .cloned()
}
