//! Cache of a daemon's copies of the shared objects.
//!
//! Invariant: a copy is replaced only by one with a higher revision, whether
//! it comes from the platform, from a delayed read of the platform, or from a
//! peer. An accepted configuration therefore never reverts at a daemon.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;

use crate::ids::Revision;
use crate::objects::{Envelope, ObjectKey, SharedBody};

/// Copy of a shared object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedObject {
    /// Revision of the copy.
    pub revision: Revision,
    /// The object in its [`Envelope`], as JSON.
    pub json: Arc<str>,
}

/// Copies of shared objects by key.
#[derive(Clone, Debug, Default)]
pub struct ObjectCache {
    objects: BTreeMap<ObjectKey, CachedObject>,
}

#[derive(Deserialize)]
struct RevisionOnly {
    revision: Revision,
}

impl ObjectCache {
    /// Stores a copy if it is newer than the present one; returns whether it
    /// was.
    pub fn insert_newer(&mut self, key: &ObjectKey, json: &str) -> bool {
        let Ok(RevisionOnly { revision }) = serde_json::from_str(json) else {
            return false;
        };
        if self.revision(key) >= Some(revision) {
            return false;
        }
        self.objects.insert(
            key.clone(),
            CachedObject {
                revision,
                json: json.into(),
            },
        );
        true
    }

    /// Removes the copies for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&ObjectKey) -> bool) {
        self.objects.retain(|key, _| keep(key));
    }

    /// Returns the revision of a copy.
    #[must_use]
    pub fn revision(&self, key: &ObjectKey) -> Option<Revision> {
        self.objects.get(key).map(|o| o.revision)
    }

    /// Returns a copy.
    #[must_use]
    pub fn get(&self, key: &ObjectKey) -> Option<&CachedObject> {
        self.objects.get(key)
    }

    /// Parses a copy; a malformed one counts as absent.
    #[must_use]
    pub fn read<T: SharedBody>(&self, key: &ObjectKey) -> Option<Envelope<T>> {
        serde_json::from_str(&self.objects.get(key)?.json).ok()
    }

    /// Returns the keys and revisions of the objects that every daemon caches.
    pub fn digests(&self) -> impl Iterator<Item = (&ObjectKey, Revision)> {
        self.objects
            .iter()
            .filter(|(k, _)| k.is_replicated())
            .map(|(k, o)| (k, o.revision))
    }

    /// Returns whether the cache holds every announced object with at least the
    /// announced revision.
    #[must_use]
    pub fn covers<'a>(&self, announced: impl IntoIterator<Item = (&'a str, u64)>) -> bool {
        announced.into_iter().all(|(key, revision)| {
            let key = ObjectKey::from_wire(key);
            self.revision(&key) >= Some(Revision::new(revision))
        })
    }
}
