//! Shared objects in the platform's object API: their keys and their envelope
//! with the revision.

use derive_more::Display;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::allocation::{Allocation, Lease};
use crate::claim::Claim;
use crate::deployment::Manifest;
use crate::ids::{DataCentreName, Incarnation, Revision};
use crate::register::Register;
use crate::service::DataCentreService;
use crate::ticket::TicketSnapshot;

/// Key of a shared object: its kind and a name within the kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectKey(String);

impl ObjectKey {
    /// Key of the accepted configuration's [`Manifest`].
    #[must_use]
    pub fn manifest() -> Self {
        Self("config/manifest".into())
    }

    /// Key of a file of a configuration, which is named by its digest.
    #[must_use]
    pub fn config_file(digest: &str) -> Self {
        Self(format!("part/{digest}"))
    }

    /// Key of the list of data centres that are out of service.
    #[must_use]
    pub fn service() -> Self {
        Self("service/data-centres".into())
    }

    /// Key of the register of daemons.
    #[must_use]
    pub fn register() -> Self {
        Self("register/daemons".into())
    }

    /// Key of the allocation of a data centre.
    #[must_use]
    pub fn allocation(data_centre: &DataCentreName) -> Self {
        Self(format!("allocation/{data_centre}"))
    }

    /// Key of the controller lease of a data centre.
    #[must_use]
    pub fn lease(data_centre: &DataCentreName) -> Self {
        Self(format!("lease/{data_centre}"))
    }

    /// Key of the claim of an idempotency key, given by
    /// [`claim_key`](crate::claim_key).
    #[must_use]
    pub fn claim(key: &str) -> Self {
        Self(format!("claim/{key}"))
    }

    /// Key of the ticket snapshot of a stopped daemon.
    #[must_use]
    pub fn ticket_snapshot(incarnation: Incarnation) -> Self {
        Self(format!("seal/{incarnation}"))
    }

    /// Creates a key from text that another process sent.
    #[must_use]
    pub fn from_wire(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Returns the key as `kind/name`.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the kind, which is the part before the slash.
    #[must_use]
    pub fn kind(&self) -> &str {
        self.0.split('/').next().unwrap_or_default()
    }

    /// Returns whether every daemon caches objects of this kind.
    #[must_use]
    pub fn is_replicated(&self) -> bool {
        matches!(
            self.kind(),
            "config" | "service" | "register" | "allocation"
        )
    }
}

/// A type that is stored as a shared object.
pub trait SharedBody: Serialize + DeserializeOwned + Clone + Send + Sync + 'static {}

impl SharedBody for Manifest {}
impl SharedBody for DataCentreService {}
impl SharedBody for Register {}
impl SharedBody for Allocation {}
impl SharedBody for Lease {}
impl SharedBody for Claim {}
impl SharedBody for TicketSnapshot {}
impl SharedBody for String {}

/// A shared object with the metadata that identifies its writes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Envelope<T> {
    /// Revision of the object, which grows by one with each accepted write.
    /// Copies are replaced only by copies with a higher revision.
    pub revision: Revision,
    /// Random identifier of the write, by which a writer that lost the answer
    /// finds out whether its write took effect.
    pub write_id: u64,
    /// The object.
    pub body: T,
}
