//! Interface to the platform's object API and VM list.

use std::time::Duration;

use bulrushhoist_core::{ObjectKey, VmRecord};
use derive_more::{Display, Error, From};
use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Opaque version of an object, which the platform assigns with each write.
#[derive(Clone, Debug, PartialEq, Eq, Display, From, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub String);

/// Opaque position in the platform's sequence of changes.
#[derive(Clone, Debug, PartialEq, Eq, Display, From, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Cursor(pub String);

/// Precondition of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expected {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    At(Version),
}

/// An object as the platform returns it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RawObject {
    /// Key of the object.
    pub key: ObjectKey,
    /// Version of the object, for the precondition of the next update.
    pub version: Version,
    /// Value of the object as JSON.
    pub value: Box<RawValue>,
}

/// Objects, and the position in the sequence of changes that they reflect.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Listing {
    /// Position after which the next watch continues.
    pub cursor: Cursor,
    /// Objects that were listed or have changed.
    pub objects: Vec<RawObject>,
}

/// Error of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum PlatformError {
    /// The write's precondition did not hold, so nothing was written.
    #[display("the object was changed by someone else")]
    Conflict,
    /// The platform no longer has the changes since the cursor.
    #[display("the watch is too far behind")]
    CursorTooOld,
    /// No usable answer arrived. A write may have taken effect nevertheless.
    #[display("the platform did not answer: {cause}")]
    Unavailable {
        /// Cause of the failure.
        #[error(not(source))]
        cause: String,
    },
    /// The platform refused the call.
    #[display("the platform refused the call: {cause}")]
    Refused {
        /// Reason that the platform gave.
        #[error(not(source))]
        cause: String,
    },
}

/// A dialect of the platform's object API and VM list.
pub trait PlatformApi: Send + Sync + 'static {
    /// Reads an object.
    fn get<'a>(
        &'a self,
        key: &'a ObjectKey,
    ) -> BoxFuture<'a, Result<Option<RawObject>, PlatformError>>;

    /// Writes an object if the precondition holds, and returns its new version.
    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: &'a Expected,
        value: String,
    ) -> BoxFuture<'a, Result<Version, PlatformError>>;

    /// Reads all objects of the given kinds.
    fn list<'a>(&'a self, kinds: &'a [&str]) -> BoxFuture<'a, Result<Listing, PlatformError>>;

    /// Waits for at most `wait` for changes after a cursor, and returns them.
    fn watch<'a>(
        &'a self,
        kinds: &'a [&str],
        after: &'a Cursor,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Listing, PlatformError>>;

    /// Reads the list of VMs, which lags behind the actual state.
    fn vms(&self) -> BoxFuture<'_, Result<Vec<VmRecord>, PlatformError>>;
}
