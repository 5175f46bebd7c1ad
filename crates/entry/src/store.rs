//! The one client for the platform's store.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::Time;
use bytes::Bytes;
use derive_more::Display;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};

use crate::dialect::{Changes, DecodeError, Dialect, ListAge, ObjectKind, Page, StoredObject};
use crate::link::{Link, LinkError};

/// Time within which the store accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time within which a call that doesn't wait for changes is answered.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that an answer to a watch may take beyond the time that it waits.
const WATCH_SLACK: Duration = Duration::from_millis(600);
/// Bytes of an answer at most: a page of a list holds about one megabyte.
const ANSWER_BYTES: usize = 4 * 1_024 * 1_024;

/// Why a call to the store failed.
#[derive(Debug, Display)]
pub(crate) enum StoreError {
    /// No answer came. A write may have taken effect, or may yet.
    #[display("no answer: {_0}")]
    NoAnswer(LinkError),
    /// The store refused to work on the call; nothing was done.
    #[display("refused with {_0}")]
    Refused(StatusCode),
    /// The object isn't what the write expected.
    #[display("changed by another writer")]
    Conflict,
    /// The object doesn't exist.
    #[display("no such object")]
    Absent,
    /// The changes since the revision aren't known any more.
    #[display("history is gone")]
    HistoryGone,
    /// The answer can't be decoded.
    #[display("{_0}")]
    Decode(DecodeError),
}

/// A client with a connection for calls and one for each watch.
pub(crate) struct StoreClient {
    address: SocketAddr,
    dialect: Rc<dyn Dialect>,
    spare: RefCell<Option<Link>>,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr, dialect: Rc<dyn Dialect>) -> Self {
        Self {
            address,
            dialect,
            spare: RefCell::new(None),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let kept = self.spare.borrow_mut().take().filter(Link::is_usable);
        let mut link = match kept {
            Some(link) => link,
            None => Link::open(self.address, CONNECT_TIMEOUT, Time::ZERO)
                .await
                .map_err(StoreError::NoAnswer)?,
        };
        let request = self.request(method, path, body);
        let answer = link.fetch(request, limit, ANSWER_BYTES).await;
        let (status, body) = answer.map_err(StoreError::NoAnswer)?;
        *self.spare.borrow_mut() = Some(link);
        Ok((status, body))
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
        let has_body = !body.is_empty();
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().expect("a dialect builds valid paths");
        let host = HeaderValue::from_str(&self.address.to_string());
        let host = host.expect("an address is a valid header");
        request.headers_mut().insert(HOST, host);
        if has_body {
            let json = HeaderValue::from_static("application/json");
            request.headers_mut().insert(CONTENT_TYPE, json);
        }
        request
    }

    /// Lists every object of a kind, page by page.
    pub(crate) async fn list(
        &self,
        kind: ObjectKind,
        age: ListAge,
    ) -> Result<(Vec<StoredObject>, u64), StoreError> {
        let mut objects: Vec<StoredObject> = Vec::new();
        let mut revision = None;
        loop {
            let after = objects.last().map(|o| o.name.as_str());
            let path = self.dialect.list_path(kind, after, age);
            let answer = self
                .call(Method::GET, &path, Bytes::new(), CALL_TIMEOUT)
                .await?;
            let page: Page = self.decode(answer, |d, b| d.page(b))?;
            // Changes between two pages are seen by a watch from the first one.
            let first = *revision.get_or_insert(page.revision);
            let empty = page.objects.is_empty();
            objects.extend(page.objects);
            if !page.more || empty {
                return Ok((objects, first));
            }
        }
    }

    /// Waits for changes of a kind after a revision.
    pub(crate) async fn watch(
        &self,
        link: &mut Option<Link>,
        kind: ObjectKind,
        revision: u64,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let mut open = match link.take().filter(Link::is_usable) {
            Some(open) => open,
            None => Link::open(self.address, CONNECT_TIMEOUT, Time::ZERO)
                .await
                .map_err(StoreError::NoAnswer)?,
        };
        let path = self.dialect.watch_path(kind, revision, wait);
        let request = self.request(Method::GET, &path, Bytes::new());
        let limit = wait + WATCH_SLACK;
        let answer = open.fetch(request, limit, ANSWER_BYTES).await;
        let answer = answer.map_err(StoreError::NoAnswer)?;
        *link = Some(open);
        self.decode(answer, |d, b| d.changes(b))
    }

    /// Reads one object.
    pub(crate) async fn read(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> Result<StoredObject, StoreError> {
        let (_, path) = self.dialect.object_paths(kind, name);
        let answer = self
            .call(Method::GET, &path, Bytes::new(), CALL_TIMEOUT)
            .await?;
        self.decode(answer, |d, b| d.stored(b))
    }

    /// Creates an object, or replaces the one with this revision.
    pub(crate) async fn write(
        &self,
        kind: ObjectKind,
        name: &str,
        revision: Option<u64>,
        body: &str,
    ) -> Result<StoredObject, StoreError> {
        let (all, one) = self.dialect.object_paths(kind, name);
        let object = self.dialect.object(name, revision, body);
        let (method, path) = match revision {
            None => (Method::POST, all),
            Some(_) => (Method::PUT, one),
        };
        let answer = self.call(method, &path, object, CALL_TIMEOUT).await?;
        self.decode(answer, |d, b| d.stored(b))
    }

    fn decode<T>(
        &self,
        (status, body): (StatusCode, Bytes),
        decode: impl FnOnce(&dyn Dialect, &[u8]) -> Result<T, DecodeError>,
    ) -> Result<T, StoreError> {
        match status {
            StatusCode::CONFLICT => Err(StoreError::Conflict),
            StatusCode::NOT_FOUND => Err(StoreError::Absent),
            StatusCode::GONE => Err(StoreError::HistoryGone),
            s if s.is_success() => decode(&*self.dialect, &body).map_err(StoreError::Decode),
            s => Err(StoreError::Refused(s)),
        }
    }
}
