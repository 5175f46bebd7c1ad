//! Passes what the store holds on from one entry to the others.
//!
//! Each call to the store is paid for and counts against its rate, so only a few
//! entries list and watch there. The others follow one of these, with the same
//! revisions, and turn to the store by themselves when it falls silent. An entry
//! that the store turns away so still hears of changes. See `docs/SYSTEM.md`.

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

use crate::dialect::{Change, Changes, ObjectKind, StoredObject};
use crate::link::{Link, LinkError};
use crate::node::Node;
use crate::peers;
use crate::state::load_key;
use crate::sync::watch_wait;

/// Changes of one kind that are kept for followers.
const CHANGES_KEPT: usize = 400;
/// Time beyond a watch's wait up to which the store's last answer is recent enough
/// for an entry to be followed.
const FRESH_SLACK: Duration = Duration::from_millis(800);
/// Time that a follower waits for changes.
pub(crate) const WAIT: Duration = Duration::from_millis(500);
/// Time that an answer may take beyond the time that the follower waits.
const SLACK: Duration = Duration::from_millis(350);
/// Time within which a relay accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Bytes of an answer at most.
const ANSWER_BYTES: usize = 8 * 1_024 * 1_024;
/// Bytes of an object up to which it is passed on as a whole.
const BODY_BYTES: usize = 64 * 1_024;
/// Entries that watch the store in a small deployment.
const WATCHERS_LEAST: usize = 2;
/// Entries that follow one watcher at most.
const FOLLOWERS_MOST: usize = 33;

/// A change as entries tell it to each other.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RelayedChange {
    Put {
        name: String,
        revision: u64,
        body: String,
    },
    /// The object has changed and is too large to be passed on to every follower
    /// over one entry's link.
    Changed {
        name: String,
        revision: u64,
    },
    Removed(String),
}

/// What a follower gets.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct RelayedChanges {
    revision: u64,
    changes: Vec<RelayedChange>,
}

