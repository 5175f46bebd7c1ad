//! Objects, change log and injected faults of the platform stand-in.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bulrushhoist_core::{ObjectKey, VmRecord};
use bulrushhoist_store::{Cursor, Listing, RawObject, Version};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::sync::Notify;

/// Number of changes kept for watches; a watch from an older cursor fails.
const MAX_KEPT_CHANGES: usize = 10_000;
/// Maximum size of an object's value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Faults that the platform stand-in injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct PlatformFaults {
    /// Every call fails with status 503 and has no effect.
    pub down: bool,
    /// Delay added to every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes that take effect but whose answers are lost.
    pub lose_answers: u32,
    /// Lag of the VM list, in milliseconds.
    pub list_lag_ms: u64,
    /// Every watch fails because its cursor is too old.
    pub watch_gap: bool,
}

#[derive(Debug, PartialEq, Eq)]
pub(super) enum PutError {
    Conflict,
    Malformed,
    TooLarge,
}

#[derive(Default)]
struct Objects {
    sequence: u64,
    /// Version and value of each object, by key.
    objects: BTreeMap<String, (u64, Box<RawValue>)>,
    /// Sequence number and key of each kept change, oldest first.
    changes: VecDeque<(u64, String)>,
}

impl Objects {
    fn get_raw(&self, key: &str) -> Option<RawObject> {
        let (version, value) = self.objects.get(key)?;
        Some(RawObject {
            key: ObjectKey::from_wire(key),
            version: Version(version.to_string()),
            value: value.clone(),
        })
    }

    fn cursor(&self) -> Cursor {
        Cursor(self.sequence.to_string())
    }
}

#[derive(Default)]
pub(super) struct State {
    objects: Mutex<Objects>,
    /// VM lists with the times at which they were set, oldest first.
    vms: Mutex<Vec<(Instant, Vec<VmRecord>)>>,
    faults: Mutex<PlatformFaults>,
    calls: AtomicU64,
    writes: AtomicU64,
    changed: Notify,
}

impl State {
    pub(super) fn set_vms(&self, vms: Vec<VmRecord>) {
        let mut history = lock(&self.vms);
        history.push((Instant::now(), vms));
        let excess = history.len().saturating_sub(1_000);
        history.drain(..excess);
    }

    pub(super) fn vms(&self) -> Vec<VmRecord> {
        let lag = Duration::from_millis(self.faults().list_lag_ms);
        let history = lock(&self.vms);
        let shown = history.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        shown
            .or(history.first())
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default()
    }

    pub(super) fn set_faults(&self, faults: PlatformFaults) {
        *lock(&self.faults) = faults;
        self.changed.notify_waiters();
    }

    pub(super) fn faults(&self) -> PlatformFaults {
        *lock(&self.faults)
    }

    pub(super) fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    pub(super) fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    pub(super) fn count_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns whether the answer to this write must be lost, and counts it.
    pub(super) fn take_lost_answer(&self) -> bool {
        let mut faults = lock(&self.faults);
        let lose = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        lose
    }

    pub(super) fn get(&self, key: &str) -> Option<RawObject> {
        lock(&self.objects).get_raw(key)
    }

    pub(super) fn put(
        &self,
        key: &str,
        expected: Option<&str>,
        value: &[u8],
    ) -> Result<Version, PutError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(PutError::TooLarge);
        }
        let value: Box<RawValue> =
            serde_json::from_slice(value).map_err(|_| PutError::Malformed)?;
        let mut objects = lock(&self.objects);
        let current_version = objects
            .objects
            .get(key)
            .map(|(version, _)| version.to_string());
        if current_version.as_deref() != expected {
            return Err(PutError::Conflict);
        }
        objects.sequence += 1;
        let version = objects.sequence;
        objects.objects.insert(key.to_owned(), (version, value));
        objects.changes.push_back((version, key.to_owned()));
        if objects.changes.len() > MAX_KEPT_CHANGES {
            objects.changes.pop_front();
        }
        drop(objects);
        self.writes.fetch_add(1, Ordering::Relaxed);
        self.changed.notify_waiters();
        Ok(Version(version.to_string()))
    }

    pub(super) fn list(&self, kinds: &[&str]) -> Listing {
        let objects = lock(&self.objects);
        let matching = objects.objects.keys().filter(|k| is_of_kind(k, kinds));
        Listing {
            cursor: objects.cursor(),
            objects: matching.filter_map(|k| objects.get_raw(k)).collect(),
        }
    }

    /// Returns the objects that changed after a sequence number, or `None` if
    /// some of these changes are no longer kept.
    fn changes(&self, kinds: &[&str], after: u64) -> Option<Listing> {
        let objects = lock(&self.objects);
        let oldest = objects
            .changes
            .front()
            .map_or(objects.sequence + 1, |(s, _)| *s);
        if after + 1 < oldest || after > objects.sequence {
            return None;
        }
        let mut keys: Vec<&String> = objects
            .changes
            .iter()
            .filter(|(s, k)| *s > after && is_of_kind(k, kinds))
            .map(|(_, k)| k)
            .collect();
        keys.sort_unstable();
        keys.dedup();
        Some(Listing {
            cursor: objects.cursor(),
            objects: keys
                .into_iter()
                .filter_map(|k| objects.get_raw(k))
                .collect(),
        })
    }

    pub(super) async fn watch(
        &self,
        kinds: &[&str],
        after: u64,
        wait: Duration,
    ) -> Option<Listing> {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if self.faults().watch_gap {
                return None;
            }
            let listing = self.changes(kinds, after)?;
            if !listing.objects.is_empty() {
                return Some(listing);
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return self.changes(kinds, after);
            }
        }
    }
}

fn is_of_kind(key: &str, kinds: &[&str]) -> bool {
    let kind = key.split('/').next().unwrap_or_default();
    kinds.contains(&kind)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no thread panics while it holds the lock")
}
