//! One HTTP/1.1 connection to an endpoint or to the store.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::Time;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;

use crate::net;

/// Bytes of a connection's read buffer at most.
const READ_BUFFER_BYTES: usize = 32 * 1_024;

/// Why a request brought no answer.
#[derive(Debug, derive_more::Display)]
pub(crate) enum LinkError {
    /// No connection came about; nothing was sent.
    #[display("no connection: {_0}")]
    Connect(io::Error),
    /// The connection was closed before any byte of the request left.
    #[display("not sent: {_0}")]
    NotSent(hyper::Error),
    /// The request may have left.
    #[display("no answer: {_0}")]
    Broken(hyper::Error),
    /// No answer came in time.
    #[display("timed out")]
    TimedOut,
    /// The answer's body can't be used.
    #[display("unusable body: {_0}")]
    Body(String),
}

impl LinkError {
    /// Returns whether the other end refused the connection outright.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::Connect(e) if e.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether no byte of the request can have left.
    pub(crate) const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::NotSent(_))
    }
}

/// Ends a connection's task, and with it the connection, when it is dropped.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection that carries one request at a time.
pub(crate) struct Link {
    sender: SendRequest<Full<Bytes>>,
    _driver: Driver,
    pub(crate) used: Time,
    pub(crate) expires: Option<Time>,
}

impl Link {
    pub(crate) async fn open(
        address: SocketAddr,
        limit: Duration,
        now: Time,
    ) -> Result<Self, LinkError> {
        let stream = net::connect(address, limit)
            .await
            .map_err(LinkError::Connect)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let made = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = made.map_err(LinkError::NotSent)?;
        let task = tokio::task::spawn_local(async move {
            // The requests on the connection see its errors.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            _driver: Driver(task),
            used: now,
            expires: None,
        })
    }

    /// Returns whether the connection can carry another request.
    pub(crate) fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.sender.is_ready()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, LinkError> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut failure| {
            let unsent = failure.take_message().is_some();
            let error = failure.into_error();
            if unsent {
                LinkError::NotSent(error)
            } else {
                LinkError::Broken(error)
            }
        })
    }

    /// Sends a request and reads the whole answer, within a time limit.
    pub(crate) async fn fetch(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        most_bytes: usize,
    ) -> Result<(StatusCode, Bytes), LinkError> {
        let exchange = async {
            let answer = self.send(request).await?;
            let status = answer.status();
            let body = collect(answer.into_body(), most_bytes).await?;
            Ok((status, body))
        };
        let answered = tokio::time::timeout(limit, exchange).await;
        answered.unwrap_or(Err(LinkError::TimedOut))
    }
}

/// Reads a whole body of bounded size.
pub(crate) async fn collect(body: Incoming, most_bytes: usize) -> Result<Bytes, LinkError> {
    let whole = Limited::new(body, most_bytes).collect().await;
    whole
        .map(http_body_util::Collected::to_bytes)
        .map_err(|e| LinkError::Body(e.to_string()))
}
