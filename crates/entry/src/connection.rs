//! HTTP/1.1 client connections to endpoints, the store and relays.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::Time;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::net;

/// Maximum size of a connection's read buffer.
const READ_BUFFER_BYTES: usize = 32 * 1_024;

/// Why a request got no answer.
#[derive(Debug, derive_more::Display)]
pub(crate) enum ConnectionError {
    /// The connection could not be opened; nothing was sent.
    #[display("no connection: {_0}")]
    Connect(io::Error),
    /// The connection was closed before any byte of the request was sent.
    #[display("not sent: {_0}")]
    NotSent(hyper::Error),
    /// The connection failed after the request may have been sent.
    #[display("no answer: {_0}")]
    Broken(hyper::Error),
    /// No answer arrived in time.
    #[display("timed out")]
    TimedOut,
    /// The connection failed before the body of the answer was complete.
    #[display("incomplete body: {_0}")]
    Incomplete(String),
    /// The body of the answer is larger than allowed.
    #[display("body too large")]
    TooLarge,
}

impl ConnectionError {
    /// Returns whether the other end refused the connection, which shows that its host is
    /// up and the process is not.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::Connect(e) if e.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether no byte of the request can have been sent, so that a retry is safe.
    pub(crate) const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::NotSent(_))
    }
}

/// Aborts a connection's task when it is dropped, which closes the connection.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection that carries one request at a time.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: Driver,
    /// Whether it has carried no request yet.
    pub(crate) is_new: bool,
    /// When it last carried a request.
    pub(crate) used: Time,
    /// When it must no longer be reused, if the other end has announced an idle timeout.
    pub(crate) expires: Option<Time>,
}

impl Connection {
    pub(crate) async fn open(
        address: SocketAddr,
        limit: Duration,
        now: Time,
    ) -> Result<Self, ConnectionError> {
        let stream = net::connect(address, limit)
            .await
            .map_err(ConnectionError::Connect)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let made = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = made.map_err(ConnectionError::NotSent)?;
        let task = tokio::task::spawn_local(async move {
            // The result is ignored: requests on the connection see its errors.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            _driver: Driver(task),
            is_new: true,
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
    ) -> Result<Response<Incoming>, ConnectionError> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut failure| {
            let unsent = failure.take_message().is_some();
            let error = failure.into_error();
            if unsent {
                ConnectionError::NotSent(error)
            } else {
                ConnectionError::Broken(error)
            }
        })
    }

    /// Sends a request and reads the complete answer, within a time limit.
    pub(crate) async fn fetch(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<(StatusCode, Bytes), ConnectionError> {
        let exchange = async {
            let answer = self.send(request).await?;
            let status = answer.status();
            let body = collect(answer.into_body(), max_bytes).await?;
            Ok((status, body))
        };
        let answered = tokio::time::timeout(limit, exchange).await;
        answered.unwrap_or(Err(ConnectionError::TimedOut))
    }

    /// Sends a request and reads the complete answer. Only its head must arrive within the
    /// time limit: how long a large body takes depends on the network link.
    pub(crate) async fn fetch_large(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<(Parts, Bytes), ConnectionError> {
        let answered = tokio::time::timeout(limit, self.send(request)).await;
        let answer = answered.unwrap_or(Err(ConnectionError::TimedOut))?;
        let (head, body) = answer.into_parts();
        let body = collect_while_arriving(body, max_bytes).await?;
        Ok((head, body))
    }
}

/// Longest time in which the next part of a large body must arrive.
const BODY_STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest time in which all of a large body must arrive.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads a complete body of bounded size, for as long as parts of it arrive.
async fn collect_while_arriving(
    body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, ConnectionError> {
    let end = Instant::now() + TRANSFER_TIMEOUT;
    let mut body = body;
    let mut bytes = BytesMut::new();
    loop {
        let limit = end.min(Instant::now() + BODY_STALL_TIMEOUT);
        let frame = tokio::time::timeout_at(limit, body.frame()).await;
        let frame = match frame.map_err(|_| ConnectionError::TimedOut)? {
            None => return Ok(bytes.freeze()),
            Some(frame) => frame.map_err(|e| ConnectionError::Incomplete(e.to_string()))?,
        };
        if let Ok(data) = frame.into_data() {
            if bytes.len() + data.len() > max_bytes {
                return Err(ConnectionError::TooLarge);
            }
            bytes.extend_from_slice(&data);
        }
    }
}

/// Reads a complete body of bounded size.
async fn collect(body: Incoming, max_bytes: usize) -> Result<Bytes, ConnectionError> {
    let complete = Limited::new(body, max_bytes).collect().await;
    match complete {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ConnectionError::TooLarge),
        Err(error) => Err(ConnectionError::Incomplete(error.to_string())),
    }
}

#[cfg(test)]
#[path = "../tests/unit/connection.rs"]
mod tests;
