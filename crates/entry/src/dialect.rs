//! The interface to a platform: everything that differs between platforms.
//!
//! A [`Dialect`] knows the names of headers and paths, decodes bodies into the types of
//! this project and encodes orders. It makes no decisions.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_fleet::{Catalog, Endpoint, Name, Order};
use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::header::HeaderName;
use smallvec::SmallVec;

/// Names of the headers that this system reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller. Endpoints return it in their answers.
    pub request_id: HeaderName,
    /// Milliseconds for which the caller still waits.
    pub deadline: HeaderName,
    /// Model that the request is for.
    pub model: HeaderName,
    /// Number of prompt tokens and maximum number of output tokens.
    pub tokens: HeaderName,
    /// Expected number of output tokens.
    pub length_hint: HeaderName,
    /// Parts of the prompt, in their order.
    pub prompt_parts: HeaderName,
    /// Id of the last event that was received, after which a stream is resumed.
    pub last_event: HeaderName,
    /// Team of the caller, for the endpoint.
    pub team: HeaderName,
    /// Name of the only endpoint that may run the request.
    pub expected_endpoint: HeaderName,
    /// Priority of the request at the endpoint.
    pub priority: HeaderName,
    /// Present if the endpoint did not run the request.
    pub not_run: HeaderName,
    /// Present with the value 1 in all answers of an endpoint that leaves.
    pub leaving: HeaderName,
    /// Requests a second that an endpoint in need takes from all entries together.
    pub limit: HeaderName,
    /// Stamp by which an endpoint shows that it made the answer.
    pub stamp: HeaderName,
    /// Era of the store in all its answers. It rises when the store returns from a copy.
    pub store_era: HeaderName,
}

/// A call that the entry answers itself instead of forwarding it to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalCall {
    /// A caller, in this data centre if it names one, asks for the addresses of the
    /// entries.
    Directory(Option<Name>),
    /// The platform checks whether this entry is ready for callers.
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
    /// Kinds of which every entry keeps a copy. Plans are read only by the entry that plans.
    pub(crate) const FOLLOWED: [Self; 4] = [
        Self::Configuration,
        Self::Endpoints,
        Self::Evacuations,
        Self::Entries,
    ];
}

/// Consistency of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// It contains every write that was acknowledged before the call.
    Latest,
    /// It may be some seconds old, which makes the call cheaper. A watch from its revision
    /// returns the missing changes.
    Stale,
}

/// An object as the store returns it.
#[derive(Clone, Debug)]
pub struct StoredObject {
    /// Name within its kind.
    pub name: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Body that its writer stored, as JSON.
    pub body: Bytes,
}

/// Objects in an answer of the store that can't be read. Any writer may leave such objects,
/// and they must not keep the others from being read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OddObjects {
    /// Their number.
    pub count: usize,
    /// Name, if it can be read, and what is wrong with the first of them.
    pub first: Option<(Option<String>, String)>,
}

impl OddObjects {
    /// Adds an object.
    pub fn add(&mut self, name: Option<&str>, cause: String) {
        self.count += 1;
        self.first
            .get_or_insert_with(|| (name.map(str::to_owned), cause));
    }

    /// Adds those of another answer.
    pub(crate) fn extend(&mut self, other: Self) {
        self.count += other.count;
        self.first = self.first.take().or(other.first);
    }
}

/// One page of a list.
#[derive(Clone, Debug)]
pub struct Page {
    /// The objects.
    pub objects: Vec<StoredObject>,
    /// Whether further objects follow.
    pub more: bool,
    /// Revision of the store that the list shows.
    pub revision: u64,
    /// Objects that can't be read. Those whose names can are also in `objects`, without a
    /// body.
    pub odd: OddObjects,
}

/// A change that a watch returned.
#[derive(Clone, Debug)]
pub enum Change {
    /// An object was created or changed.
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

/// The answer to a watch.
#[derive(Clone, Debug)]
pub struct Changes {
    /// The changes in order.
    pub changes: Vec<Change>,
    /// Revision from which to continue the watch.
    pub revision: u64,
    /// Objects that can't be read, as in [`Page::odd`].
    pub odd: OddObjects,
}

/// An endpoint's report of its load and speed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub queued: u32,
    /// Factor by which it is slower than its published times.
    pub slowdown: f64,
    /// Unix time in milliseconds at which the reporting incarnation started, if reported.
    pub incarnation: Option<u64>,
}

/// The error of a body that does not have the platform's documented format.
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

/// The names and formats of one platform.
pub trait Dialect {
    /// Returns the names of the headers.
    fn headers(&self) -> &HeaderNames;
    /// Returns the call that the entry answers itself for a path and query, if it is one.
    fn local_call(&self, path: &str, query: Option<&str>) -> Option<LocalCall>;
    /// Encodes the answer to a caller that asks for addresses.
    fn encode_directory(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;
    /// Returns a caller's key from the value of the `Authorization` header.
    fn parse_caller_key<'a>(&self, value: &'a str) -> Option<&'a str>;
    /// Returns the number of prompt tokens and the maximum number of output tokens.
    fn parse_token_counts(&self, value: &str) -> Option<(u32, u32)>;

    /// Returns the ids of the parts of a prompt that other requests may share, in their
    /// order. The last part belongs to the request or its session alone.
    fn parse_shared_parts<'a>(&self, value: &'a str) -> SmallVec<[&'a str; 4]>;

    /// Returns the path of an endpoint's report.
    fn report_path(&self) -> &'static str;
    /// Decodes an endpoint's report.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the body is not a report.
    fn decode_report(&self, body: &[u8]) -> Result<LoadReport, DecodeError>;
    /// Returns the path and the body of an order. `fencing_token` is sent with it.
    fn encode_order(&self, order: &Order, fencing_token: Option<u64>) -> (&'static str, Bytes);

    /// Returns the path of a list, from its start or after an object's name.
    fn list_path(&self, kind: ObjectKind, after: Option<&str>, consistency: Consistency) -> String;
    /// Returns the path of a watch that waits for changes after a revision.
    fn watch_path(&self, kind: ObjectKind, revision: u64, wait: Duration) -> String;
    /// Returns the path at which objects of a kind are created, and the path of the object
    /// `name`.
    fn object_paths(&self, kind: ObjectKind, name: &str) -> (String, String);
    /// Encodes an object to write. `revision` is the revision that it must replace, or
    /// `None` for a new object.
    fn encode_object(&self, name: &str, revision: Option<u64>, body: &str) -> Bytes;
    /// Decodes one object.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the body is not an object.
    fn decode_object(&self, body: &[u8]) -> Result<StoredObject, DecodeError>;
    /// Decodes a page of a list.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the body is not a page of a list.
    fn decode_page(&self, body: &[u8]) -> Result<Page, DecodeError>;
    /// Decodes the answer to a watch.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the body is not the answer to a watch.
    fn decode_changes(&self, body: &[u8]) -> Result<Changes, DecodeError>;

    /// Decodes the operators' configuration.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if any part of it cannot be used.
    fn decode_catalog(&self, body: &[u8]) -> Result<Catalog, DecodeError>;
    /// Decodes an endpoint's record.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the record does not describe a usable endpoint.
    fn decode_endpoint(&self, name: Name, body: &[u8]) -> Result<Endpoint, DecodeError>;
}
