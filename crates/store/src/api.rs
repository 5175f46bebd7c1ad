//! The edge towards the platform.

use std::time::Duration;

use bulrushhoist_core::{ObjectKey, VmRecord};
use derive_more::{Display, Error, From};
use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Opaque version of an object, given by the platform with each write.
#[derive(Clone, Debug, PartialEq, Eq, Display, From, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub String);

/// Opaque place in the platform's sequence of changes.
#[derive(Clone, Debug, PartialEq, Eq, Display, From, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Cursor(pub String);

/// What a conditional write expects to find.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expected {
    /// No object of this name.
    Absent,
    /// The object at this version.
    At(Version),
}

/// One object as the platform returns it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RawObject {
    /// Name of the object.
    pub key: ObjectKey,
    /// Version to expect in the next conditional update.
    pub version: Version,
    /// The object as JSON.
    pub value: Box<RawValue>,
}

/// Objects, and the place in the sequence of changes up to which they hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Listing {
    /// Place from which to watch on.
    pub cursor: Cursor,
    /// The objects.
    pub objects: Vec<RawObject>,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum PlatformError {
    /// The object is not what the write expected; nothing was written.
    #[display("the object was changed by someone else")]
    Conflict,
    /// The platform no longer knows the changes since the cursor.
    #[display("the watch is too far behind")]
    CursorTooOld,
    /// No usable answer came. A write may have taken effect all the same.
    #[display("the platform did not answer: {cause}")]
    Unavailable {
        /// What went wrong.
        #[error(not(source))]
        cause: String,
    },
    /// The platform refused the call.
    #[display("the platform refused the call: {cause}")]
    Refused {
        /// What it answered.
        #[error(not(source))]
        cause: String,
    },
}

/// One dialect of the platform's object API and VM list.
pub trait PlatformApi: Send + Sync + 'static {
    /// Reads one object.
    fn get<'a>(
        &'a self,
        key: &'a ObjectKey,
    ) -> BoxFuture<'a, Result<Option<RawObject>, PlatformError>>;

    /// Writes one object if it is what the caller expects.
    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: &'a Expected,
        value: String,
    ) -> BoxFuture<'a, Result<Version, PlatformError>>;

    /// Reads every object of some kinds.
    fn list<'a>(&'a self, kinds: &'a [&str]) -> BoxFuture<'a, Result<Listing, PlatformError>>;

    /// Waits up to `wait` for changes after a cursor.
    fn watch<'a>(
        &'a self,
        kinds: &'a [&str],
        after: &'a Cursor,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Listing, PlatformError>>;

    /// Reads the list of VMs, which lags.
    fn vms(&self) -> BoxFuture<'_, Result<Vec<VmRecord>, PlatformError>>;
}