impl From<&Change> for RelayedChange {
    fn from(change: &Change) -> Self {
        match change {
            Change::Put(object) if object.body.len() > BODY_BYTES => Self::Changed {
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

/// What a follower learns.
pub(crate) enum News {
    /// A change.
    Change(Change),
    /// The object of this name must be read from the store; it has this revision.
    Read(String, u64),
}

impl From<RelayedChange> for News {
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

/// What a relay answered.
pub(crate) struct Relayed {
    /// Revision up to which it holds.
    pub(crate) revision: u64,
    /// What is new.
    pub(crate) news: Vec<News>,
}

/// What this entry knows of one kind.
#[derive(Default)]
struct Kept {
    objects: BTreeMap<String, StoredObject>,
    changes: VecDeque<(u64, Change)>,
    /// Revision after which every change is kept.
    from: u64,
    revision: u64,
    /// When the store itself answered last.
    heard: Option<Time>,
}

/// What this entry passes on.
#[derive(Default)]
pub(crate) struct Relay {
    kinds: RefCell<HashMap<ObjectKind, Kept>>,
    changed: Notify,
}

impl Relay {
    /// Takes a whole list. `heard` is the time, if the store itself gave it.
    pub(crate) fn reset(
        &self,
        kind: ObjectKind,
        objects: &[StoredObject],
        revision: u64,
        heard: Option<Time>,
    ) {
        let mut kinds = self.kinds.borrow_mut();
        let kept = kinds.entry(kind).or_default();
        let named = objects.iter().map(|o| (o.name.clone(), o.clone()));
        kept.objects = named.collect();
        kept.changes.clear();
        kept.from = revision;
        kept.revision = revision;
        kept.heard = heard;
        self.changed.notify_waiters();
    }

    /// Takes changes up to a revision.
    pub(crate) fn extend(&self, kind: ObjectKind, changes: &Changes, heard: Option<Time>) {
        let mut kinds = self.kinds.borrow_mut();
        let kept = kinds.entry(kind).or_default();
        kept.heard = heard;
        kept.revision = kept.revision.max(changes.revision);
        let revision = kept.revision;
        for change in &changes.changes {
            match change {
                Change::Put(object) => {
                    kept.objects.insert(object.name.clone(), object.clone());
                }
                Change::Removed(name) => {
                    kept.objects.remove(name);
                }
            }
            kept.changes.push_back((revision, change.clone()));
        }
        while kept.changes.len() > CHANGES_KEPT {
            if let Some((revision, _)) = kept.changes.pop_front() {
                kept.from = revision;
            }
        }
        if !changes.changes.is_empty() {
            self.changed.notify_waiters();
        }
    }

    fn look(&self, now: Time, kind: ObjectKind, after: Option<u64>) -> Look {
        let kinds = self.kinds.borrow();
        let limit = watch_wait(kind) + FRESH_SLACK;
        let fresh = |k: &&Kept| k.heard.is_some_and(|t| now.since(t) < limit);
        let Some(kept) = kinds.get(&kind).filter(fresh) else {
            return Look::Unknown;
        };
        let changes: Vec<RelayedChange> = match after {
            None => {
                let puts = kept.objects.values().cloned().map(Change::Put);
                puts.map(|c| RelayedChange::from(&c)).collect()
            }
            Some(after) if after < kept.from => return Look::Gone,
            Some(after) => {
                let newer = kept
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
            revision: kept.revision,
            changes,
        };
        if nothing {
            Look::Nothing(answer)
        } else {
            Look::Found(answer)
        }
    }

    /// Answers a follower, after a wait if there is nothing new.
    pub(crate) async fn answer(&self, node: &Node, path: &str) -> (StatusCode, Bytes) {
        let Some((kind, after)) = parse_path(path) else {
            return (StatusCode::NOT_FOUND, Bytes::new());
        };
        let end = tokio::time::Instant::now() + WAIT;
        loop {
            let changed = self.changed.notified();
            let over = tokio::time::Instant::now() >= end;
            match self.look(node.now(), kind, after) {
                Look::Unknown => return (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
                Look::Gone => return (StatusCode::GONE, Bytes::new()),
                Look::Nothing(_) if !over => {}
                Look::Nothing(answer) | Look::Found(answer) => {
                    let body = serde_json::to_vec(&answer).expect("changes are valid JSON");
                    return (StatusCode::OK, Bytes::from(body));
                }
            }
            // What changes meanwhile is found by the next look.
            let _ = tokio::time::timeout_at(end, changed).await;
        }
    }
}

enum Look {
    /// The store hasn't answered this entry for too long.
    Unknown,
    /// Some of the changes aren't kept any more.
    Gone,
    Nothing(RelayedChanges),
    Found(RelayedChanges),
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

/// Why a relay can't be followed.
#[derive(Debug, derive_more::Display)]
pub(crate) enum RelayError {
    /// No usable answer came.
    #[display("no answer: {_0}")]
    NoAnswer(LinkError),
    /// It doesn't know what the store holds.
    #[display("refused with {_0}")]
    Refused(StatusCode),
    /// It doesn't know the changes since the revision.
    #[display("history is gone")]
    HistoryGone,
    /// Its answer can't be read.
    #[display("answer not usable: {_0}")]
    Unreadable(serde_json::Error),
}

/// Asks a relay for its objects, or for the changes after a revision.
pub(crate) async fn fetch(
    link: &mut Option<Link>,
    address: SocketAddr,
    kind: ObjectKind,
    after: Option<u64>,
) -> Result<Relayed, RelayError> {
    let mut open = match link.take().filter(Link::is_usable) {
        Some(open) => open,
        None => Link::open(address, CONNECT_TIMEOUT, Time::ZERO)
            .await
            .map_err(RelayError::NoAnswer)?,
    };
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path(kind, after).parse().expect("the path is valid");
    request
        .headers_mut()
        .insert(HOST, HeaderValue::from_static("relay"));
    let fetched = open.fetch(request, WAIT + SLACK, ANSWER_BYTES).await;
    let (status, body) = fetched.map_err(RelayError::NoAnswer)?;
    *link = Some(open);
    match status {
        StatusCode::OK => {}
        StatusCode::GONE => return Err(RelayError::HistoryGone),
        other => return Err(RelayError::Refused(other)),
    }
    let answer: RelayedChanges = serde_json::from_slice(&body).map_err(RelayError::Unreadable)?;
    Ok(Relayed {
        revision: answer.revision,
        news: answer.changes.into_iter().map(News::from).collect(),
    })
}

/// Returns the entry that this one should follow, or `None` if it should watch the
/// store itself. `avoid` names relays that failed a moment ago.
pub(crate) fn choose(node: &Node, avoid: &[(Name, Time)]) -> Option<Name> {
    let now = node.now();
    let state = node.state.borrow();
    let own = &node.settings.node;
    let in_touch = state
        .peers
        .live(now)
        .filter(|p| p.update.synced && p.update.ready);
    let mut entries: Vec<(u32, Name)> = in_touch
        .map(|p| (p.update.cpu_milli, p.update.node.clone()))
        .collect();
    if entries.is_empty() || state.in_touch(now, peers::STORE_TOUCH) {
        entries.push((node.settings.cpu_milli, own.clone()));
    }
    // Those with the most processor time, which have the fastest links too.
    entries.sort_by_key(|(cpu, name)| (Reverse(*cpu), load_key(name)));
    let mut entries: Vec<Name> = entries.into_iter().map(|(_, name)| name).collect();
    let watchers = WATCHERS_LEAST.max(entries.len().div_ceil(FOLLOWERS_MOST));
    entries.truncate(watchers);
    if entries.contains(own) {
        return None;
    }
    let start = load_key(own) as usize % entries.len();
    let mut turns = entries.iter().cycle().skip(start).take(entries.len());
    turns
        .find(|name| avoid.iter().all(|(a, _)| a != *name))
        .cloned()
}
