//! Typed objects with conditional updates.

use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{Envelope, ObjectKey, Revision, SharedBody};
use derive_more::{Display, Error, From};
use rand::RngExt as _;

use crate::api::{Expected, PlatformApi, PlatformError, RawObject, Version};

/// Maximum number of attempts of an update that meets conflicts.
const MAX_UPDATE_ATTEMPTS: u32 = 8;
/// Maximum number of reads by which a write with a lost answer is resolved.
const MAX_READ_BACKS: u32 = 4;
/// Delay before each of these reads.
const READ_BACK_DELAY: Duration = Duration::from_millis(250);

/// Error of a read or an update.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum StoreError {
    /// The call to the platform failed and nothing was written.
    #[display("{_0}")]
    Platform(PlatformError),
    /// It could not be determined whether the write took effect.
    #[display("it is not known whether the write took effect")]
    Unknown,
    /// The stored object does not have the form of its kind.
    #[display("stored object {key} is malformed: {cause}")]
    #[from(skip)]
    Malformed {
        /// Key of the object.
        key: ObjectKey,
        /// Error of the parser.
        #[error(not(source))]
        cause: String,
    },
}

/// A stored object with its version, for the precondition of the next update.
#[derive(Clone, Debug)]
pub struct Stored<T> {
    /// The object and its metadata.
    pub envelope: Envelope<T>,
    /// Version that the platform assigned.
    pub version: Version,
}

impl<T: SharedBody> Stored<T> {
    /// Parses a raw object.
    pub fn parse(raw: &RawObject) -> Result<Self, StoreError> {
        let malformed = |e: serde_json::Error| StoreError::Malformed {
            key: raw.key.clone(),
            cause: e.to_string(),
        };
        let envelope = serde_json::from_str(raw.value.get()).map_err(malformed)?;
        Ok(Self {
            envelope,
            version: raw.version.clone(),
        })
    }
}

/// Typed access to the platform's object API.
#[derive(Clone)]
pub struct Store {
    api: Arc<dyn PlatformApi>,
}

impl Store {
    /// Creates typed access through a dialect.
    #[must_use]
    pub fn new(api: Arc<dyn PlatformApi>) -> Self {
        Self { api }
    }

    /// Returns the dialect.
    #[must_use]
    pub fn api(&self) -> &dyn PlatformApi {
        &*self.api
    }

    /// Reads an object.
    pub async fn read<T: SharedBody>(
        &self,
        key: &ObjectKey,
    ) -> Result<Option<Stored<T>>, StoreError> {
        let raw = self.api.get(key).await?;
        raw.as_ref().map(Stored::parse).transpose()
    }

    /// Replaces the object that was `read`, or creates it if there was none.
    ///
    /// Fails with [`PlatformError::Conflict`] if the object has changed since it
    /// was read. If the answer is lost, the object is read back to determine
    /// whether the write took effect.
    pub async fn replace<T: SharedBody>(
        &self,
        key: &ObjectKey,
        read: Option<&Stored<T>>,
        body: T,
    ) -> Result<Stored<T>, StoreError> {
        let (expected, revision) = match read {
            None => (Expected::Absent, Revision::new(1)),
            Some(s) => (Expected::At(s.version.clone()), s.envelope.revision.next()),
        };
        let write_id = rand::rng().random();
        let envelope = Envelope {
            revision,
            write_id,
            body,
        };
        let value = serde_json::to_string(&envelope).map_err(|e| StoreError::Malformed {
            key: key.clone(),
            cause: e.to_string(),
        })?;
        match self.api.put(key, &expected, value).await {
            Ok(version) => Ok(Stored { envelope, version }),
            Err(PlatformError::Unavailable { .. }) => {
                self.resolve_lost_answer(key, &expected, envelope).await
            }
            Err(e) => Err(e.into()),
        }
    }

    /// Determines whether a write took effect whose answer was lost.
    async fn resolve_lost_answer<T: SharedBody>(
        &self,
        key: &ObjectKey,
        expected: &Expected,
        written: Envelope<T>,
    ) -> Result<Stored<T>, StoreError> {
        for _ in 0..MAX_READ_BACKS {
            tokio::time::sleep(READ_BACK_DELAY).await;
            let Ok(found) = self.read::<T>(key).await else {
                continue;
            };
            let Some(found) = found else { continue };
            if found.envelope.write_id == written.write_id {
                return Ok(found);
            }
            let unchanged = *expected == Expected::At(found.version.clone());
            if !unchanged && found.envelope.revision == written.revision {
                return Err(PlatformError::Conflict.into());
            }
            if !unchanged {
                return Err(StoreError::Unknown);
            }
        }
        Err(StoreError::Unknown)
    }

    /// Changes an object, reading it again after each conflict.
    ///
    /// `change` returns the new body, or `None` to leave the object unchanged.
    pub async fn update<T: SharedBody>(
        &self,
        key: &ObjectKey,
        mut change: impl FnMut(Option<&T>) -> Option<T>,
    ) -> Result<Option<Stored<T>>, StoreError> {
        for _ in 0..MAX_UPDATE_ATTEMPTS {
            let read = self.read::<T>(key).await?;
            let Some(body) = change(read.as_ref().map(|s| &s.envelope.body)) else {
                return Ok(read);
            };
            match self.replace(key, read.as_ref(), body).await {
                Err(StoreError::Platform(PlatformError::Conflict)) => {
                    let jitter_ms = rand::rng().random_range(1..50);
                    tokio::time::sleep(Duration::from_millis(jitter_ms)).await;
                }
                done => return done.map(Some),
            }
        }
        Err(PlatformError::Conflict.into())
    }
}
