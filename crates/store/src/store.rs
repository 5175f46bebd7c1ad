//! Typed objects with conditional updates.

use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{Envelope, ObjectKey, Revision, SharedBody};
use derive_more::{Display, Error, From};
use rand::RngExt as _;

use crate::api::{Expected, PlatformApi, PlatformError, RawObject, Version};

/// Times that an update is tried again after a conflict.
const CONFLICT_RETRIES: u32 = 8;
/// Times that a lost answer is read back.
const READ_BACK_TRIES: u32 = 4;
/// Wait before a lost answer is read back again.
const READ_BACK_PAUSE: Duration = Duration::from_millis(250);

/// Why an update failed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum StoreError {
    /// Nothing was written.
    #[display("{_0}")]
    Platform(PlatformError),
    /// It cannot be found out whether the write took effect.
    #[display("it is not known whether the write took effect")]
    Unknown,
    /// The stored object is not what its kind should be.
    #[display("stored object {key} is malformed: {cause}")]
    #[from(skip)]
    Malformed {
        /// Name of the object.
        key: ObjectKey,
        /// What is wrong with it.
        #[error(not(source))]
        cause: String,
    },
}

/// An object with the version to expect in the next update.
#[derive(Clone, Debug)]
pub struct Stored<T> {
    /// The object and its marks.
    pub envelope: Envelope<T>,
    /// The platform's version.
    pub version: Version,
}

impl<T: SharedBody> Stored<T> {
    /// Reads a raw object.
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
    /// Typed access through a dialect.
    #[must_use]
    pub fn new(api: Arc<dyn PlatformApi>) -> Self {
        Self { api }
    }

    /// Returns the dialect.
    #[must_use]
    pub fn api(&self) -> &dyn PlatformApi {
        &*self.api
    }

    /// Reads one object.
    pub async fn read<T: SharedBody>(
        &self,
        key: &ObjectKey,
    ) -> Result<Option<Stored<T>>, StoreError> {
        let raw = self.api.get(key).await?;
        raw.as_ref().map(Stored::parse).transpose()
    }

    /// Writes `body` over what was read, or creates the object.
    ///
    /// Fails with [`PlatformError::Conflict`] if the object has changed since.
    /// A lost answer is settled by reading back.
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
            Err(PlatformError::Unavailable { .. }) => self.settle(key, &expected, envelope).await,
            Err(e) => Err(e.into()),
        }
    }

    /// Finds out whether a write whose answer was lost took effect.
    async fn settle<T: SharedBody>(
        &self,
        key: &ObjectKey,
        expected: &Expected,
        written: Envelope<T>,
    ) -> Result<Stored<T>, StoreError> {
        for _ in 0..READ_BACK_TRIES {
            tokio::time::sleep(READ_BACK_PAUSE).await;
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
    /// `change` returns the new body, or `None` to leave the object as it is.
    pub async fn update<T: SharedBody>(
        &self,
        key: &ObjectKey,
        mut change: impl FnMut(Option<&T>) -> Option<T>,
    ) -> Result<Option<Stored<T>>, StoreError> {
        for _ in 0..CONFLICT_RETRIES {
            let read = self.read::<T>(key).await?;
            let Some(body) = change(read.as_ref().map(|s| &s.envelope.body)) else {
                return Ok(read);
            };
            match self.replace(key, read.as_ref(), body).await {
                Err(StoreError::Platform(PlatformError::Conflict)) => {
                    let pause = rand::rng().random_range(1..50);
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
                done => return done.map(Some),
            }
        }
        Err(PlatformError::Conflict.into())
    }
}
