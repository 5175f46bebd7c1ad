//! The edge towards a platform: what differs between platforms.
//!
//! A dialect translates and decides nothing. It holds the names of headers and
//! paths, decodes bodies into the project's types and encodes orders.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_fleet::{Catalog, Endpoint, Name, Order};
use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::header::HeaderName;

/// Names of the headers that this system reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller.
    pub request_id: HeaderName,
    /// Milliseconds that the caller still waits.
    pub deadline: HeaderName,
    /// Model that the request is for.
    pub model: HeaderName,
    /// Prompt tokens and the largest number of output tokens.
    pub tokens: HeaderName,
    /// Expected number of output tokens.
    pub length_hint: HeaderName,
    /// The last event that the caller has.
    pub last_event: HeaderName,
    /// Team of the caller, as endpoints are told.
    pub team: HeaderName,
    /// The only endpoint that may run the request.
    pub expected_endpoint: HeaderName,
    /// Rank of the request at the endpoint.
    pub urgency: HeaderName,
    /// Says that an endpoint did not run the request.
    pub not_run: HeaderName,
    /// Proof that an endpoint made the answer.
    pub stamp: HeaderName,
}

/// A call to the system itself rather than through it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnCall {
    /// A caller asks which addresses to use.
    Directory,
    /// The platform asks whether this entry takes callers.
    Ready,
}

/// Kinds of objects in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum ObjectKind {
    /// Records that endpoints write.
    Endpoints,
    /// The operators' configuration.
    Configuration,
    /// Data centres out of service.
    Evacuations,
    /// Addresses of the entries.
    Entries,
    /// Plans of groups.
    Plans,
}

impl ObjectKind {
    /// Kinds that every entry follows.
    pub(crate) const FOLLOWED: [Self; 4] = [
        Self::Configuration,
        Self::Endpoints,
        Self::Evacuations,
        Self::Entries,
    ];
}

/// How old a list may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListAge {
    /// It holds all that was acknowledged before the call.
    Latest,
    /// It may lag by seconds, and is cheaper: a watch from its revision brings the rest.
    Lagging,
}

/// An object as the store returns it.
#[derive(Clone, Debug)]
pub struct StoredObject {
    /// Name within its kind.
    pub name: String,
    /// Revision of its last change.
    pub revision: u64,
    /// What its writer put there, as JSON.
    pub body: Bytes,
}

/// One page of a list.
#[derive(Clone, Debug)]
pub struct Page {
    /// The objects.
    pub objects: Vec<StoredObject>,
    /// Whether further objects follow.
    pub more: bool,
    /// Revision at which the list holds.
    pub revision: u64,
}

/// A change that a watch saw.
#[derive(Clone, Debug)]
pub enum Change {
    /// An object is new or changed.
    Put(StoredObject),
    /// An object was removed.
    Removed(String),
}

impl Change {
    /// Returns the object, unless it was removed.
    pub(crate) fn into_put(self) -> Option<StoredObject> {
        match self {
            Self::Put(object) => Some(object),
            Self::Removed(_) => None,
        }
    }
}

/// What a watch returned.
#[derive(Clone, Debug)]
pub struct Changes {
    /// The changes in order.
    pub changes: Vec<Change>,
    /// Revision from which to watch on.
    pub revision: u64,
}

/// What an endpoint reports of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadFigures {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Factor by which it is slower than published.
    pub slowness: f64,
    /// When the incarnation that reports started, if it says so.
    pub born: Option<u64>,
}

/// A body that is not what the platform's pages say.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{what}: {cause}")]
pub struct DecodeError {
    /// What was decoded.
    #[error(not(source))]
    pub what: &'static str,
    /// What is wrong with it.
    #[error(not(source))]
    pub cause: String,
}

/// One platform's names and formats.
pub trait Dialect {
    /// Returns the names of the headers.
    fn headers(&self) -> &HeaderNames;
    /// Returns the call to the system itself that a path makes.
    fn own_call(&self, path: &str) -> Option<OwnCall>;
    /// Encodes the answer to a caller that asks for addresses.
    fn directory_answer(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;
    /// Returns the key of a caller from the value of its authorization header.
    fn caller_key<'a>(&self, value: &'a str) -> Option<&'a str>;
    /// Returns the prompt's tokens and the largest number of output tokens.
    fn token_counts(&self, value: &str) -> Option<(u32, u32)>;

    /// Returns the path of an endpoint's report.
    fn report_path(&self) -> &'static str;
    /// Decodes an endpoint's report.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the body is no report.
    fn report(&self, body: &[u8]) -> Result<LoadFigures, DecodeError>;
    /// Returns the path and body of an order.
    fn order(&self, order: &Order, fence: Option<u64>) -> (&'static str, Bytes);

    /// Returns the path of a list that continues after a name.
    fn list_path(&self, kind: ObjectKind, after: Option<&str>, age: ListAge) -> String;
    /// Returns the path of a watch.
    fn watch_path(&self, kind: ObjectKind, revision: u64, wait: Duration) -> String;
    /// Returns the path under which objects of a kind are created, and the path of one.
    fn object_paths(&self, kind: ObjectKind, name: &str) -> (String, String);
    /// Encodes an object to write; `revision` is the one that must be replaced.
    fn object(&self, name: &str, revision: Option<u64>, body: &str) -> Bytes;
    /// Decodes one object.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the body is no object.
    fn stored(&self, body: &[u8]) -> Result<StoredObject, DecodeError>;
    /// Decodes a page of a list.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the body is no list.
    fn page(&self, body: &[u8]) -> Result<Page, DecodeError>;
    /// Decodes the answer to a watch.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the body is no answer to a watch.
    fn changes(&self, body: &[u8]) -> Result<Changes, DecodeError>;

    /// Decodes the operators' configuration.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if it can't be used as a whole.
    fn catalog(&self, body: &[u8]) -> Result<Catalog, DecodeError>;
    /// Decodes an endpoint's record.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the record names no endpoint that can be used.
    fn endpoint(&self, name: Name, body: &[u8]) -> Result<Endpoint, DecodeError>;
}
