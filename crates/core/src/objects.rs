//! Shared objects in the platform's object API, and how they only move upwards.

use derive_more::Display;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::allocation::{Allocation, Lease};
use crate::claim::Claim;
use crate::deployment::Manifest;
use crate::ids::{DataCentreName, Incarnation, Revision};
use crate::register::Register;
use crate::service::DataCentreService;
use crate::ticket::TicketSnapshot;

/// Name of a shared object: a kind and a name within it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectKey(String);

impl ObjectKey {
    /// The accepted configuration.
    #[must_use]
    pub fn manifest() -> Self {
        Self("config/manifest".into())
    }

    /// One stored file of a configuration, named by its digest.
    #[must_use]
    pub fn config_file(digest: &str) -> Self {
        Self(format!("part/{digest}"))
    }

    /// Which data centres are out of service.
    #[must_use]
    pub fn service() -> Self {
        Self("service/data-centres".into())
    }

    /// The registered daemons.
    #[must_use]
    pub fn register() -> Self {
        Self("register/daemons".into())
    }

    /// The groups of one data centre.
    #[must_use]
    pub fn allocation(data_centre: &DataCentreName) -> Self {
        Self(format!("allocation/{data_centre}"))
    }

    /// The right to control one data centre.
    #[must_use]
    pub fn lease(data_centre: &DataCentreName) -> Self {
        Self(format!("lease/{data_centre}"))
    }

    /// The owner of one idempotency key.
    #[must_use]
    pub fn claim(key: &str) -> Self {
        Self(format!("claim/{key}"))
    }

    /// What a stopped daemon's tickets did.
    #[must_use]
    pub fn ticket_snapshot(incarnation: Incarnation) -> Self {
        Self(format!("seal/{incarnation}"))
    }

    /// Reads a key that came from another process.
    #[must_use]
    pub fn from_wire(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Returns the key as `kind/name`.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the kind: the part before the slash.
    #[must_use]
    pub fn kind(&self) -> &str {
        self.0.split('/').next().unwrap_or_default()
    }

    /// Whether every daemon keeps a copy of objects of this kind.
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

/// A shared object with the marks that make its writes recognisable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Envelope<T> {
    /// Grows by one with each accepted write. Copies are replaced only by
    /// copies with a higher revision.
    pub revision: Revision,
    /// Random mark of the write, by which a writer whose answer was lost finds
    /// out whether the write took effect.
    pub write_id: u64,
    /// The object itself.
    pub body: T,
}
